"""One request of a caller while its response is prepared and written."""

import asyncio
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

from aiohttp import HttpVersion11, web
from aiohttp.hdrs import CONTENT_LENGTH, METH_HEAD
from multidict import CIMultiDict

from ..errors import Ran, RudderError
from ..platform.names import ATTEMPT_ID
from ..request.dispatch import DispatchRecord
from .attempt import AttemptResult
from .errorresponse import error_response
from .events import Event
from .forwarding import mark_not_run
from .forwarding.messages import RUNS
from .httpserver import RESET
from .memory import CutReason, Holding
from .requestendings import OpenRequest, RequestEnding

# A large response is written in parts of this size, each after the one before
# was accepted, so that it is not held twice.
WRITTEN_BYTES = 65_536


class CallerDisconnected(RudderError):
    """The caller closed its connection."""

    code = 'caller_gone'
    status = 499
    default_remedy = 'none is needed: the caller has disconnected'


@dataclass(slots=True, eq=False)
class CallerStream:
    """A response that is being streamed to a caller."""

    request: web.BaseRequest
    is_closing: Callable[[], bool]
    response: web.StreamResponse | None = None

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the status line and the header fields.

        Raises
        ======
        CallerDisconnected
            The caller closed its connection.
        """
        response = web.StreamResponse(status=status, headers=headers)
        if self.is_closing():
            response.force_close()
        try:
            await response.prepare(self.request)
        except OSError as error:
            raise CallerDisconnected(
                'the caller closed its connection'
            ) from error
        self.response = response

    async def send_event(self, event: Event) -> None:
        """Send one event.

        Raises
        ======
        CallerDisconnected
            The caller closed its connection.
        """
        if self.response is None:
            return
        try:
            await _write(self.request, self.response, event.octets)
        except OSError as error:
            raise CallerDisconnected(
                'the caller closed its connection'
            ) from error

    def is_blocked(self) -> bool:
        """Return whether the caller has not accepted all that was sent."""
        return self.request.protocol.writing_paused

    async def finish(self) -> web.StreamResponse:
        """Finish a complete stream and return its response.

        Raises
        ======
        CallerDisconnected
            The caller closed its connection.
        """
        response = self.response or web.Response()
        try:
            await response.write_eof()
        except OSError as error:
            raise CallerDisconnected(
                'the caller closed its connection'
            ) from error
        return response

    def abort(self) -> None:
        """Abort the connection, so that the stream can't look complete.

        Explanation
        ===========
        A stream without chunks ends with its connection, so that connection
        is reset.
        """
        transport = self.request.transport
        if transport is None:
            return
        if self.request.version < HttpVersion11:
            connection = transport.get_extra_info('socket')
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport.abort()


@dataclass(slots=True, eq=False)
class ServedRequest:
    """A request with its response; each way to end it notes its ending.

    Parameters
    ==========
    received_at : float
        Time of the event loop, in seconds.
    attempts_left : int or None
        How many attempts another router left to this one, ``None`` if a caller
        sent the request.
    count_runs : Callable
        Returns on how many engines the request may have run.
    """

    request: web.BaseRequest
    opened: OpenRequest
    received_at: float
    is_closing: Callable[[], bool]
    attempts_left: int | None = None
    holding: Holding = field(default_factory=Holding)
    stream_buffers: Callable[[], int] = int
    count_runs: Callable[[], int] = int
    cut_reason: CutReason | None = None
    stream: CallerStream = field(init=False)
    dispatch: DispatchRecord | None = None

    def __post_init__(self) -> None:
        """Begin without a response."""
        self.stream = CallerStream(self.request, self.is_closing)

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes that were read from an engine and not sent."""
        return self.stream_buffers()

    def note_cut(self, reason: CutReason) -> None:
        """Note that the connection is reset because it is not read."""
        self.cut_reason = reason

    @property
    def attempt_id(self) -> str:
        """Return the id that the caller gave, or an empty string."""
        return self.request.headers.get(ATTEMPT_ID, '')

    @property
    def is_forwarded(self) -> bool:
        """Return whether another router sent the request."""
        return self.attempts_left is not None

    @property
    def held_s(self) -> float:
        """Return the seconds since the head was read."""
        return asyncio.get_running_loop().time() - self.received_at

    @property
    def is_caller_gone(self) -> bool:
        """Return whether the connection is closed."""
        transport = self.request.transport
        return transport is None or transport.is_closing()

    @property
    def end(self) -> str:
        """Return the noted ending for the log, empty while there is none."""
        return ', '.join(self.opened.endings)

    async def answer(self, outcome: AttemptResult) -> web.StreamResponse:
        """Write an engine's complete response.

        Raises
        ======
        CallerDisconnected
            The caller closed its connection.
        """
        response, pieces = _complete_response(outcome)
        if self.is_forwarded:
            response.headers[RUNS] = str(self.count_runs())
        return await self._send(response, RequestEnding.ANSWERED, pieces)

    async def refuse(self, error: RudderError) -> web.StreamResponse:
        """Write a response of the router's own.

        Raises
        ======
        CallerDisconnected
            The caller closed its connection.
        """
        response = error_response(error, self.attempt_id)
        if self.is_forwarded and error.ran is Ran.NO:
            dispatch = self.dispatch
            mark_not_run(
                response.headers,
                has_arrived=dispatch is not None and dispatch.has_arrived,
            )
        return await self._send(response, RequestEnding.REFUSED)

    async def finish_stream(self) -> web.StreamResponse:
        """Finish a complete stream.

        Raises
        ======
        CallerDisconnected
            The caller closed its connection.
        """
        response = await self.stream.finish()
        self.opened.end(RequestEnding.ANSWERED)
        return response

    def abort_stream(self, response: web.StreamResponse) -> web.StreamResponse:
        """Abort a stream that is not complete."""
        self.stream.abort()
        self.opened.end(RequestEnding.ABORTED)
        return response

    def note_gone(self) -> None:
        """Note that the caller closed its connection, or lost it."""
        is_cut = self.cut_reason is not None
        self.opened.end(
            RequestEnding.ABORTED if is_cut else RequestEnding.CALLER_GONE
        )

    async def _send(
        self,
        response: web.Response,
        ending: RequestEnding,
        pieces: Sequence[bytes] = (),
    ) -> web.StreamResponse:
        if self._must_close():
            response.force_close()
        try:
            await response.prepare(self.request)
            await _write_body(self.request, response, pieces)
        except OSError as error:
            raise CallerDisconnected(
                'the caller closed its connection'
            ) from error
        self.opened.end(ending)
        return response

    def _must_close(self) -> bool:
        """Return whether no other request may follow on the connection."""
        body = self.request.content
        # A caller that was not invited to send its body may leave it out.
        may_lack_body = 'Expect' in self.request.headers and not body.is_eof()
        is_malformed = body.exception() is not None
        return self.is_closing() or may_lack_body or is_malformed


