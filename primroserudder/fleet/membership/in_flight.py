"""Counts in-flight requests per engine over all VMs of the site."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..process.clock import Clock

# A peer's last report counts for this long.
PEER_LIFETIME_S = 1.0


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """In-flight and waiting requests that another VM reported."""

    running_by_engine: Mapping[str, int]
    waiting_by_pool: Mapping[str, int]
    received_at: float


@dataclass(slots=True)
class InFlightCounts:
    """In-flight requests of this VM and those last reported by its peers."""

    clock: Clock
    running_by_engine: Counter[str] = field(default_factory=Counter)
    waiting_by_pool: Counter[str] = field(default_factory=Counter)
    loads_by_peer: dict[str, PeerLoad] = field(default_factory=dict)

    def begin(self, engine_id: str) -> None:
        """Count a request that starts at an engine."""
        self.running_by_engine[engine_id] += 1

    def end(self, engine_id: str) -> None:
        """Count a request that ended at an engine."""
        self.running_by_engine[engine_id] -= 1
        if not self.running_by_engine[engine_id]:
            self.running_by_engine.pop(engine_id)

    def running(self, engine_id: str) -> int:
        """Return the in-flight requests at an engine, as last reported."""
        now = self.clock.monotonic()
        return self.running_by_engine[engine_id] + sum(
            load.running_by_engine.get(engine_id, 0)
            for load in self.loads_by_peer.values()
            if now - load.received_at < PEER_LIFETIME_S
        )

    def waiting_now(self) -> Mapping[str, int]:
        """Return the number of waiting requests on this VM by pool."""
        return {
            pool: count for pool, count in self.waiting_by_pool.items() if count
        }

    def waiting(self, pool: str) -> int:
        """Return the number of requests that wait for a pool on all VMs."""
        now = self.clock.monotonic()
        return self.waiting_by_pool[pool] + sum(
            load.waiting_by_pool.get(pool, 0)
            for load in self.loads_by_peer.values()
            if now - load.received_at < PEER_LIFETIME_S
        )
