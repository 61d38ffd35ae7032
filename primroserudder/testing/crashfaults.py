"""Troubles of engines and VMs beside requests that crash engines."""

import asyncio
from dataclasses import dataclass
from functools import singledispatch

from .crashsite import CrashSite

LOST_ENGINE_REPAIR_S = 4.0
SILENCE_S = 1.0


@dataclass(frozen=True, slots=True)
class Kill:
    """A share of the engines, or a failure domain's, ends at once."""

    at_s: float
    share: float
    repair_s: float
    is_domain: bool = False


@dataclass(frozen=True, slots=True)
class EngineLosses:
    """One engine after the other ends."""

    at_s: float
    interval_s: float


@dataclass(frozen=True, slots=True)
class GarbledAnswers:
    """Each second, all connections to some engines break; they live on."""

    at_s: float
    seconds: int
    share: float


@dataclass(frozen=True, slots=True)
class SilentSecond:
    """Some engines are silent for a second; VMs give their runs up."""

    at_s: float
    share: float


@dataclass(frozen=True, slots=True)
class RestartOfVms:
    """All VMs end, and start again without what they knew."""

    at_s: float


@dataclass(frozen=True, slots=True)
class NoticesLost:
    """Notices from and to a share of the VMs are lost."""

    at_s: float
    share: float


Fault = (
    Kill
    | EngineLosses
    | GarbledAnswers
    | SilentSecond
    | RestartOfVms
    | NoticesLost
)


async def play_fault(site: CrashSite, fault: Fault) -> None:
    """Wait until a fault is due, and let it happen."""
    await asyncio.sleep(fault.at_s)
    await _strike(fault, site)


@singledispatch
async def _strike(fault: Fault, site: CrashSite) -> None:
    raise NotImplementedError(type(fault))


@_strike.register
async def _kill(fault: Kill, site: CrashSite) -> None:
    engines = site.some_engines(fault.share)
    if fault.is_domain:
        engines = site.engines_of_first_domain()
    for engine in engines:
        engine.end(fault.repair_s)


@_strike.register
async def _lose_one_by_one(fault: EngineLosses, site: CrashSite) -> None:
    while True:
        site.rng.choice(site.engines).end(LOST_ENGINE_REPAIR_S)
        await asyncio.sleep(fault.interval_s)


@_strike.register
async def _garble(fault: GarbledAnswers, site: CrashSite) -> None:
    engines = site.some_engines(fault.share)
    for _ in range(fault.seconds):
        for engine in engines:
            engine.break_connections()
        await asyncio.sleep(1)


@_strike.register
async def _silence(fault: SilentSecond, site: CrashSite) -> None:
    for engine in site.some_engines(fault.share):
        engine.break_connections()
        engine.pause(SILENCE_S)


@_strike.register
async def _restart(_fault: RestartOfVms, site: CrashSite) -> None:
    site.restart_vms()


@_strike.register
async def _lose_notices(fault: NoticesLost, site: CrashSite) -> None:
    count = int(fault.share * len(site.vms))
    site.network.silenced.update(vm.address for vm in site.vms[:count])
