"""Decides which targets a request bound to regions may be sent to.

Explanation
===========
Engines get the request, and other routers its body. A target whose region is
unknown is in no region. Where a caller is isn't known to a router, so that a
body is forwarded to routers in allowed regions alone.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..model import Route, Target, Workspace

Regions = frozenset[str]


def allowed_regions(route: Route, workspace: Workspace) -> Regions | None:
    """Return the regions that a request is bound to, ``None`` if to none.

    Explanation
    ===========
    Those of the route and those of the workspace both bind.
    """
    if route.regions is None:
        return workspace.regions
    if workspace.regions is None:
        return route.regions
    return route.regions & workspace.regions


@dataclass(frozen=True, slots=True)
class RegionMap:
    """The region of each failure domain.

    Parameters
    ==========
    own_domain : str
        This VM's failure domain, which is in ``own_region`` if the map lacks
        it.
    """

    regions_by_domain: Mapping[str, str]
    own_domain: str
    own_region: str

    def inside(
        self, targets: Sequence[Target], allowed: Regions | None
    ) -> Sequence[Target]:
        """Return the targets in allowed regions, all without a restriction."""
        if allowed is None:
            return targets
        return [
            target
            for target in targets
            if self._region(target.failure_domain) in allowed
        ]

    def _region(self, failure_domain: str) -> str | None:
        """Return the region of a failure domain, ``None`` if it is unknown."""
        region = self.regions_by_domain.get(failure_domain)
        if region is None and failure_domain == self.own_domain:
            region = self.own_region
        return region or None
