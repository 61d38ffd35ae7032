"""Counts how many requests carry each part of prompts."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from .suspects import is_part

MAX_REQUESTS = 1000
MAX_PARTS = 4096
MIN_REQUESTS_TO_JUDGE = 50
COMMON_SHARE = 0.5


@dataclass(slots=True)
class PartCounts:
    """Requests of late, by part; all counts are halved now and then.

    Examples
    ========
    >>> counts = PartCounts()
    >>> for number in range(100):
    ...     counts.note(('part.first', f'part.{number % 4}'))
    >>> counts.is_common('part.first'), counts.is_common('part.1')
    (True, False)
    """

    requests: float = 0
    count_by_part: Counter[str] = field(default_factory=Counter)

    def note(self, parts: Iterable[str]) -> None:
        """Count a request that is admitted with some parts."""
        known = tuple(parts)
        if not known:
            return
        self.requests += 1
        self.count_by_part.update(known)
        is_full = len(self.count_by_part) > MAX_PARTS
        if is_full or self.requests > MAX_REQUESTS:
            self._halve()

    def is_common(self, part: str) -> bool:
        """Return whether at least half of the requests carry a part."""
        if self.requests < MIN_REQUESTS_TO_JUDGE:
            return False
        return self.count_by_part[part] >= COMMON_SHARE * self.requests

    def rarity(self, suspect: str) -> tuple[float, bool, str]:
        """Return a sort key that is lowest for a suspect of few requests.

        Explanation
        ===========
        A content counts as one request's own. A part that no other request
        carries covers it as well, and sorts first.
        """
        requests = max(self.count_by_part[suspect], 1)
        return requests, not is_part(suspect), suspect

    def _halve(self) -> None:
        self.requests /= 2
        self.count_by_part = Counter(
            {
                part: count // 2
                for part, count in self.count_by_part.items()
                if count > 1
            }
        )
