"""How many requests an entry may have in flight at a deployment."""

from collections.abc import Mapping
from dataclasses import dataclass

ADAPT_INTERVAL_S = 0.25
WAITING_SHARE = 0.05
IDLE_SHARE = 0.15
DECREASE = 0.97
INCREASE = 1.01
RETURN = 0.02
LEAST_FACTOR = 0.5
RESERVE_SHARE = 0.06
LEAST_RESERVE = 1


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots that this entry may use together with other entries."""

    slots: int
    in_flight: int
    waiting: int
    entries: int


@dataclass(slots=True)
class Window:
    """This entry's part of the slots, adapted to what the engines report.

    Explanation
    ===========
    The base is the slots divided by the living entries. Where engines queue,
    because another entry is cut off from us and takes a part that we don't
    know of, the window shrinks. Where slots stay idle while requests wait
    here, because the balancer gives other entries less, it grows. Without
    either it goes back to the base. A reserve is kept for workspaces that use
    less than their share.
    """

    factor: float = 1
    base: float = 0
    renewed_at: float = float('-inf')

    @property
    def size(self) -> float:
        """Return the window in requests."""
        return self.base * self.factor

    @property
    def reserve(self) -> float:
        """Return the part that only workspaces within their share may use."""
        return max(LEAST_RESERVE, self.size * RESERVE_SHARE)

    @property
    def open_size(self) -> float:
        """Return what workspaces beyond their share may use."""
        return self.size - self.reserve

    @property
    def full_size(self) -> float:
        """Return what workspaces within their share may use."""
        return max(self.size, self.base)

    def is_due(self, now: float) -> bool:
        """Return whether the window should be adapted again."""
        return now - self.renewed_at >= ADAPT_INTERVAL_S

    def adapt(self, capacity: Capacity, now: float, *, is_short: bool) -> None:
        """Adapt the window; ``is_short`` says that requests wait here."""
        self.renewed_at = now
        entries = max(1, capacity.entries)
        self.base = capacity.slots / entries
        idle = capacity.slots - capacity.in_flight
        if capacity.waiting > WAITING_SHARE * capacity.slots:
            self.factor = max(LEAST_FACTOR, self.factor * DECREASE)
        elif is_short and idle > IDLE_SHARE * capacity.slots:
            self.factor = min(entries, self.factor * INCREASE)
        else:
            self.factor += RETURN * (1 - self.factor)

    def dump(self) -> Mapping[str, float]:
        """Return the window for the state dump."""
        return {
            'size': round(self.size, 1),
            'base': round(self.base, 1),
            'factor': round(self.factor, 3),
            'reserve': round(self.reserve, 1),
        }
