"""One attempt in flight, as the routing policy sees it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..process.engines import load_from_header
from ..process.groups import GroupRecord
from .load import LoadChange
from .scoring import Prompt, Scorer

MIN_PACE_TOKENS = 8


def no_progress() -> int:
    """Return no tokens, for an answer that is not streamed."""
    return 0


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """Counts an attempt into its group's load and measures its pace.

    Explanation
    ===========
    ``progress`` returns how many tokens of the answer have come so far; whoever
    relays the answer sets it.
    """

    scorer: Scorer
    group: GroupRecord
    words: int
    progress: Callable[[], int] = field(default=no_progress)
    is_answered: bool = False
    _looked_at: float = 0
    _looked_tokens: int = 0

    @classmethod
    def begin(
        cls,
        scorer: Scorer,
        group: GroupRecord,
        prompt: Prompt,
    ) -> 'InFlightAttempt':
        """Count a new attempt in."""
        # A new generation drops what was known, so it is begun first.
        scorer.load(group)
        words = scorer.uncached_words(group, prompt)
        scorer.prefixes.note(group.group_id, prompt.block_hashes)
        in_flight = cls(scorer, group, words)
        in_flight.change(1, words)
        return in_flight

    def note_answer(self, headers: Mapping[str, str]) -> None:
        """Note that the answer has begun, with the load that it carries."""
        self.is_answered = True
        self.change(0, -self.words)
        self._looked_at = self.scorer.evidence.clock.monotonic()
        self._looked_tokens = self.progress()
        load = load_from_header(headers)
        if load is not None:
            self.scorer.note_response(self.group, load)

    def measure(self) -> None:
        """Note the pace since the last look if enough tokens have come."""
        if not self.is_answered:
            return
        tokens = self.progress() - self._looked_tokens
        if tokens < MIN_PACE_TOKENS:
            return
        now = self.scorer.evidence.clock.monotonic()
        pace = (now - self._looked_at) / tokens
        self.scorer.outliers.note(self.group.group_id, pace, now)
        self._looked_at = now
        self._looked_tokens += tokens

    def end(self) -> None:
        """Count the attempt out."""
        self.measure()
        self.change(-1, 0 if self.is_answered else -self.words)

    def change(self, requests: int, words: int) -> None:
        """Change the group's load."""
        now = self.scorer.evidence.clock.monotonic()
        load = self.scorer.load(self.group)
        load.apply(LoadChange(now, requests, words))
