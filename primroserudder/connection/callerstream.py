"""The caller's end of one streamed answer."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

from aiohttp import web

from ..errors import Ran, RudderError
from ..process.clock import Clock
from ..process.metrics import Metrics
from ..request.problem import (
    RAN_HEADER,
    REQUEST_ID_HEADER,
    problem_event,
)
from ..request.watchdog import CALLER_STALL_TIMEOUT_S, CallerStalled

# The time between tokens is recorded for one stream in this many, since a
# record costs a twentieth of all that an entry does for a token.
PACED_STREAM_SHARE = 8


@dataclass(slots=True)
class CallerStream:
    """Writes events to a caller; the first one sends the headers.

    Explanation
    ===========
    A write waits while the transport's buffer is full, and nothing is read
    from the upstream meanwhile. So a slow caller holds no more than the
    buffers of its two connections.
    """

    request: web.Request
    request_id: str
    clock: Clock
    metrics: Metrics
    arrived_at: float
    response: web.StreamResponse = field(init=False)
    _last_at: float = 0

    def __post_init__(self) -> None:
        """Make the response; nothing is sent yet."""
        self.response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-cache',
                RAN_HEADER: Ran.YES.value,
                REQUEST_ID_HEADER: self.request_id,
            },
        )

    @property
    def has_begun(self) -> bool:
        """Return whether the caller may have got a part of the answer."""
        return self.response.prepared

    async def send(self, events: bytes) -> None:
        """Write events; return once there is room for more."""
        if self._last_at:
            self._note_pace()
        elif not self.response.prepared:
            await self._begin()
        await self.response.write(events)

    async def fail(self, error: RudderError) -> None:
        """End the stream with an error and without its end mark."""
        self.metrics.count('requests', code=error.code)
        if isinstance(error, CallerStalled):
            self._abort()
            return
        await self.finish(problem_event(error, self.request_id))

    async def finish(self, last: bytes = b'') -> None:
        """Write what is left; cut a caller that does not take it."""
        with suppress(TimeoutError):
            async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
                await self.response.write_eof(last)
                return
        self._abort()

    async def _begin(self) -> None:
        latency = self.metrics.latency('time_to_first_token')
        now = self.clock.monotonic()
        latency.record(now - self.arrived_at)
        if latency.histogram.get_total_count() % PACED_STREAM_SHARE == 1:
            self._last_at = now
        await self.response.prepare(self.request)

    def _note_pace(self) -> None:
        now = self.clock.monotonic()
        self.metrics.latency('time_between_tokens').record(now - self._last_at)
        self._last_at = now

    def _abort(self) -> None:
        if self.request.transport is not None:
            self.request.transport.abort()
