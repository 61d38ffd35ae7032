"""Injects the faults of a plan concurrently."""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from .crashingcontents import CrashingContents
from .crashingparts import CrashingParts
from .linkfaults import LinkFaults
from .plan import FaultInjector, FaultKind, PlannedFault
from .routerfaults import RouterFaults
from .site import SoakSite
from .standinfaults import EngineFaults, StoreFaults


@dataclass(slots=True)
class FaultRunner:
    """Injects the planned faults into the site; each fault ends by itself."""

    site: SoakSite
    injected: Counter[FaultKind] = field(default_factory=Counter)
    links: LinkFaults = field(init=False)
    crashing: CrashingContents = field(init=False)
    crashing_parts: CrashingParts = field(init=False)

    def __post_init__(self) -> None:
        """Create the faults whose record the checks need."""
        self.links = LinkFaults(self.site)
        self.crashing = CrashingContents(self.site)
        self.crashing_parts = CrashingParts(self.site)

    async def inject(self, plan: Sequence[PlannedFault]) -> None:
        """Inject all faults; return when the last one is over."""
        injectors_by_kind = self._injectors_by_kind()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for fault in plan:
                await asyncio.sleep(began_at + fault.at_s - loop.time())
                self.injected[fault.kind] += 1
                tasks.create_task(injectors_by_kind[fault.kind](fault))

    def _injectors_by_kind(self) -> Mapping[FaultKind, FaultInjector]:
        return {
            **RouterFaults(self.site).by_kind(),
            **self.links.by_kind(),
            **StoreFaults(self.site).by_kind(),
            **EngineFaults(self.site).by_kind(),
            **self.crashing.by_kind(),
            **self.crashing_parts.by_kind(),
        }
