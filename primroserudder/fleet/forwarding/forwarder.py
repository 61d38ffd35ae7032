"""Chooses a router for requests while no engine is reached from here."""

from dataclasses import dataclass, field

from ..balancing import TargetPool, split_pool
from ..model import Target
from ..retries import Ending
from .peers import ReachingPeers
from .reach import EngineReach

# A holder that misses its engines for a moment goes on.
GIVE_UP_LEASE_AFTER_S = 0.6


@dataclass(slots=True)
class Forwarder:
    """Says whether requests are forwarded, and to which routers."""

    reach: EngineReach
    peers: ReachingPeers
    failure_domain: str
    _pool: TargetPool = field(default_factory=TargetPool)

    async def close(self) -> None:
        """Close the connections to engines and routers."""
        await self.reach.orders.close_session()
        await self.peers.session.close()

    @property
    def is_active(self) -> bool:
        """Return whether requests go to other routers now."""
        return self.reach.is_cut_off and bool(self.peers.targets())

    @property
    def is_useless_as_holder(self) -> bool:
        """Return whether another VM should hold the site's lease."""
        lost_for_s = self.reach.clock.monotonic() - self.reach.cut_off_since
        return self.is_active and lost_for_s >= GIVE_UP_LEASE_AFTER_S

    def pool(self) -> TargetPool:
        """Return the routers that reach engines."""
        targets = self.peers.targets()
        if self._pool.targets is not targets:
            self._pool = split_pool(targets, self.failure_domain)
        return self._pool

    def note(self, target: Target, ending: Ending, began_at: float) -> None:
        """Record the end of an attempt, at an engine or at a router."""
        if target.is_router:
            self.peers.note(target, ending)
        else:
            self.reach.note(target.engine_id, ending, began_at)
