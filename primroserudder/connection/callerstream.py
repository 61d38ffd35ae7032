"""The connection to the caller of one streamed answer."""

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

# The time between tokens is recorded for one stream in this many, because a
# record takes a twentieth of an entry's work for a token.
STREAMS_PER_TIMED_STREAM = 8


@dataclass(slots=True)
class CallerStream:
    """Writes events to a caller and sends the headers before the first.

    Explanation
    ===========
    A write waits while the transport's buffer is full, and the upstream is
    not read during that time. A slow caller therefore uses at most the
    buffers of the caller's and the upstream's connections.
    """

    request: web.Request
    request_id: str
    clock: Clock
    metrics: Metrics
    arrived_at: float
    response: web.StreamResponse = field(init=False)
    _last_event_at: float = 0

    def __post_init__(self) -> None:
        """Create the response without sending anything."""
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
        """Return whether the caller may have received part of the answer."""
        return self.response.prepared

    async def send(self, events: bytes) -> None:
        """Write events and return when the buffer has room for more."""
        if self._last_event_at:
            self._record_token_interval()
        elif not self.response.prepared:
            await self._begin()
        await self.response.write(events)

    async def fail(self, error: RudderError) -> None:
        """End the stream with an error event and without ``[DONE]``."""
        self.metrics.count('requests', code=error.code)
        if isinstance(error, CallerStalled):
            self._abort()
            return
        await self.finish(problem_event(error, self.request_id))

    async def finish(self, last: bytes = b'') -> None:
        """Write the last events; abort the connection if it stalls."""
        with suppress(TimeoutError):
            async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
                await self.response.write_eof(last)
                return
        self._abort()

    async def _begin(self) -> None:
        latency = self.metrics.latency('time_to_first_token')
        now = self.clock.monotonic()
        latency.record(now - self.arrived_at)
        if latency.histogram.get_total_count() % STREAMS_PER_TIMED_STREAM == 1:
            self._last_event_at = now
        await self.response.prepare(self.request)

    def _record_token_interval(self) -> None:
        now = self.clock.monotonic()
        self.metrics.latency('time_between_tokens').record(
            now - self._last_event_at
        )
        self._last_event_at = now

    def _abort(self) -> None:
        if self.request.transport is not None:
            self.request.transport.abort()
