"""Client of the engines' HTTP protocol.

Explanation
===========
Only this module and the stand-in engine depend on the wire format.
"""

import asyncio
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import TypeVar

import aiohttp
import orjson
from pydantic import TypeAdapter, ValidationError

from ..httpclient import open_session, read_bounded
from ..process.engines import (
    CacheEvent,
    ConnectionRefused,
    EngineAnswer,
    EngineCall,
    EngineOrder,
    EngineStatus,
    OrderRefused,
    UpstreamLost,
    UpstreamRefused,
    UpstreamUnreachable,
)
from ..process.settings import describe

_STATUS = TypeAdapter(EngineStatus)
_CACHE_EVENTS = TypeAdapter(list[CacheEvent])
_Answer = TypeVar('_Answer')
CONTROL_TIMEOUT_S = 2
# A status names the groups of one engine; a refusal is a sentence.
MAX_ANSWER_BYTES = 1_048_576
MAX_REFUSAL_BYTES = 65_536
MAX_EVENTS_BYTES = 16_777_216
MAX_CACHE_BYTES = 1_073_741_824
CONNECT_TIMEOUT_S = 1
STREAM_END_WAIT_S = 0.1
NOT_RUN_HEADER = 'Engine-Not-Run'
CALL_HEADERS = (
    ('Engine-Request-Id', 'request_id'),
    ('Engine-Attempt', 'attempt'),
    ('Engine-Group', 'group_id'),
    ('Engine-Generation', 'generation'),
    ('Engine-Created', 'created'),
    ('Engine-Priority', 'priority'),
    ('Engine-Deadline-S', 'deadline'),
    ('Engine-Resume-From', 'resume_from'),
)


@dataclass(slots=True)
class HttpAnswer:
    """The HTTP answer to one attempt."""

    response: aiohttp.ClientResponse

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self.response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the answer."""
        return self.response.headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        Raises
        ======
        UpstreamLost
            The connection failed before the end of the body.
        """
        try:
            while chunk := await self.response.content.readany():
                yield chunk
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise UpstreamLost(
                f'the answer ended early: {type(error).__name__}',
            ) from error


