"""Answers on their way from a run to its caller."""

import asyncio
from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import RudderError

MAX_QUEUED_PARTS = 32
CALLER_STALL_TIMEOUT_S = 60


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and end-to-end headers of an answer."""

    status: int
    headers: Mapping[str, str]


class Sink(Protocol):
    """Takes one answer: its head first, then its body in parts."""

    async def begin(self, head: AnswerHead) -> None:
        """Take the head."""

    async def send(self, part: bytes) -> None:
        """Take the next part of the body."""


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer, kept to be repeated."""

    head: AnswerHead
    body: bytes

    async def replay(self, sink: Sink) -> None:
        """Give the answer once more."""
        await sink.begin(self.head)
        await sink.send(self.body)


@dataclass(slots=True)
class AnswerRecorder:
    """Passes an answer on and keeps it while it is small."""

    onward: Sink
    max_bytes: int
    head: AnswerHead | None = None
    _body: bytearray = field(default_factory=bytearray)
    _is_too_large: bool = False

    async def begin(self, head: AnswerHead) -> None:
        """Pass the head on and keep it."""
        self.head = head
        await self.onward.begin(head)

    async def send(self, part: bytes) -> None:
        """Pass a part on and keep it if the whole stays small."""
        self._keep(part)
        await self.onward.send(part)

    def answer(self) -> StoredAnswer | None:
        """Return the answer, or ``None`` if it was too large to keep."""
        if self.head is None or self._is_too_large:
            return None
        return StoredAnswer(self.head, bytes(self._body))

    def _keep(self, part: bytes) -> None:
        if len(self._body) + len(part) > self.max_bytes:
            self._is_too_large = True
            self._body.clear()
        if not self._is_too_large:
            self._body += part


class _End:
    """Marks the end of a whole answer."""


_Part = AnswerHead | bytes | RudderError | _End


def _new_queue() -> asyncio.Queue[_Part]:
    return asyncio.Queue(MAX_QUEUED_PARTS)


@dataclass(slots=True)
class Delivery:
    """Carries an answer from a run to a caller who may leave before its end.

    Explanation
    ===========
    The run is slowed down to its caller's pace, so that memory is bounded.
    It goes on without the caller once that one leaves, or takes nothing for
    ``CALLER_STALL_TIMEOUT_S``.
    """

    caller_left: bool = False
    _queue: asyncio.Queue[_Part] = field(default_factory=_new_queue)

    async def begin(self, head: AnswerHead) -> None:
        """Hand over the head."""
        await self._put(head)

    async def send(self, part: bytes) -> None:
        """Hand over a part of the body."""
        await self._put(part)

    async def end(self, error: RudderError | None = None) -> None:
        """Hand over the end, or the error that ends the answer."""
        await self._put(error or _End())

    async def forward(self, sink: Sink) -> None:
        """Pass the answer on to the caller.

        Raises
        ======
        RudderError
            The run ended with this error.
        """
        with ExitStack() as stack:
            stack.callback(self._leave)
            while True:
                part = await self._queue.get()
                if isinstance(part, _End):
                    return
                await _pass_on(part, sink)

    async def _put(self, part: _Part) -> None:
        if self.caller_left:
            return
        try:
            await asyncio.wait_for(
                self._queue.put(part),
                CALLER_STALL_TIMEOUT_S,
            )
        except TimeoutError:
            self._leave()

    def _leave(self) -> None:
        self.caller_left = True
        # A run that waits for room in the queue finds it now.
        while not self._queue.empty():
            self._queue.get_nowait()


async def _pass_on(part: AnswerHead | bytes | RudderError, sink: Sink) -> None:
    if isinstance(part, RudderError):
        raise part
    if isinstance(part, AnswerHead):
        await sink.begin(part)
        return
    await sink.send(part)
