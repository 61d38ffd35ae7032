"""Estimates the work of a request in seconds of an engine.

Explanation
===========
The load is one of requests that cost engines very different amounts of work.
Reading the prompt and writing the answer are kept apart: the size of a prompt
is known from the request, that of an answer has a spread.
"""

from dataclasses import dataclass, field

from ..model import EngineSpec, EngineTimes
from .answers import AnswerHistory, AnswerKey, Size, SizesByKey
from .enginetimes import read_s, write_s

# Larger counts of tokens are no requests that an engine could hold.
MAX_TOKENS = 10_000_000
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class RequestSize:
    """What is known of a request before it runs; zero tokens are unknown."""

    model: str
    route: str
    workspace: str
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    hint_tokens: int = 0

    @property
    def keys(self) -> tuple[AnswerKey, ...]:
        """Return the keys to learn its answer under, the most special first."""
        return (
            (self.model, self.route, self.workspace),
            (self.model, self.route),
            (self.model,),
        )


@dataclass(frozen=True, slots=True)
class Work:
    """The estimated work of a request at an engine of pace 1.

    Parameters
    ==========
    read_s, write_s : float
        Seconds of an engine, for a median answer.
    answer : Size
        Length of the answer in tokens.
    held_tokens : int
        Tokens for which the engine needs memory at most.
    slows_s : float
        What each other request of the engine loses by this one, in seconds:
        the time to read its prompt, and the longer steps while it writes.
    """

    read_s: float
    write_s: float
    answer: Size
    held_tokens: int
    slows_s: float


@dataclass(slots=True)
class WorkEstimator:
    """Estimates requests, and learns from their answers."""

    answers: AnswerHistory = field(default_factory=AnswerHistory)
    _plain_ms: SizesByKey = field(default_factory=SizesByKey)

    def estimate(
        self, request: RequestSize, spec: EngineSpec, times: EngineTimes
    ) -> Work:
        """Return the work of a request at an engine with stated times."""
        usual = times.usual_prompt_tokens
        prompt = min(request.prompt_tokens or usual, MAX_TOKENS)
        answer = self._answer(request, times)
        longest = min(request.max_answer_tokens or answer.high, MAX_TOKENS)
        prompt_s = read_s(times, prompt)
        return Work(
            prompt_s,
            write_s(times, answer.median, spec.slots),
            answer,
            round(prompt + longest),
            prompt_s + times.request_s * answer.median,
        )

    def plain_s(self, route: str) -> Size | None:
        """Return the time of a plain service's answer to a route's request."""
        answer_ms = self._plain_ms.size(((route,),))
        if answer_ms is None:
            return None
        return Size(answer_ms.median / MS_PER_S, answer_ms.spread)

    def record_answer(self, request: RequestSize, tokens: int) -> None:
        """Learn from an answer that was received from begin to end."""
        hint = min(request.hint_tokens, MAX_TOKENS)
        self.answers.record(request.keys, tokens, hint)

    def record_plain(self, route: str, seconds: float) -> None:
        """Learn from the answer of a plain service."""
        self._plain_ms.record(((route,),), seconds * MS_PER_S)

    def _answer(self, request: RequestSize, times: EngineTimes) -> Size:
        """Return the length of an answer, within the caller's maximum."""
        hint = min(request.hint_tokens, MAX_TOKENS)
        size = self.answers.estimate(
            request.keys, hint, times.usual_answer_tokens
        )
        if size is None:
            size = Size(max(1, request.max_answer_tokens / 2), 1)
        longest = request.max_answer_tokens
        if longest and longest < size.median:
            return Size(longest, size.spread)
        return size
