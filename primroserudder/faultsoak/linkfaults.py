"""Faults of links: delays, resets, refusals and cuts of one direction."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from .links import Direction, Link
from .plan import Fault, FaultKind, PlannedFault
from .site import SoakSite

DELAY_S = 0.3

Pick = Callable[[PlannedFault], Link]


@dataclass(slots=True)
class LinkFaults:
    """Strikes one of the links to callers, to the store or to engines."""

    site: SoakSite
    struck: list[tuple[int, float]] = field(default_factory=list)

    def by_kind(self) -> Mapping[FaultKind, Fault]:
        """Return what shows each kind of fault."""
        callers = self._callers_link
        store = self._store_link
        engine = self._engine_link
        return {
            FaultKind.CALLERS_DELAYED: partial(self._delay, callers),
            FaultKind.CALLERS_RESET: partial(self._reset, callers),
            FaultKind.CALLERS_CUT_ONE_WAY: partial(self._cut, callers),
            FaultKind.STORE_DELAYED: partial(self._delay, store),
            FaultKind.STORE_RESET: partial(self._reset, store),
            FaultKind.STORE_REFUSED: partial(self._refuse, store),
            FaultKind.STORE_CUT_ONE_WAY: partial(self._cut, store),
            FaultKind.ENGINE_DELAYED: partial(self._delay, engine),
            FaultKind.ENGINE_RESET: partial(self._reset, engine),
            FaultKind.ENGINE_CUT_ONE_WAY: partial(self._cut, engine),
        }

    async def _delay(self, pick: Pick, fault: PlannedFault) -> None:
        link = pick(fault)
        link.delay_s += DELAY_S
        await asyncio.sleep(fault.lasts_s)
        link.delay_s -= DELAY_S

    async def _reset(self, pick: Pick, fault: PlannedFault) -> None:
        pick(fault).reset()

    async def _refuse(self, pick: Pick, fault: PlannedFault) -> None:
        link = pick(fault)
        link.is_refusing = True
        link.reset()
        await asyncio.sleep(fault.lasts_s)
        link.is_refusing = False

    async def _cut(self, pick: Pick, fault: PlannedFault) -> None:
        link = pick(fault)
        held = (tuple(Direction)[fault.target % len(Direction)],)
        link.hold(held)
        await asyncio.sleep(fault.lasts_s)
        link.release(held)
        for engine in self.site.engines:
            if engine.link is link:
                engine.register()

    def _callers_link(self, fault: PlannedFault) -> Link:
        number = fault.target % len(self.site.caller_links)
        now = asyncio.get_running_loop().time()
        self.struck.append((number, now))
        return self.site.caller_links[number]

    def _store_link(self, fault: PlannedFault) -> Link:
        return self.site.store_links[fault.target % len(self.site.store_links)]

    def _engine_link(self, fault: PlannedFault) -> Link:
        return self.site.struck_engine(fault.target).link
