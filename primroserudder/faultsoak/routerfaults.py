"""Faults of router processes: signals in series, and replacements."""

import asyncio
import signal
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial

from .plan import Fault, FaultKind, PlannedFault
from .processes import RouterProcess
from .site import SoakSite

SECOND_SIGNAL_AFTER_S = 1.0


@dataclass(slots=True)
class RouterFaults:
    """Signals routers; one that is being restarted is left alone."""

    site: SoakSite
    _restarting: set[int] = field(default_factory=set)

    def by_kind(self) -> Mapping[FaultKind, Fault]:
        """Return what shows each kind of fault."""
        return {
            FaultKind.ROUTER_KILLED: partial(self._end, (signal.SIGKILL,)),
            FaultKind.ROUTER_STOPPED: partial(self._end, (signal.SIGTERM,)),
            FaultKind.ROUTER_STOPPED_TWICE: partial(
                self._end, (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
            ),
            FaultKind.ROUTER_STOPPED_AND_KILLED: partial(
                self._end, (signal.SIGTERM, signal.SIGKILL)
            ),
            FaultKind.ROUTER_PAUSED: self._pause,
            FaultKind.ROUTER_PAUSED_AND_STOPPED: self._pause_and_stop,
            FaultKind.ROUTER_RELOADED: self._reload,
            FaultKind.ROUTER_REPLACED: self._replace,
            FaultKind.CONFIGURATION_CHANGED: self._configure,
        }

    async def _end(
        self,
        signals: Sequence[signal.Signals],
        fault: PlannedFault,
    ) -> None:
        number = fault.target % len(self.site.routers)
        if number in self._restarting:
            return
        self._restarting.add(number)
        router = self.site.routers[number]
        waiting = asyncio.ensure_future(router.wait())
        for position, one in enumerate(signals):
            if position:
                await asyncio.sleep(SECOND_SIGNAL_AFTER_S)
            router.send(one)
        await waiting
        await asyncio.sleep(fault.lasts_s)
        await router.start()
        self._restarting.discard(number)

    async def _replace(self, fault: PlannedFault) -> None:
        number = fault.target % len(self.site.routers)
        if number in self._restarting:
            return
        self._restarting.add(number)
        router = self.site.routers[number]
        router.send(signal.SIGKILL)
        await router.wait()
        await asyncio.sleep(fault.lasts_s)
        follower = self.site.new_router(number)
        follower.exits = router.exits
        self.site.routers[number] = follower
        await follower.start()
        self._restarting.discard(number)

    async def _pause(self, fault: PlannedFault) -> None:
        router = self._router(fault)
        router.send(signal.SIGSTOP)
        await asyncio.sleep(fault.lasts_s)
        router.send(signal.SIGCONT)

    async def _pause_and_stop(self, fault: PlannedFault) -> None:
        pausing = asyncio.ensure_future(self._pause(fault))
        await asyncio.sleep(0)
        await self._end((signal.SIGTERM,), fault)
        await pausing

    async def _reload(self, fault: PlannedFault) -> None:
        self._router(fault).send(signal.SIGHUP)

    async def _configure(self, _fault: PlannedFault) -> None:
        self.site.change_configuration()

    def _router(self, fault: PlannedFault) -> RouterProcess:
        return self.site.routers[fault.target % len(self.site.routers)]
