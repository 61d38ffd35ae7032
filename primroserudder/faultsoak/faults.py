"""Shows the faults of a plan, each beside the others."""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from .linkfaults import LinkFaults
from .plan import Fault, FaultKind, PlannedFault
from .routerfaults import RouterFaults
from .site import SoakSite
from .standinfaults import EngineFaults, StoreFaults


@dataclass(slots=True)
class Faults:
    """Strikes the site as planned; every fault ends by itself."""

    site: SoakSite
    shown: Counter[FaultKind] = field(default_factory=Counter)
    links: LinkFaults = field(init=False)

    def __post_init__(self) -> None:
        """Make the part that knows which callers were struck."""
        self.links = LinkFaults(self.site)

    async def show(self, plan: Sequence[PlannedFault]) -> None:
        """Show all faults; return once the last one is over."""
        shows_by_kind = self._shows_by_kind()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for fault in plan:
                await asyncio.sleep(began_at + fault.at_s - loop.time())
                self.shown[fault.kind] += 1
                tasks.create_task(shows_by_kind[fault.kind](fault))

    def _shows_by_kind(self) -> Mapping[FaultKind, Fault]:
        return {
            **RouterFaults(self.site).by_kind(),
            **self.links.by_kind(),
            **StoreFaults(self.site).by_kind(),
            **EngineFaults(self.site).by_kind(),
        }
