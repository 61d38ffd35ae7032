"""Faults of engines and of the store, as their stand-ins show them."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import partial

from .engines import SoakEngine
from .links import BOTH_WAYS
from .plan import Fault, FaultKind, PlannedFault
from .site import SoakSite

FAILED_STATUS = 500
LATE_ORDERS_S = 1.0
LATE_WRITES_S = 1.5


@dataclass(slots=True)
class StoreFaults:
    """Lets the store be silent, late or forgetful."""

    site: SoakSite

    def by_kind(self) -> Mapping[FaultKind, Fault]:
        """Return what shows each kind of fault."""
        faults = self.site.store.faults
        return {
            FaultKind.STORE_SILENT: self._silence_store,
            FaultKind.STORE_LOSES_ANSWERS: partial(
                _switch, faults, 'loses_answers', True
            ),
            FaultKind.STORE_WRITES_LATE: partial(
                _switch, faults, 'late_by_s', LATE_WRITES_S
            ),
            FaultKind.STORE_FORGETS_HISTORY: self._forget_history,
        }

    async def _silence_store(self, fault: PlannedFault) -> None:
        for link in self.site.store_links:
            link.hold(BOTH_WAYS)
        await asyncio.sleep(fault.lasts_s)
        for link in self.site.store_links:
            link.release(BOTH_WAYS)

    async def _forget_history(self, _fault: PlannedFault) -> None:
        self.site.store.rows.truncate_history()


@dataclass(slots=True)
class EngineFaults:
    """Lets engines crash, go dark, and serve or obey badly."""

    site: SoakSite

    def by_kind(self) -> Mapping[FaultKind, Fault]:
        """Return what shows each kind of fault."""
        return {
            FaultKind.ENGINE_CRASHED: self._crash,
            FaultKind.ENGINE_DARK: self._darken,
            FaultKind.DOMAIN_DARK: self._darken_domain,
            FaultKind.ENGINE_DRAINS: self._drain,
            FaultKind.ENGINE_ORDERS_LATE: self._at_engine(
                'late_orders_s', LATE_ORDERS_S
            ),
            FaultKind.ENGINE_ORDERS_IGNORED: self._at_engine(
                'ignores_orders', True
            ),
            FaultKind.ENGINE_CUTS_STREAMS: self._at_engine(
                'cuts_after_events', 2
            ),
            FaultKind.ENGINE_CUTS_EVENTS: self._cut_events,
            FaultKind.ENGINE_REFUSES: self._at_engine('refuses', True),
            FaultKind.ENGINE_FAILS: self._at_engine(
                'fails_with', FAILED_STATUS
            ),
        }

    async def _crash(self, fault: PlannedFault) -> None:
        engine = self._engine(fault)
        engine.crash()
        await asyncio.sleep(fault.lasts_s)
        engine.restart()

    async def _darken(self, fault: PlannedFault) -> None:
        await self._darken_all([self._engine(fault)], fault.lasts_s)

    async def _darken_domain(self, fault: PlannedFault) -> None:
        domain = self._engine(fault).domain
        struck = [one for one in self.site.engines if one.domain == domain]
        await self._darken_all(struck, fault.lasts_s)

    async def _darken_all(
        self,
        engines: Sequence[SoakEngine],
        lasts_s: float,
    ) -> None:
        for engine in engines:
            engine.go_dark()
        await asyncio.sleep(lasts_s)
        for engine in engines:
            engine.come_back()

    async def _drain(self, fault: PlannedFault) -> None:
        engine = self._engine(fault)
        engine.is_draining = True
        engine.register()
        await asyncio.sleep(fault.lasts_s)
        engine.is_draining = False
        engine.register()

    async def _cut_events(self, fault: PlannedFault) -> None:
        faults = self._engine(fault).faults
        faults.cuts_within_event = True
        await _switch(faults, 'cuts_after_events', 2, fault)
        faults.cuts_within_event = False

    def _at_engine(self, name: str, during: object) -> Fault:
        return partial(self._switch_engine, name, during)

    async def _switch_engine(
        self,
        name: str,
        during: object,
        fault: PlannedFault,
    ) -> None:
        await _switch(self._engine(fault).faults, name, during, fault)

    def _engine(self, fault: PlannedFault) -> SoakEngine:
        return self.site.struck_engine(fault.target)


async def _switch(
    faults: object,
    name: str,
    during: object,
    fault: PlannedFault,
) -> None:
    """Switch a fault of a stand-in on for a while."""
    before = type(faults)()
    setattr(faults, name, during)
    await asyncio.sleep(fault.lasts_s)
    setattr(faults, name, getattr(before, name))
