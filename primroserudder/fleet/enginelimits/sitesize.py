"""How many VMs this VM hears of, and how many there may be."""

from collections.abc import Callable
from dataclasses import dataclass

from ...process.clock import Clock
from ..membership import InFlightCounts

# VMs that were not heard for this long don't count any more.
SITE_SIZE_MEMORY_S = 300.0


@dataclass(slots=True)
class SiteSize:
    """The numbers of VMs by which limits are shared.

    Parameters
    ==========
    known_vms : Callable
        Returns how many VMs the site has at most, including this one.
    """

    counts: InFlightCounts
    clock: Clock
    known_vms: Callable[[], int]
    _most_vms: int = 1
    _most_vms_at: float = float('-inf')

    def heard_share(self) -> float:
        """Return the share of the site's VMs that hear of each other."""
        heard, most = self._heard(), self._most()
        return min(1.0, heard / min(most, self.known_vms()))

    def vms(self) -> int:
        """Return by how many VMs a limit is shared.

        Explanation
        ===========
        All known VMs count, also those that ended: a VM can't tell them from
        those that it doesn't hear, and a VM that has just started hears none.
        """
        return max(self._heard(), self.known_vms())

    def _heard(self) -> int:
        return self.counts.others_vms + 1

    def _most(self) -> int:
        now = self.clock.monotonic()
        heard = self._heard()
        is_outdated = now - self._most_vms_at > SITE_SIZE_MEMORY_S
        if heard >= self._most_vms or is_outdated:
            self._most_vms = heard
            self._most_vms_at = now
        return self._most_vms
