"""How many requests each target runs, over all of the site's VMs."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..process.clock import Clock

# What a VM last told of itself counts for this long.
PEER_LIFETIME_S = 1.0


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Requests that another VM has under way, by engine id."""

    running_by_engine: Mapping[str, int]
    waiting_by_pool: Mapping[str, int]
    received_at: float


@dataclass(slots=True)
class InFlightCounts:
    """Own requests under way, and those that other VMs last told of."""

    clock: Clock
    running_by_engine: Counter[str] = field(default_factory=Counter)
    waiting_by_pool: Counter[str] = field(default_factory=Counter)
    loads_by_peer: dict[str, PeerLoad] = field(default_factory=dict)

    def begin(self, engine_id: str) -> None:
        """Count a request in."""
        self.running_by_engine[engine_id] += 1

    def end(self, engine_id: str) -> None:
        """Count a request out."""
        self.running_by_engine[engine_id] -= 1
        if not self.running_by_engine[engine_id]:
            self.running_by_engine.pop(engine_id)

    def running(self, engine_id: str) -> int:
        """Return the requests under way at an engine, as far as known."""
        now = self.clock.monotonic()
        return self.running_by_engine[engine_id] + sum(
            load.running_by_engine.get(engine_id, 0)
            for load in self.loads_by_peer.values()
            if now - load.received_at < PEER_LIFETIME_S
        )

    def waiting_now(self) -> Mapping[str, int]:
        """Return the requests that wait on this VM, by pool."""
        return {
            pool: count for pool, count in self.waiting_by_pool.items() if count
        }

    def waiting(self, pool: str) -> int:
        """Return the requests that wait for a pool, over all VMs."""
        now = self.clock.monotonic()
        return self.waiting_by_pool[pool] + sum(
            load.waiting_by_pool.get(pool, 0)
            for load in self.loads_by_peer.values()
            if now - load.received_at < PEER_LIFETIME_S
        )
