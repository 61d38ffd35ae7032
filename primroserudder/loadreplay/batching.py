"""A model of a group that batches requests.

Explanation
===========
A step prefills waiting prompts in chunks and generates one token for each
request that is decoding; it takes longer the more requests decode. A group
that stops loses the requests that it runs.
"""

import asyncio
from dataclasses import dataclass, field

STEP_S = 0.008
STEP_PER_REQUEST_S = 0.0006
PREFILL_TOKENS_PER_S = 56_000
CHUNK_TOKENS = 512


@dataclass(slots=True)
class Run:
    """One request at a group."""

    prompt_tokens_left: int
    tokens_left: int
    progressed: asyncio.Event = field(default_factory=asyncio.Event)
    tokens: int = 0
    is_lost: bool = False

    def is_over(self) -> bool:
        """Return whether the request is done or lost."""
        return self.is_lost or not self.tokens_left


@dataclass(slots=True)
class BatchingGroup:
    """A group of engines, modelled by its head's batch."""

    slots: int
    is_open: bool = True
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
        """Run one step after another until cancelled."""
        while True:
            while not self._runs:
                self._busy.clear()
                await self._busy.wait()
            await asyncio.sleep(self._step())

    def _step(self) -> float:
        """Run a step and return its duration in seconds."""
        prefilled = self._prefill()
        decoding = [run for run in self._runs if not run.prompt_tokens_left]
        for decoding_run in decoding:
            decoding_run.tokens += 1
            decoding_run.tokens_left -= 1
            decoding_run.progressed.set()
        self._runs = [run for run in self._runs if run.tokens_left]
        decode_s = STEP_S + STEP_PER_REQUEST_S * len(decoding)
        return decode_s + prefilled / PREFILL_TOKENS_PER_S

    def _prefill(self) -> int:
        remaining = CHUNK_TOKENS
        for run in self._runs:
            chunk_tokens = min(remaining, run.prompt_tokens_left)
            run.prompt_tokens_left -= chunk_tokens
            remaining -= chunk_tokens
        return CHUNK_TOKENS - remaining
