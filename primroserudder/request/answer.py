"""Delivery of an answer from its execution to the caller."""

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
    """Receives one answer: its head first, then its body in parts."""

    async def begin(self, head: AnswerHead) -> None:
        """Receive the head."""

    async def send(self, part: bytes) -> None:
        """Receive the next part of the body."""


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete answer, stored so that it can be replayed."""

    head: AnswerHead
    body: bytes

    async def replay(self, sink: Sink) -> None:
        """Send the stored answer to a sink."""
        await sink.begin(self.head)
        await sink.send(self.body)


@dataclass(slots=True)
class AnswerRecorder:
    """Forwards an answer and records it up to ``max_bytes`` of body."""

    sink: Sink
    max_bytes: int
    head: AnswerHead | None = None
    _body: bytearray = field(default_factory=bytearray)
    _is_too_large: bool = False

    async def begin(self, head: AnswerHead) -> None:
        """Record the head and forward it."""
        self.head = head
        await self.sink.begin(head)

    async def send(self, part: bytes) -> None:
        """Record a part if the body stays within the limit; forward it."""
        self._record(part)
        await self.sink.send(part)

    def answer(self) -> StoredAnswer | None:
        """Return the answer, or ``None`` if it has no head or is too large."""
        if self.head is None or self._is_too_large:
            return None
        return StoredAnswer(self.head, bytes(self._body))

    def _record(self, part: bytes) -> None:
        if len(self._body) + len(part) > self.max_bytes:
            self._is_too_large = True
            self._body.clear()
        if not self._is_too_large:
            self._body += part


class _EndOfAnswer:
    """Marks the end of a complete answer."""


_Part = AnswerHead | bytes | RudderError | _EndOfAnswer


def _new_queue() -> asyncio.Queue[_Part]:
    return asyncio.Queue(MAX_QUEUED_PARTS)


@dataclass(slots=True)
class Delivery:
    """Queues an answer between its execution and its caller.

    Explanation
    ===========
    The queue is bounded, so that a slow caller slows the execution down and
    memory stays bounded. If the caller disconnects, or reads nothing for
    ``CALLER_STALL_TIMEOUT_S``, the execution continues and its output is
    dropped.
    """

    caller_left: bool = False
    _queue: asyncio.Queue[_Part] = field(default_factory=_new_queue)

    async def begin(self, head: AnswerHead) -> None:
        """Queue the head."""
        await self._put(head)

    async def send(self, part: bytes) -> None:
        """Queue a part of the body."""
        await self._put(part)

    async def end(self, error: RudderError | None = None) -> None:
        """Queue the end, or the error that ends the answer."""
        await self._put(error or _EndOfAnswer())

    async def forward(self, sink: Sink) -> None:
        """Forward the answer to the caller until its end.

        Raises
        ======
        RudderError
            The execution ended with this error.
        """
        with ExitStack() as stack:
            stack.callback(self._detach_caller)
            while True:
                part = await self._queue.get()
                if isinstance(part, _EndOfAnswer):
                    return
                await _forward_part(part, sink)

    async def _put(self, part: _Part) -> None:
        if self.caller_left:
            return
        try:
            await asyncio.wait_for(
                self._queue.put(part),
                CALLER_STALL_TIMEOUT_S,
            )
        except TimeoutError:
            self._detach_caller()

    def _detach_caller(self) -> None:
        self.caller_left = True
        # Unblocks an execution that waits for room in the queue.
        while not self._queue.empty():
            self._queue.get_nowait()


async def _forward_part(
    part: AnswerHead | bytes | RudderError, sink: Sink
) -> None:
    if isinstance(part, RudderError):
        raise part
    if isinstance(part, AnswerHead):
        await sink.begin(part)
        return
    await sink.send(part)