@dataclass(slots=True)
class EngineHttp:
    """Adapter for the engines' HTTP protocol."""

    session: aiohttp.ClientSession

    async def status(self, address: str) -> EngineStatus:
        """Return the status that the engine reports."""
        return _parse_status(
            await self._control_call(address, 'GET', '/status')
        )

    async def order(self, address: str, order: EngineOrder) -> EngineStatus:
        """Send an order and return the engine's status after it."""
        body = orjson.dumps(asdict(order))
        return _parse_status(
            await self._control_call(address, 'POST', '/orders', body)
        )

    @asynccontextmanager
    async def generate(
        self,
        address: str,
        call: EngineCall,
    ) -> AsyncIterator[EngineAnswer]:
        """Send one attempt; leaving the context early cancels it."""
        response = await self._send(address, call)
        try:
            await _check_response(response, call)
            yield HttpAnswer(response)
            await _read_stream_end(response)
        finally:
            # An unfinished connection is closed and not returned to the pool,
            # so that the rest of its answer can't reach the next request.
            if response.content.at_eof():
                response.release()
            else:
                response.close()

    async def cancel(self, address: str, request_id: str) -> None:
        """Stop all attempts of a request at the engine."""
        body = orjson.dumps({'request_id': request_id})
        await self._control_call(address, 'POST', '/cancel', body)

    async def cache_events(
        self,
        address: str,
        after: int,
    ) -> Sequence[CacheEvent]:
        """Return the prefix cache events after a sequence number."""
        received = await self._control_call(
            address,
            'GET',
            f'/cache?after={after}',
            max_bytes=MAX_EVENTS_BYTES,
        )
        return _parse(received, _CACHE_EVENTS)

    async def export_cache(self, address: str, request_id: str) -> bytes:
        """Return the KV cache of a request."""
        return await self._control_call(
            address, 'GET', f'/kv/{request_id}', max_bytes=MAX_CACHE_BYTES
        )

    async def import_cache(
        self,
        address: str,
        request_id: str,
        cache: bytes,
    ) -> None:
        """Send an engine the KV cache of a request."""
        await self._control_call(address, 'PUT', f'/kv/{request_id}', cache)

    async def _send(
        self,
        address: str,
        call: EngineCall,
    ) -> aiohttp.ClientResponse:
        # A watchdog detects silence for all attempts together, so that no
        # read has to restart a timer of its own.
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        try:
            return await self.session.post(
                f'http://{address}{call.path}',
                data=call.body,
                headers=_headers(call),
                timeout=timeout,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise UpstreamUnreachable(
                f'{address}: could not connect'
            ) from error
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise UpstreamLost(
                f'{address}: connection lost: {type(error).__name__}',
            ) from error

    async def _control_call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None = None,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> bytes:
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self.session.request(
                method,
                f'http://{address}{path}',
                data=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return await _read_control_answer(response, max_bytes)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise _unreachable_type(error)(
                f'{address}: {method} {path}: {type(error).__name__}',
            ) from error


def node_session() -> aiohttp.ClientSession:
    """Return the session of a process to engines and the platform."""
    return open_session(timeout_s=None, caches_names=True)


def _unreachable_type(error: Exception) -> type[UpstreamUnreachable]:
    cause = getattr(error, 'os_error', None)
    is_refused = isinstance(cause, ConnectionRefusedError)
    return ConnectionRefused if is_refused else UpstreamUnreachable


async def _read_control_answer(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    received = await read_bounded(response, max_bytes)
    if response.status == HTTPStatus.CONFLICT:
        reason = received.decode(errors='replace')
        raise OrderRefused(f'{response.url}: {reason}')
    if response.status != HTTPStatus.OK:
        raise UpstreamUnreachable(
            f'{response.url}: got status {response.status}',
        )
    return received


def _headers(call: EngineCall) -> dict[str, str]:
    headers = {
        name: str(getattr(call, attribute)) for name, attribute in CALL_HEADERS
    }
    headers['Content-Type'] = 'application/json'
    return headers


async def _check_response(
    response: aiohttp.ClientResponse,
    call: EngineCall,
) -> None:
    if NOT_RUN_HEADER in response.headers:
        reason = await _reason(response)
        raise UpstreamRefused(f'the engine refused: {reason}')
    received = (
        response.status,
        response.headers.get('Engine-Request-Id'),
        response.headers.get('Engine-Attempt'),
    )
    expected = (HTTPStatus.OK, call.request_id, str(call.attempt))
    if received != expected:
        raise UpstreamLost(
            f'got status, request and attempt {received}: expected {expected}',
        )


async def _reason(response: aiohttp.ClientResponse) -> str:
    """Return why an engine refused, as far as it can be read."""
    try:
        refusal = await read_bounded(response, MAX_REFUSAL_BYTES)
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        return f'no reason could be read: {type(error).__name__}'
    return refusal.decode(errors='replace')


async def _read_stream_end(response: aiohttp.ClientResponse) -> None:
    # The end of the body follows the end mark of the stream closely. After it
    # is read, the connection can be used again.
    with suppress(aiohttp.ClientError, asyncio.TimeoutError):
        async with asyncio.timeout(STREAM_END_WAIT_S):
            await response.content.readany()


def _parse_status(received: bytes) -> EngineStatus:
    return _parse(received, _STATUS)


def _parse(received: bytes, adapter: TypeAdapter[_Answer]) -> _Answer:
    try:
        return adapter.validate_json(received)
    except ValidationError as invalid:
        raise UpstreamUnreachable(
            f'the engine sent a malformed answer: {describe(invalid)}',
        ) from invalid
