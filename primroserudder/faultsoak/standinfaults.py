"""Engine and store faults, injected through their stand-ins."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import partial

from .engines import SoakEngine
from .links import BOTH_WAYS
from .plan import FaultInjector, FaultKind, PlannedFault
from .site import SoakSite

FAILED_STATUS = 500
LATE_ORDERS_S = 1.0
LATE_WRITES_S = 1.5
# How long the store is away before it comes back from a copy.
RESTORE_S = 0.3
# Engines and operators have written again this long after a restore.
WRITE_AGAIN_S = 0.6


@dataclass(slots=True)
class StoreFaults:
    """Makes the store unreachable, slow, or lose responses or history."""

    site: SoakSite

    def by_kind(self) -> Mapping[FaultKind, FaultInjector]:
        """Return the function that injects each kind of fault."""
        faults = self.site.store.faults
        return {
            FaultKind.STORE_SILENT: self._silence_store,
            FaultKind.STORE_LOSES_ANSWERS: partial(
                _set_for_duration, faults, 'loses_answers', True
            ),
            FaultKind.STORE_WRITES_LATE: partial(
                _set_for_duration, faults, 'late_by_s', LATE_WRITES_S
            ),
            FaultKind.STORE_FORGETS_HISTORY: self._forget_history,
            FaultKind.STORE_RESTORED: self._restore,
        }

    async def _silence_store(self, fault: PlannedFault) -> None:
        for link in self.site.store_links:
            link.hold(BOTH_WAYS)
        await asyncio.sleep(fault.duration_s)
        for link in self.site.store_links:
            link.release(BOTH_WAYS)

    async def _forget_history(self, _fault: PlannedFault) -> None:
        self.site.store.rows.truncate_history()

    async def _restore(self, fault: PlannedFault) -> None:
        """Lose the last seconds; living writers write again afterwards."""
        rows_copy = self.site.store.rows.copy()
        await asyncio.sleep(fault.duration_s)
        self._refuse_calls(is_refusing=True)
        await asyncio.sleep(RESTORE_S)
        self.site.store.rows.restore(rows_copy)
        self._refuse_calls(is_refusing=False)
        await asyncio.sleep(WRITE_AGAIN_S)
        self.site.write_configuration()
        for engine in self.site.engines:
            engine.write_entry_again()

    def _refuse_calls(self, *, is_refusing: bool) -> None:
        for link in self.site.store_links:
            link.is_refusing = is_refusing
            link.reset()


@dataclass(slots=True)
class EngineFaults:
    """Makes engines crash, disconnect, drain, fail or ignore orders."""

    site: SoakSite

    def by_kind(self) -> Mapping[FaultKind, FaultInjector]:
        """Return the function that injects each kind of fault."""
        return {
            FaultKind.ENGINE_CRASHED: self._crash,
            FaultKind.ENGINE_DARK: self._disconnect,
            FaultKind.DOMAIN_DARK: self._disconnect_domain,
            FaultKind.ENGINE_DRAINS: self._drain,
            FaultKind.ENGINE_ORDERS_LATE: self._engine_injector(
                'late_orders_s', LATE_ORDERS_S
            ),
            FaultKind.ENGINE_ORDERS_IGNORED: self._engine_injector(
                'ignores_orders', True
            ),
            FaultKind.ENGINE_CUTS_STREAMS: self._engine_injector(
                'cuts_after_events', 2
            ),
            FaultKind.ENGINE_CUTS_EVENTS: self._cut_events,
            FaultKind.ENGINE_REFUSES: self._engine_injector('refuses', True),
            FaultKind.ENGINE_FAILS: self._engine_injector(
                'fails_with', FAILED_STATUS
            ),
            FaultKind.ENGINE_NEVER_ENDS: self._engine_injector(
                'never_ends', True
            ),
        }

    async def _crash(self, fault: PlannedFault) -> None:
        engine = self._engine(fault)
        engine.crash()
        await asyncio.sleep(fault.duration_s)
        engine.restart()

    async def _disconnect(self, fault: PlannedFault) -> None:
        await self._disconnect_all([self._engine(fault)], fault.duration_s)

    async def _disconnect_domain(self, fault: PlannedFault) -> None:
        domain = self._engine(fault).domain
        engines = [
            engine for engine in self.site.engines if engine.domain == domain
        ]
        await self._disconnect_all(engines, fault.duration_s)

    async def _disconnect_all(
        self,
        engines: Sequence[SoakEngine],
        duration_s: float,
    ) -> None:
        for engine in engines:
            engine.disconnect()
        await asyncio.sleep(duration_s)
        for engine in engines:
            engine.reconnect()

    async def _drain(self, fault: PlannedFault) -> None:
        engine = self._engine(fault)
        engine.is_draining = True
        engine.register()
        await asyncio.sleep(fault.duration_s)
        # An engine that drained exits; it never serves again in that life.
        engine.crash()
        engine.is_draining = False
        engine.restart()

    async def _cut_events(self, fault: PlannedFault) -> None:
        faults = self._engine(fault).faults
        faults.cuts_within_event = True
        await _set_for_duration(faults, 'cuts_after_events', 2, fault)
        faults.cuts_within_event = False

    def _engine_injector(self, name: str, value: object) -> FaultInjector:
        return partial(self._set_engine_fault, name, value)

    async def _set_engine_fault(
        self,
        name: str,
        value: object,
        fault: PlannedFault,
    ) -> None:
        await _set_for_duration(self._engine(fault).faults, name, value, fault)

    def _engine(self, fault: PlannedFault) -> SoakEngine:
        return self.site.pick_engine(fault.target)


async def _set_for_duration(
    faults: object,
    name: str,
    value: object,
    fault: PlannedFault,
) -> None:
    """Set a stand-in's fault for the duration of the planned fault."""
    defaults = type(faults)()
    setattr(faults, name, value)
    await asyncio.sleep(fault.duration_s)
    setattr(faults, name, getattr(defaults, name))
