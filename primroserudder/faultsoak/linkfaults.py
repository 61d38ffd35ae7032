"""Link faults: delays, resets, refusals and cuts of one direction."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from .links import Direction, Link
from .plan import FaultInjector, FaultKind, PlannedFault
from .site import SoakSite

DELAY_S = 0.3

LinkChooser = Callable[[PlannedFault], Link]


@dataclass(slots=True)
class LinkFaults:
    """Injects faults into the links to callers, to the store or to engines."""

    site: SoakSite
    caller_link_faults: list[tuple[int, float]] = field(default_factory=list)

    def by_kind(self) -> Mapping[FaultKind, FaultInjector]:
        """Return the function that injects each kind of fault."""
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

    async def _delay(
        self, choose_link: LinkChooser, fault: PlannedFault
    ) -> None:
        link = choose_link(fault)
        link.delay_s += DELAY_S
        await asyncio.sleep(fault.duration_s)
        link.delay_s -= DELAY_S

    async def _reset(
        self, choose_link: LinkChooser, fault: PlannedFault
    ) -> None:
        choose_link(fault).reset()

    async def _refuse(
        self, choose_link: LinkChooser, fault: PlannedFault
    ) -> None:
        link = choose_link(fault)
        link.is_refusing = True
        link.reset()
        await asyncio.sleep(fault.duration_s)
        link.is_refusing = False

    async def _cut(self, choose_link: LinkChooser, fault: PlannedFault) -> None:
        link = choose_link(fault)
        directions = (tuple(Direction)[fault.target % len(Direction)],)
        link.hold(directions)
        await asyncio.sleep(fault.duration_s)
        link.release(directions)
        for engine in self.site.engines:
            if engine.link is link:
                engine.register()

    def _callers_link(self, fault: PlannedFault) -> Link:
        number = fault.target % len(self.site.caller_links)
        now = asyncio.get_running_loop().time()
        self.caller_link_faults.append((number, now))
        return self.site.caller_links[number]

    def _store_link(self, fault: PlannedFault) -> Link:
        return self.site.store_links[fault.target % len(self.site.store_links)]

    def _engine_link(self, fault: PlannedFault) -> Link:
        return self.site.pick_engine(fault.target).link
