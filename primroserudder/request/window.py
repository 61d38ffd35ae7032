"""Window of in-flight requests of one entry at a deployment."""

from collections.abc import Mapping
from dataclasses import dataclass

ADAPT_INTERVAL_S = 0.25
WAITING_SHARE = 0.05
IDLE_SHARE = 0.15
DECREASE_FACTOR = 0.97
INCREASE_FACTOR = 1.01
RECOVERY_RATE = 0.02
MIN_FACTOR = 0.5
RESERVE_SHARE = 0.06
MIN_RESERVE = 1


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of a deployment that this entry shares with other entries."""

    slots: int
    in_flight: int
    waiting: int
    entries: int


@dataclass(slots=True)
class Window:
    """This entry's share of the slots, adapted to the engines' load.

    Explanation
    ===========
    The base is the number of slots divided by the number of live entries. The
    window shrinks if requests queue in the engines, which happens if another
    entry is unreachable from this one and uses slots that it does not count.
    The window grows if slots stay idle while requests wait here, which
    happens if the load balancer sends less traffic to other entries. Otherwise
    it returns to the base. A reserve is kept for workspaces that use less than
    their share.
    """

    factor: float = 1
    base: float = 0
    adapted_at: float = float('-inf')

    @property
    def size(self) -> float:
        """Return the size of the window in requests."""
        return self.base * self.factor

    @property
    def reserve(self) -> float:
        """Return the requests reserved for workspaces below their share."""
        return max(MIN_RESERVE, self.size * RESERVE_SHARE)

    @property
    def open_size(self) -> float:
        """Return the requests open to workspaces above their share."""
        return self.size - self.reserve

    @property
    def full_size(self) -> float:
        """Return the requests open to workspaces within their share."""
        return max(self.size, self.base)

    def is_due(self, now: float) -> bool:
        """Return whether the window is due for its next adaptation."""
        return now - self.adapted_at >= ADAPT_INTERVAL_S

    def adapt(self, capacity: Capacity, now: float, *, is_short: bool) -> None:
        """Adapt the window; ``is_short`` is true if requests wait here."""
        self.adapted_at = now
        entries = max(1, capacity.entries)
        self.base = capacity.slots / entries
        idle = capacity.slots - capacity.in_flight
        if capacity.waiting > WAITING_SHARE * capacity.slots:
            self.factor = max(MIN_FACTOR, self.factor * DECREASE_FACTOR)
        elif is_short and idle > IDLE_SHARE * capacity.slots:
            self.factor = min(entries, self.factor * INCREASE_FACTOR)
        else:
            self.factor += RECOVERY_RATE * (1 - self.factor)

    def dump(self) -> Mapping[str, float]:
        """Return the window for the state dump."""
        return {
            'size': round(self.size, 1),
            'base': round(self.base, 1),
            'factor': round(self.factor, 3),
            'reserve': round(self.reserve, 1),
        }
