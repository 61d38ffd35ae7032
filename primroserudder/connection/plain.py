"""HTTP client for plain services that sends each call at most once.

Explanation
===========
The HTTP library itself retries a request with an idempotent method when the
connection drops before the answer. A client middleware runs for each send: it
turns such a loss into an error that the library does not retry, and refuses a
second send. Redirects are not followed. A call that may not be repeated gets
a new connection, because the service may close an idle connection of the pool
at the moment of the send.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from yarl import URL

from ..httpclient import open_session
from ..process.engines import EngineAnswer, UpstreamLost, UpstreamUnreachable
from ..request.dispatch import DispatchRecord
from ..request.plain import PlainRequest
from .enginehttp import CONNECT_TIMEOUT_S, HttpAnswer


@dataclass(slots=True)
class SendOnce:
    """Client middleware that lets the library send a request once."""

    dispatch: DispatchRecord
    attempt: int
    send_count: int = 0

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Send the request or raise an error that is not retried.

        Raises
        ======
        UpstreamUnreachable
            No connection was made.
        UpstreamLost
            The connection failed after it was made.
        """
        self.send_count += 1
        self.dispatch.invariants.require(
            self.send_count == 1,
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
            raise UpstreamUnreachable(f'{host}: could not connect') from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise UpstreamLost(f'{host}: connection lost: {error!r}') from error


@dataclass(slots=True)
class PlainHttp:
    """Sends calls to plain services over HTTP."""

    pooled: aiohttp.ClientSession
    unpooled: aiohttp.ClientSession

    @asynccontextmanager
    async def send(
        self,
        request: PlainRequest,
        dispatch: DispatchRecord,
        attempt: int,
    ) -> AsyncIterator[EngineAnswer]:
        """Send one attempt; leaving the context early closes it."""
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
                middlewares=(SendOnce(dispatch, attempt),),
                trace_request_ctx=SentAttempt(dispatch, attempt),
            )
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise UpstreamLost(
                f'{request.method}: connection lost: {type(error).__name__}',
            ) from error


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """The attempt whose bytes a session writes to its transport."""

    dispatch: DispatchRecord
    attempt: int


def send_traces() -> list[aiohttp.TraceConfig]:
    """Return traces that record when a session sends an attempt's bytes."""
    traces = aiohttp.TraceConfig()
    traces.on_request_headers_sent.append(_record_sent)
    traces.on_request_chunk_sent.append(_record_sent)
    return [traces]


async def _record_sent(
    session: aiohttp.ClientSession,
    context: object,
    sent: object,
) -> None:
    sent_attempt = getattr(context, 'trace_request_ctx', None)
    if isinstance(sent_attempt, SentAttempt):
        sent_attempt.dispatch.note_sent(sent_attempt.attempt)


def plain_session(*, is_pooled: bool) -> aiohttp.ClientSession:
    """Return a session for plain services without a cookie jar."""
    return open_session(
        timeout_s=None,
        reuses_connections=is_pooled,
        caches_names=True,
        traces=send_traces(),
    )
