"""The children of a router in its domain's tree."""

from dataclasses import dataclass, field

from .keys import short_key
from .peeraddresses import PeerAddresses

MIN_CHILDREN = 3
MAX_CHILDREN = 16
# What a neighbour takes of the budget for notices while all counts change.
NEIGHBOUR_BYTES_PER_S = 14_000
# Keeps the rank in a notice's field, however deep the tree is for a moment.
MAX_RANK = 1_000_000_000
CHILD_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Children:
    """The VMs that have this one as their parent, and when they were heard.

    Parameters
    ==========
    limit : int
        Number of children beyond which further ones are redirected.
    """

    peers: PeerAddresses
    limit: int = MAX_CHILDREN
    heard_at: dict[str, float] = field(default_factory=dict)

    def note(self, child: str, now: float) -> None:
        """Record a notice of a child."""
        self.heard_at[child] = now

    def remove(self, child: str) -> None:
        """Record that a VM is no child any more, if it was one."""
        self.heard_at.pop(child, None)

    def expire(self, now: float) -> None:
        """Drop the children that were silent for too long."""
        self.heard_at = {
            child: heard_at
            for child, heard_at in self.heard_at.items()
            if now - heard_at <= CHILD_TIMEOUT_S
        }

    def ordered(self) -> list[str]:
        """Return the children in the order of the domain."""
        return sorted(self.heard_at, key=self.peers.order_key)

    def redirect_for(self, child: str) -> str:
        """Return the VM that a child should join instead, or ``''``."""
        ordered = self.ordered()
        if ordered.index(child) < self.limit:
            return ''
        # Spreads the others evenly, in another way at each level.
        key = short_key(self.peers.own_address + child)
        return ordered[key % self.limit]

    def rank_of(self, child: str, own_rank: int) -> int:
        """Return the rank of a child, different for all VMs of a domain."""
        place = min(self.ordered().index(child), MAX_CHILDREN - 1)
        return min(own_rank * MAX_CHILDREN + 1 + place, MAX_RANK)


def children_limit(bytes_per_s: float) -> int:
    """Return how many children a VM's budget for notices allows.

    Examples
    ========
    >>> [children_limit(budget) for budget in (25_000, 100_000, 2_500_000)]
    [3, 7, 16]
    """
    affordable = int(bytes_per_s / NEIGHBOUR_BYTES_PER_S)
    return min(max(affordable, MIN_CHILDREN), MAX_CHILDREN)
