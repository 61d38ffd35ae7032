"""Counts how many requests with each part of prompts were answered.

Explanation
===========
Only whole answers count: a part that crashes engines has none, however many
requests carry it.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from .suspects import is_part

MAX_ANSWERS = 1000
MAX_PARTS = 4096
MIN_ANSWERS_TO_COMPARE = 50
COMMON_SHARE = 0.5


@dataclass(slots=True)
class PartCounts:
    """Answers of late, by part; all counts are halved now and then.

    Examples
    ========
    >>> counts = PartCounts()
    >>> for number in range(100):
    ...     counts.note(('part.first', f'part.{number % 4}'))
    >>> counts.is_common('part.first'), counts.is_common('part.1')
    (True, False)
    """

    answers: float = 0
    count_by_part: Counter[str] = field(default_factory=Counter)

    def note(self, parts: Iterable[str]) -> None:
        """Count a whole answer to a request with some parts."""
        known = tuple(parts)
        if not known:
            return
        self.answers += 1
        self.count_by_part.update(known)
        is_full = len(self.count_by_part) > MAX_PARTS
        if is_full or self.answers > MAX_ANSWERS:
            self._halve()

    def is_common(self, part: str) -> bool:
        """Return whether at least half of the answers were to a part."""
        if self.answers < MIN_ANSWERS_TO_COMPARE:
            return False
        return self.count_by_part[part] >= COMMON_SHARE * self.answers

    def rarity(self, suspect: str) -> tuple[float, bool, str]:
        """Return a sort key that is lowest for what few sound requests hold.

        Explanation
        ===========
        A content is one request's own. It sorts before parts without an
        answer, which other requests may carry.
        """
        return self.count_by_part[suspect], is_part(suspect), suspect

    def _halve(self) -> None:
        self.answers /= 2
        self.count_by_part = Counter(
            {
                part: count // 2
                for part, count in self.count_by_part.items()
                if count > 1
            }
        )
