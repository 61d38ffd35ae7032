"""What an entry believes of the load of a group."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from ..process.engines import EngineLoad

REPORT_LAG_S = 0.5


class LoadChange(NamedTuple):
    """What this entry did to a group's load."""

    at: float
    requests: int
    words: int


@dataclass(slots=True)
class GroupLoad:
    """A lagged report, corrected by what this entry did since.

    Explanation
    ===========
    ``as_of`` is the time that the report describes, on this process's clock.
    Changes before it are in the report already and are dropped. What this
    entry itself has in flight is a lower bound of the load.

    Examples
    ========
    >>> load = GroupLoad()
    >>> load.report(EngineLoad(running=3, slots=8), as_of=1)
    >>> load.apply(LoadChange(at=2, requests=1, words=100))
    >>> load.in_flight, load.words(now=3, word_s=0.01)
    (4, 100)
    >>> load.report(EngineLoad(running=5, slots=8), as_of=3)
    >>> load.in_flight, load.words(now=3, word_s=0.01)
    (5, 100)
    """

    reported: EngineLoad = field(default_factory=EngineLoad)
    as_of: float = float('-inf')
    is_known: bool = False
    own_requests: int = 0
    own_words: int = 0
    sent_at: float = float('-inf')
    _changes: deque[LoadChange] = field(default_factory=deque)
    _requests: int = 0
    _words: int = 0

    def report(self, load: EngineLoad, as_of: float) -> None:
        """Take over a report unless a newer one is known."""
        if as_of <= self.as_of:
            return
        self.reported = load
        self.as_of = as_of
        self.is_known = True
        while self._changes and self._changes[0].at <= as_of:
            old = self._changes.popleft()
            self._requests -= old.requests
            self._words -= old.words

    def apply(self, change: LoadChange) -> None:
        """Note what this entry does to the load."""
        self._changes.append(change)
        if change.requests > 0:
            self.sent_at = change.at
        self._requests += change.requests
        self._words += change.words
        self.own_requests += change.requests
        self.own_words += change.words

    @property
    def in_flight(self) -> int:
        """Return how many requests the group holds, of all entries."""
        reported = self.reported.running + self.reported.waiting
        return max(self.own_requests, reported + self._requests)

    def words(self, now: float, word_s: float) -> float:
        """Return how many prompt words still wait for their prefill.

        Explanation
        ===========
        An engine works on while its report ages.
        """
        done = max(0, now - self.as_of) / word_s
        reported = max(0, self.reported.token_backlog - done)
        return max(self.own_words, reported + self._words)

    @property
    def waiting(self) -> int:
        """Return how many requests are beyond the group's slots."""
        if not self.is_known:
            return 0
        return max(0, self.in_flight - self.reported.slots)
