"""How many requests this VM sent lately to engines with a limit."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

# A limit is kept over about this time, or over the time for one request.
WINDOW_S = 2.0


@dataclass(frozen=True, slots=True)
class Quota:
    """A whole number of requests in a time that make up a limit.

    Explanation
    ===========
    ``window_s`` is in seconds.
    """

    requests: int
    window_s: float

    @classmethod
    def of(cls, rate_per_s: float) -> 'Quota':
        """Return the quota of a limit in requests a second.

        Examples
        ========
        >>> Quota.of(3.2)
        Quota(requests=6, window_s=1.875)
        >>> Quota.of(0.1)
        Quota(requests=1, window_s=10.0)
        """
        requests = max(1, round(rate_per_s * WINDOW_S))
        return cls(requests, requests / rate_per_s)


@dataclass(slots=True)
class SentLately:
    """Monotonic times of this VM's requests, by incarnation key."""

    _times_by_key: dict[int, deque[float]] = field(default_factory=dict)

    def note(self, key: int, now: float) -> None:
        """Record a request that is sent now."""
        self._times_by_key.setdefault(key, deque()).append(now)

    def count(self, key: int, since: float) -> int:
        """Return the requests after a time, and forget the earlier ones."""
        times = self._times_by_key.get(key)
        if times is None:
            return 0
        while times and times[0] <= since:
            times.popleft()
        if not times:
            self._times_by_key.pop(key)
        return len(times)

    def counts(self, since_by_key: Mapping[int, float]) -> dict[int, int]:
        """Return the requests after a time for each engine that got any.

        Explanation
        ===========
        Engines without a time have no limit any more and are forgotten.
        """
        for unlimited in self._times_by_key.keys() - since_by_key.keys():
            self._times_by_key.pop(unlimited)
        sent_to = tuple(self._times_by_key)
        counts = {key: self.count(key, since_by_key[key]) for key in sent_to}
        return {key: count for key, count in counts.items() if count}
