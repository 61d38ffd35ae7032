"""How often this VM looked lately for a place at engines with a limit."""

from collections.abc import Collection
from dataclasses import dataclass, field

# Looks are counted over the last whole interval of this length.
INTERVAL_S = 0.5


@dataclass(slots=True)
class _Interval:
    """Looks in the interval that runs, and in the one before it."""

    number: int
    looks: int = 0
    looks_before: int = 0


@dataclass(slots=True)
class LooksLately:
    """Looks by incarnation key, in two intervals each."""

    _interval_by_key: dict[int, _Interval] = field(default_factory=dict)

    def note(self, key: int, now: float) -> None:
        """Record a look at an engine."""
        self._current(key, now).looks += 1

    def count(self, key: int, now: float) -> float:
        """Return the looks at an engine, a second."""
        interval = self._current(key, now)
        return max(interval.looks, interval.looks_before) / INTERVAL_S

    def counts(self, keys: Collection[int], now: float) -> dict[int, int]:
        """Return the looks a second for each of some engines, if any.

        Explanation
        ===========
        Counts are rounded up to a power of two, so that notices change
        seldom. Other engines are forgotten.
        """
        for unlimited in self._interval_by_key.keys() - keys:
            self._interval_by_key.pop(unlimited)
        looked_at = tuple(self._interval_by_key)
        counts = {key: self.count(key, now) for key in looked_at}
        return {
            key: _power_of_two(count) for key, count in counts.items() if count
        }

    def _current(self, key: int, now: float) -> _Interval:
        number = int(now / INTERVAL_S)
        known = self._interval_by_key.get(key)
        if known is None:
            known = _Interval(number)
        if known.number != number:
            is_next = number == known.number + 1
            before = known.looks if is_next else 0
            known = _Interval(number, 0, before)
        self._interval_by_key[key] = known
        return known


def _power_of_two(count: float) -> int:
    """Return the least power of two that is no lower than a count.

    Examples
    ========
    >>> _power_of_two(1), _power_of_two(5), _power_of_two(64)
    (1, 8, 64)
    """
    return 1 << (int(count) - 1).bit_length()
