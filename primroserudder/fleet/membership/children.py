"""The children of a router in its domain's tree."""

from dataclasses import dataclass, field

from .keys import short_key
from .peeraddresses import PeerAddresses

FANOUT = 8
CHILD_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Children:
    """The VMs that have this one as their parent, and when they were heard."""

    peers: PeerAddresses
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
        if ordered.index(child) < FANOUT:
            return ''
        # Spreads the others evenly, in whatever order they leave.
        return ordered[short_key(child) % FANOUT]

    def rank_of(self, child: str, own_rank: int) -> int:
        """Return the rank of a child, different for all VMs of a domain."""
        return own_rank * FANOUT + 1 + self.ordered().index(child)
