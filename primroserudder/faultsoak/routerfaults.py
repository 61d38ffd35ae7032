"""Router faults: signals, replacements and configuration changes."""

import asyncio
import signal
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial

from .plan import FaultInjector, FaultKind, PlannedFault
from .processes import RouterProcess
from .site import SoakSite

SECOND_SIGNAL_AFTER_S = 1.0


@dataclass(slots=True)
class RouterFaults:
    """Signals and replaces routers; skips a router that is being restarted."""

    site: SoakSite
    _restarting: set[int] = field(default_factory=set)

    def by_kind(self) -> Mapping[FaultKind, FaultInjector]:
        """Return the function that injects each kind of fault."""
        return {
            FaultKind.ROUTER_KILLED: partial(
                self._signal_and_restart, (signal.SIGKILL,)
            ),
            FaultKind.ROUTER_STOPPED: partial(
                self._signal_and_restart, (signal.SIGTERM,)
            ),
            FaultKind.ROUTER_STOPPED_TWICE: partial(
                self._signal_and_restart,
                (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
            ),
            FaultKind.ROUTER_STOPPED_AND_KILLED: partial(
                self._signal_and_restart, (signal.SIGTERM, signal.SIGKILL)
            ),
            FaultKind.ROUTER_PAUSED: self._pause,
            FaultKind.ROUTER_PAUSED_AND_STOPPED: self._pause_and_stop,
            FaultKind.ROUTER_RELOADED: self._reload,
            FaultKind.ROUTER_REPLACED: self._replace,
            FaultKind.CONFIGURATION_CHANGED: self._configure,
        }

    async def _signal_and_restart(
        self,
        signals: Sequence[signal.Signals],
        fault: PlannedFault,
    ) -> None:
        number = fault.target % len(self.site.routers)
        if number in self._restarting:
            return
        self._restarting.add(number)
        router = self.site.routers[number]
        exit_wait = asyncio.ensure_future(router.wait())
        for position, signal_number in enumerate(signals):
            if position:
                await asyncio.sleep(SECOND_SIGNAL_AFTER_S)
            router.send(signal_number)
        await exit_wait
        await asyncio.sleep(fault.duration_s)
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
        await asyncio.sleep(fault.duration_s)
        replacement = self.site.new_router(number)
        replacement.exits = router.exits
        self.site.routers[number] = replacement
        await replacement.start()
        self._restarting.discard(number)

    async def _pause(self, fault: PlannedFault) -> None:
        router = self._router(fault)
        router.send(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        router.send(signal.SIGCONT)

    async def _pause_and_stop(self, fault: PlannedFault) -> None:
        pausing = asyncio.ensure_future(self._pause(fault))
        await asyncio.sleep(0)
        await self._signal_and_restart((signal.SIGTERM,), fault)
        await pausing

    async def _reload(self, fault: PlannedFault) -> None:
        self._router(fault).send(signal.SIGHUP)

    async def _configure(self, _fault: PlannedFault) -> None:
        self.site.change_configuration()

    def _router(self, fault: PlannedFault) -> RouterProcess:
        return self.site.routers[fault.target % len(self.site.routers)]
