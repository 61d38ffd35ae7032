"""A model of a group that batches requests.

Explanation
===========
A pass begins with the requests that arrived before it. Each of its steps
prefills waiting prompts in chunks and generates one token for each request
that is decoding; it takes longer the more requests decode. A pass with
requests in decode makes several steps, the others one. What a pass generated
is sent at its end. A group that stops loses the requests that it runs.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..fleet.model import EngineTimes

# Times of the patterns that state none.
STEP_S = 0.008
STEP_PER_REQUEST_S = 0.0006
PREFILL_TOKENS_PER_S = 56_000
CHUNK_TOKENS = 512
DEFAULT_TIMES = EngineTimes(
    step_s=STEP_S,
    read_tokens_per_s=PREFILL_TOKENS_PER_S,
    request_s=STEP_PER_REQUEST_S,
    chunk_tokens=CHUNK_TOKENS,
)
PAIR = 2


@dataclass(slots=True, eq=False)
class Run:
    """One request at a group."""

    prompt_tokens_left: int
    tokens_left: int
    progressed: asyncio.Event = field(default_factory=asyncio.Event)
    tokens: int = 0
    # Tokens that were sent, with the pass that generated them.
    sent_tokens: int = 0
    prompt_tokens_read: int = 0
    is_lost: bool = False

    def is_over(self) -> bool:
        """Return whether the request is done or lost."""
        return self.is_lost or self.is_sent()

    def is_sent(self) -> bool:
        """Return whether all tokens were generated and sent."""
        return not self.tokens_left and self.sent_tokens == self.tokens


@dataclass(slots=True)
class BatchingGroup:
    """A group of engines, modelled by its head's batch.

    Parameters
    ==========
    pace : float
        A factor of all times.
    sends_early : bool
        Whether a pass sends at its begin, as if its time were spent after it.
        The figures of docs/design/worst-load.md were measured so.
    """

    slots: int
    is_open: bool = True
    times: EngineTimes = DEFAULT_TIMES
    pace: float = 1
    sends_early: bool = False
    _runs: list[Run] = field(default_factory=list)
    _busy: asyncio.Event = field(default_factory=asyncio.Event)

    def submit(self, prompt_tokens: int, answer_tokens: int) -> Run | None:
        """Accept a request, or return None if the group is closed or full."""
        if not self.is_open or len(self._runs) >= self.slots:
            return None
        run = Run(prompt_tokens, answer_tokens)
        self._runs.append(run)
        self._busy.set()
        return run

    def drop(self, run: Run) -> None:
        """Remove a request whose caller disconnected."""
        if run in self._runs:
            self._runs.remove(run)

    def stop(self) -> None:
        """Lose all running requests and accept no more."""
        self.is_open = False
        for run in self._runs:
            run.is_lost = True
            run.progressed.set()
        self._runs.clear()

    async def run(self) -> None:
        """Run one pass after another until cancelled."""
        while True:
            while not self._runs:
                self._busy.clear()
                await self._busy.wait()
            runs = tuple(self._runs)
            pass_s = self._pass(runs) * self.pace
            if self.sends_early:
                self._send(runs)
            await asyncio.sleep(pass_s)
            self._send(runs)

    def _pass(self, runs: Sequence[Run]) -> float:
        """Run a pass and return its duration in seconds at pace 1."""
        has_decode = any(not run.prompt_tokens_left for run in runs)
        steps = self.times.steps_per_pass if has_decode else 1
        return sum(self._step(runs) for _ in range(steps))

    def _step(self, runs: Sequence[Run]) -> float:
        """Run a step and return its duration in seconds at pace 1."""
        if not any(run.tokens_left for run in runs):
            return 0
        read_s = self._prefill(runs)
        decoding = [
            each
            for each in runs
            if each.tokens_left and not each.prompt_tokens_left
        ]
        context_tokens = 0
        for decoding_run in decoding:
            decoding_run.tokens += 1
            decoding_run.tokens_left -= 1
            context_tokens += (
                decoding_run.prompt_tokens_read + decoding_run.tokens
            )
        times = self.times
        decode_s = times.step_s + times.request_s * len(decoding)
        return decode_s + times.context_token_s * context_tokens + read_s

    def _prefill(self, runs: Sequence[Run]) -> float:
        """Read a chunk of prompts and return the seconds that it takes."""
        times = self.times
        left = times.chunk_tokens or sum(
            waiting.prompt_tokens_left for waiting in runs
        )
        read_s = float(0)
        for reading in runs:
            chunk_tokens = min(left, reading.prompt_tokens_left)
            if not chunk_tokens:
                continue
            before = reading.prompt_tokens_read
            reading.prompt_tokens_left -= chunk_tokens
            reading.prompt_tokens_read += chunk_tokens
            left -= chunk_tokens
            pairs = (reading.prompt_tokens_read**PAIR - before**PAIR) / PAIR
            read_s += chunk_tokens / times.read_tokens_per_s
            read_s += pairs * times.pair_s
        return read_s

    def _send(self, runs: Sequence[Run]) -> None:
        """Send what a pass generated, and end what is done."""
        for run in runs:
            if run.sent_tokens < run.tokens:
                run.sent_tokens = run.tokens
                run.progressed.set()
        self._runs = [each for each in self._runs if not each.is_sent()]