def _complete_response(
    outcome: AttemptResult,
) -> tuple[web.Response, Sequence[bytes]]:
    """Return a response, and the pieces of a body that it doesn't hold."""
    complete = outcome.response
    if complete is None:
        return web.Response(status=HTTPStatus.BAD_GATEWAY), ()
    response = web.Response(status=complete.status, headers=complete.headers)
    length = sum(map(len, complete.pieces))
    if length <= WRITTEN_BYTES:
        response.body = complete.body
        return response, ()
    response.headers[CONTENT_LENGTH] = str(length)
    return response, complete.pieces


async def _write(
    request: web.BaseRequest, response: web.StreamResponse, octets: bytes
) -> None:
    """Write, and wait until the caller has accepted it.

    Explanation
    ===========
    aiohttp waits only after each 64 KB.
    """
    await response.write(octets)
    if request.protocol.writing_paused:
        await request.writer.drain()


async def _write_body(
    request: web.BaseRequest, response: web.Response, pieces: Sequence[bytes]
) -> None:
    """Write a whole body, each part after the one before, and end it."""
    may_have_body = request.method != METH_HEAD
    for piece in pieces if may_have_body else ():
        for start in range(0, len(piece), WRITTEN_BYTES):
            part = memoryview(piece)[start : start + WRITTEN_BYTES]
            await response.write(part)
    await response.write_eof()
