"""A connection that refuses what its peer sends, so that it can read why."""

import abc
import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import StreamReader, web
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from ..errors import RudderError
from .bodies import fail_body

if TYPE_CHECKING:
    from .server import IntakeServer

# How long what a refused peer still sends is taken, so that it can read the
# refusal.
LINGER_S = 2.0


class RefusingConnection(web.RequestHandler):
    """One connection, and what has been refused on it.

    Parameters
    ==========
    is_refused : bool
        Whether nothing more is parsed.
    last_body : StreamReader
        The body of the last request that was parsed.
    """

    __slots__ = ('intake_server', 'is_refused', 'last_body')

    header_s: float
    intake_bytes: int

    def __init__(self, server: 'IntakeServer', **options: object) -> None:
        """Begin without a refusal."""
        super().__init__(server, **options)  # type: ignore[arg-type]
        self.intake_server = server
        self.is_refused = False
        self.last_body: StreamReader = EMPTY_PAYLOAD

    @property
    @abc.abstractmethod
    def is_idle(self) -> bool:
        """Return whether no request is read, waits or is served."""

    @property
    @abc.abstractmethod
    def ahead_bytes(self) -> int:
        """Return what requests that wait for another one hold."""

    @abc.abstractmethod
    def refuse_ahead(self) -> None:
        """Refuse the requests that wait for another one, and free them."""

    @abc.abstractmethod
    def wait(self) -> None:
        """Leave all that arrives for later."""

    @abc.abstractmethod
    def take_up(self) -> None:
        """Read what has arrived."""

    @property
    def is_ending(self) -> bool:
        """Return whether nothing is parsed any more, and nothing waits."""
        has_failed = self.is_refused or self.last_body.exception() is not None
        return has_failed and not self._messages

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a head that was refused."""
        if not isinstance(exc, RudderError):
            return super().handle_error(request, status, exc, message)
        response = self.intake_server.refusal(exc)
        response.force_close()
        return response

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; let the peer of a refused one read it."""
        written = await super().finish_response(request, resp, start_time)
        if self.is_ending:
            await self._linger()
        return written

    def refuse(self, error: RudderError) -> None:
        """Answer with an error after the requests under way, then close.

        Explanation
        ===========
        Nothing more is parsed. An unfinished body fails with the error.
        """
        self.is_refused = True
        self.intake_server.register.opened.heads.end(self)
        if self.last_body.is_eof():
            self.append_error(error)
        else:
            fail_body(self.last_body, error)

    def give_way(self) -> None:
        """Close the connection at once."""
        self.is_refused = True
        if self.transport is not None:
            self.transport.abort()

    def append_error(self, error: RudderError) -> None:
        """Answer with an error after the requests under way."""
        failed = _ErrInfo(int(error.status), error, str(error))
        self._request_count += 1
        self._messages.append((failed, EMPTY_PAYLOAD))
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _linger(self) -> None:
        """Take and forget what still arrives, once a refusal was sent.

        Explanation
        ===========
        Closing a connection with unread bytes resets it, and its peer may lose
        the refusal. A peer that closes the connection ends this.
        """
        transport = self.transport
        if not isinstance(transport, asyncio.WriteTransport):
            return
        if transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        with self.intake_server.register.opened.tracked_refusal(self):
            await asyncio.sleep(LINGER_S)
