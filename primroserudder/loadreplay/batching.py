"""The project's own model of a group that batches requests.

Explanation
===========
A pass reads waiting prompts in pieces and makes one token for each request
that writes; it takes the longer, the more requests write. A group that stops
ends what it runs.
"""

import asyncio
from dataclasses import dataclass, field

STEP_S = 0.008
PER_WRITER_S = 0.0006
READ_TOKENS_PER_S = 56_000
CHUNK_TOKENS = 512


@dataclass(slots=True)
class Run:
    """One request at a group."""

    prompt_left: int
    tokens_left: int
    moved: asyncio.Event = field(default_factory=asyncio.Event)
    tokens: int = 0
    is_lost: bool = False

    def is_over(self) -> bool:
        """Return whether it is done or lost."""
        return self.is_lost or not self.tokens_left


@dataclass(slots=True)
class BatchingGroup:
    """A group of engines, as its head works."""

    slots: int
    is_open: bool = True
    _runs: list[Run] = field(default_factory=list)
    _busy: asyncio.Event = field(default_factory=asyncio.Event)

    def submit(self, prompt_tokens: int, answer_tokens: int) -> Run | None:
        """Take a request, or refuse it without having run it."""
        if not self.is_open or len(self._runs) >= self.slots:
            return None
        run = Run(prompt_tokens, answer_tokens)
        self._runs.append(run)
        self._busy.set()
        return run

    def drop(self, run: Run) -> None:
        """End a request whose caller left."""
        if run in self._runs:
            self._runs.remove(run)

    def stop(self) -> None:
        """Lose everything that runs, and take nothing more."""
        self.is_open = False
        for run in self._runs:
            run.is_lost = True
            run.moved.set()
        self._runs.clear()

    async def work(self) -> None:
        """Do one pass after another until cancelled."""
        while True:
            while not self._runs:
                self._busy.clear()
                await self._busy.wait()
            await asyncio.sleep(self._pass())

    def _pass(self) -> float:
        """Do a pass and return how long it takes."""
        read = self._read()
        writers = [one for one in self._runs if not one.prompt_left]
        for writer in writers:
            writer.tokens += 1
            writer.tokens_left -= 1
            writer.moved.set()
        self._runs = [one for one in self._runs if one.tokens_left]
        writing_s = STEP_S + PER_WRITER_S * len(writers)
        return writing_s + read / READ_TOKENS_PER_S

    def _read(self) -> int:
        left = CHUNK_TOKENS
        for run in self._runs:
            taken = min(left, run.prompt_left)
            run.prompt_left -= taken
            left -= taken
        return CHUNK_TOKENS - left
