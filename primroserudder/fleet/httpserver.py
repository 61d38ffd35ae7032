"""Connections of callers and other routers, on top of aiohttp's server.

Explanation
===========
aiohttp parses requests and keeps connections, and ``intake`` bounds what peers
may send. Three things differ here besides. Malformed requests are counted and
answered with a typed error, where aiohttp would write a traceback for each. The
time for which an idle connection is kept follows the configuration. And a
connection whose peer does not read is watched.
"""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from ..errors import Ran, RudderError
from ..intake import IntakeConnection
from ..intake.server import Handler, Intake, IntakeServer
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from .errorresponse import error_response
from .memory import ConnectionWatch, CutReason

# No connection is closed for being idle any sooner than this.
MIN_KEEPALIVE_S = 75.0
# Closing a socket that lingers for zero seconds resets its connection.
RESET = struct.pack('ii', 1, 0)


class MalformedRequest(RudderError):
    """The bytes on a connection are no HTTP request."""

    code = 'malformed_request'
    status = 400
    ran = Ran.NO
    default_remedy = 'send requests in HTTP/1.1'


class ConnectionFailed(RudderError):
    """Handling a connection failed for a reason that no code expects."""

    code = 'internal_error'
    status = 500


@dataclass(slots=True)
class ConnectionErrors:
    """Counts and logs what fails on connections, apart from requests."""

    log: DecisionLog
    metrics: Metrics

    def note(self, error: BaseException | None) -> RudderError:
        """Note an error and return what the caller is told."""
        if isinstance(error, HttpProcessingError):
            self.metrics.count('malformed_requests')
            self.log.note('malformed_request', kind=type(error).__name__)
            return MalformedRequest('the request is malformed')
        if isinstance(error, RudderError):
            self.metrics.count('malformed_requests')
            self.log.note('malformed_request', kind=error.code)
            return error
        self.metrics.count('connection_errors')
        self.log.note('connection_failed', error=type(error).__name__)
        return ConnectionFailed('an unexpected error ended the connection')


class ServedResponse(Protocol):
    """What a connection knows of the request that it serves."""

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes that were read from an engine and not sent."""

    def note_cut(self, reason: CutReason) -> None:
        """Note that the connection is reset, and why."""


class HttpConnection(IntakeConnection):
    """One connection."""

    __slots__ = ('http_server', 'served')

    def __init__(self, server: 'HttpServer', **options: object) -> None:
        """Begin without a request."""
        super().__init__(server, **options)
        self.http_server = server
        self.served: ServedResponse | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop watching the connection."""
        self.http_server.watch.note_read(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Watch the connection, as its peer has not accepted all bytes."""
        super().pause_writing()
        self.http_server.watch.note_unread(self)

    def resume_writing(self) -> None:
        """Go on, as the peer has accepted all bytes."""
        self.http_server.watch.note_read(self)
        super().resume_writing()

    @property
    def waiting_bytes(self) -> int:
        """Return the bytes in the write buffer."""
        transport = self.transport
        return 0 if transport is None else transport.get_write_buffer_size()

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes that were read from an engine and not sent."""
        return 0 if self.served is None else self.served.buffered_bytes

    def cut(self, reason: CutReason) -> None:
        """Reset the connection, so that no response can look complete."""
        if self.served is not None:
            self.served.note_cut(reason)
        transport = self.transport
        if transport is None:
            return
        connected = transport.get_extra_info('socket')
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport.abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a malformed request.

        Raises
        ======
        ConnectionError
            A response has begun already.
        """
        error = self.http_server.errors.note(exc)
        if request.writer.output_size:
            raise ConnectionError('a response has begun') from exc
        response = error_response(error, '')
        response.force_close()
        return response

    def log_exception(self, *args: object, **details: object) -> None:
        """Note an error that aiohttp would write a traceback for."""
        error = details.get('exc_info')
        known = error if isinstance(error, BaseException) else None
        self.http_server.errors.note(known)

    def _process_keepalive(self) -> None:
        now = self._loop.time()
        longer_s = self.http_server.idle_s() - self._keepalive_timeout
        left_s = self._next_keepalive_close_time + max(longer_s, 0) - now
        if left_s > 0:
            # The configuration may change the limit before the next check.
            self._keepalive_handle = self._loop.call_later(
                min(left_s, self._keepalive_timeout), self._process_keepalive
            )
            return
        super()._process_keepalive()


class HttpServer(IntakeServer):
    """Makes the connections of a port."""

    def __init__(
        self,
        handler: Handler,
        intake: Intake,
        errors: ConnectionErrors,
        idle_s: Callable[[], float],
        watch: ConnectionWatch,
    ) -> None:
        """Store how connections are made."""
        super().__init__(
            handler,
            intake,
            keepalive_timeout=MIN_KEEPALIVE_S,
            # The handlers read the rest of a refused body themselves.
            lingering_time=0,
            auto_decompress=False,
        )
        self.errors = errors
        self.idle_s = idle_s
        self.watch = watch

    def __call__(self) -> HttpConnection:
        """Return a new connection."""
        return HttpConnection(self, loop=self._loop, **self._kwargs)
