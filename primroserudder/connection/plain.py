"""Speaks HTTP to plain services and sends each call at most once.

Explanation
===========
The HTTP library sends a request of an idempotent method once more, by
itself, when the connection drops before the answer. A middleware of the
library sees each sending; it turns such a loss into an error that the
library passes on, and refuses a second sending. Redirects are not followed.
A call that may not repeat gets a connection of its own, as one that idled
in the pool may be closed by the service at the moment of the sending.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from yarl import URL

from ..process.engines import EngineAnswer, UpstreamLost, UpstreamUnreachable
from ..request.dispatch import DispatchRecord
from ..request.plain import PlainRequest
from .enginehttp import CONNECT_TIMEOUT_S, HttpAnswer


@dataclass(slots=True)
class SingleSending:
    """Lets the HTTP library send a request once."""

    dispatch: DispatchRecord
    attempt: int
    sendings: int = 0

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Send the request, or raise an error that is not retried."""
        self.sendings += 1
        self.dispatch.invariants.require(
            self.sendings == 1,
            'library_sends_once',
            request.method,
        )
        host = request.url.host
        try:
            return await handler(request)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise UpstreamUnreachable(f'{host}: no connection') from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise UpstreamLost(f'{host}: lost: {error!r}') from error


@dataclass(slots=True)
class PlainHttp:
    """Sends calls to plain services."""

    pooled: aiohttp.ClientSession
    unpooled: aiohttp.ClientSession

    @asynccontextmanager
    async def send(
        self,
        request: PlainRequest,
        dispatch: DispatchRecord,
        attempt: int,
    ) -> AsyncIterator[EngineAnswer]:
        """Send one attempt; leaving the context ends the connection."""
        session = self.pooled if request.may_repeat else self.unpooled
        response = await self._send(session, request, dispatch, attempt)
        try:
            yield HttpAnswer(response)
        finally:
            if response.content.at_eof():
                response.release()
            else:
                response.close()

    async def _send(
        self,
        session: aiohttp.ClientSession,
        request: PlainRequest,
        dispatch: DispatchRecord,
        attempt: int,
    ) -> aiohttp.ClientResponse:
        try:
            return await session.request(
                request.method,
                URL(request.url, encoded=True),
                data=request.body or None,
                headers=request.headers,
                timeout=aiohttp.ClientTimeout(
                    total=request.timeout_s,
                    sock_connect=CONNECT_TIMEOUT_S,
                ),
                allow_redirects=False,
                middlewares=(SingleSending(dispatch, attempt),),
                trace_request_ctx=Sending(dispatch, attempt),
            )
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise UpstreamLost(
                f'{request.method}: lost: {type(error).__name__}',
            ) from error


@dataclass(frozen=True, slots=True)
class Sending:
    """The attempt whose bytes a session hands to its transport."""

    dispatch: DispatchRecord
    attempt: int


def sending_traces() -> list[aiohttp.TraceConfig]:
    """Return the traces by which a session reports the bytes that it sends."""
    traces = aiohttp.TraceConfig()
    traces.on_request_headers_sent.append(_note_sent)
    traces.on_request_chunk_sent.append(_note_sent)
    return [traces]


async def _note_sent(
    session: aiohttp.ClientSession,
    context: object,
    sent: object,
) -> None:
    sending = getattr(context, 'trace_request_ctx', None)
    if isinstance(sending, Sending):
        sending.dispatch.note_sent(sending.attempt)


def plain_session(*, is_pooled: bool) -> aiohttp.ClientSession:
    """Return a session for plain services that keeps no cookies."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=not is_pooled),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=sending_traces(),
    )
