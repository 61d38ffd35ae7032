"""Estimates the load of a group from reports and own requests."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from ..process.engines import EngineLoad

REPORT_LAG_S = 0.5


class LoadChange(NamedTuple):
    """Change of a group's load by this entry at a monotonic time."""

    at: float
    requests: int
    words: int


@dataclass(slots=True)
class GroupLoad:
    """Load report of a group, corrected by this entry's later requests.

    Explanation
    ===========
    ``as_of`` is the time that the report describes, on this process's
    monotonic clock. Reports lag, so changes made after that time are added
    to the report; earlier ones are already included and are dropped. This
    entry's own requests in flight are a lower bound of the load.

    Examples
    ========
    >>> load = GroupLoad()
    >>> load.update(EngineLoad(running=3, slots=8), as_of=1)
    >>> load.apply(LoadChange(at=2, requests=1, words=100))
    >>> load.in_flight, load.pending_words(now=3, word_s=0.01)
    (4, 100)
    >>> load.update(EngineLoad(running=5, slots=8), as_of=3)
    >>> load.in_flight, load.pending_words(now=3, word_s=0.01)
    (5, 100)
    """

    reported: EngineLoad = field(default_factory=EngineLoad)
    as_of: float = float('-inf')
    has_report: bool = False
    own_requests: int = 0
    own_words: int = 0
    last_sent_at: float = float('-inf')
    _changes: deque[LoadChange] = field(default_factory=deque)
    _requests: int = 0
    _words: int = 0

    def update(self, load: EngineLoad, as_of: float) -> None:
        """Store a report unless a newer one is stored already."""
        if as_of <= self.as_of:
            return
        self.reported = load
        self.as_of = as_of
        self.has_report = True
        while self._changes and self._changes[0].at <= as_of:
            included = self._changes.popleft()
            self._requests -= included.requests
            self._words -= included.words

    def apply(self, change: LoadChange) -> None:
        """Apply a change of the load that this entry causes."""
        self._changes.append(change)
        if change.requests > 0:
            self.last_sent_at = change.at
        self._requests += change.requests
        self._words += change.words
        self.own_requests += change.requests
        self.own_words += change.words

    @property
    def in_flight(self) -> int:
        """Return the estimated requests at the group from all entries."""
        reported = self.reported.running + self.reported.waiting
        return max(self.own_requests, reported + self._requests)

    def pending_words(self, now: float, word_s: float) -> float:
        """Return the estimated number of prompt words awaiting prefill.

        Explanation
        ===========
        The words that the engine can have prefilled since the report, at
        ``word_s`` seconds each, are subtracted.
        """
        processed = max(0, now - self.as_of) / word_s
        reported = max(0, self.reported.token_backlog - processed)
        return max(self.own_words, reported + self._words)

    @property
    def waiting(self) -> int:
        """Return how many requests exceed the group's slots."""
        if not self.has_report:
            return 0
        return max(0, self.in_flight - self.reported.slots)
