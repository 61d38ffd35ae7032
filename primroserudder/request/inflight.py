"""Accounting of one in-flight attempt for the routing policy."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..process.engines import load_from_header
from ..process.groups import GroupRecord
from .load import LoadChange
from .scoring import Prompt, Scorer

MIN_PACE_TOKENS = 8


def no_progress() -> int:
    """Return zero tokens, for an answer that is not streamed."""
    return 0


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """Adds an attempt to its group's load and measures its pace.

    Explanation
    ===========
    ``progress`` returns the number of answer tokens received so far; the code
    that relays the answer sets it. ``words`` is the number of prompt words
    that the group has to prefill. The pace is in seconds per token.
    """

    scorer: Scorer
    group: GroupRecord
    words: int
    progress: Callable[[], int] = field(default=no_progress)
    is_answered: bool = False
    _measured_at: float = 0
    _measured_tokens: int = 0

    @classmethod
    def begin(
        cls,
        scorer: Scorer,
        group: GroupRecord,
        prompt: Prompt,
    ) -> 'InFlightAttempt':
        """Add a new attempt to the load of its group."""
        # Loading a new generation of the group discards its old state, so it
        # has to come before the prefixes are read.
        scorer.load(group)
        words = scorer.uncached_words(group, prompt)
        scorer.prefixes.note(group.group_id, prompt.block_hashes)
        in_flight = cls(scorer, group, words)
        in_flight.change(1, words)
        return in_flight

    def note_answer(self, headers: Mapping[str, str]) -> None:
        """Record the start of the answer and the load in its headers."""
        self.is_answered = True
        self.change(0, -self.words)
        self._measured_at = self.scorer.evidence.clock.monotonic()
        self._measured_tokens = self.progress()
        load = load_from_header(headers)
        if load is not None:
            self.scorer.note_response(self.group, load)

    def measure(self) -> None:
        """Record the pace since the last measurement, given enough tokens."""
        if not self.is_answered:
            return
        tokens = self.progress() - self._measured_tokens
        if tokens < MIN_PACE_TOKENS:
            return
        now = self.scorer.evidence.clock.monotonic()
        pace = (now - self._measured_at) / tokens
        self.scorer.outliers.note(self.group.group_id, pace, now)
        self._measured_at = now
        self._measured_tokens += tokens

    def end(self) -> None:
        """Remove the attempt from the load of its group."""
        self.measure()
        self.change(-1, 0 if self.is_answered else -self.words)

    def change(self, requests: int, words: int) -> None:
        """Add requests and prompt words to the load of the group."""
        now = self.scorer.evidence.clock.monotonic()
        load = self.scorer.load(self.group)
        load.apply(LoadChange(now, requests, words))
