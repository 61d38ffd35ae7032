"""Speaks the engines' HTTP protocol.

Explanation
===========
Nothing outside this module and the stand-in knows the wire form.
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

from ..process.engines import (
    CacheEvent,
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
    """The answer to one attempt over HTTP."""

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
        """Yield the body as it arrives."""
        try:
            while chunk := await self.response.content.readany():
                yield chunk
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise UpstreamLost(
                f'the answer broke off: {type(error).__name__}',
            ) from error


@dataclass(slots=True)
class EngineHttp:
    """Adapter of the engines' protocol."""

    session: aiohttp.ClientSession

    async def status(self, address: str) -> EngineStatus:
        """Return the engine's own view of itself."""
        return _status(await self._control(address, 'GET', '/status'))

    async def order(self, address: str, order: EngineOrder) -> EngineStatus:
        """Give an order and return the engine's state after it."""
        body = orjson.dumps(asdict(order))
        return _status(await self._control(address, 'POST', '/orders', body))

    @asynccontextmanager
    async def generate(
        self,
        address: str,
        call: EngineCall,
    ) -> AsyncIterator[EngineAnswer]:
        """Send one attempt; leaving the context cancels what is running."""
        response = await self._send(address, call)
        try:
            await _check_answer(response, call)
            yield HttpAnswer(response)
            await _read_end(response)
        finally:
            # Closing the connection, not returning it to the pool, keeps a
            # late answer from reaching the next request.
            if response.content.at_eof():
                response.release()
            else:
                response.close()

    async def cancel(self, address: str, request_id: str) -> None:
        """Stop all attempts of a request at the engine."""
        body = orjson.dumps({'request_id': request_id})
        await self._control(address, 'POST', '/cancel', body)

    async def cache_events(
        self,
        address: str,
        after: int,
    ) -> Sequence[CacheEvent]:
        """Return the events of the prefix cache after a number."""
        found = await self._control(address, 'GET', f'/cache?after={after}')
        return _parse(found, _CACHE_EVENTS)

    async def export_cache(self, address: str, request_id: str) -> bytes:
        """Return the KV cache of a request."""
        return await self._control(address, 'GET', f'/kv/{request_id}')

    async def import_cache(
        self,
        address: str,
        request_id: str,
        cache: bytes,
    ) -> None:
        """Give an engine the KV cache of a request."""
        await self._control(address, 'PUT', f'/kv/{request_id}', cache)

    async def _send(
        self,
        address: str,
        call: EngineCall,
    ) -> aiohttp.ClientResponse:
        # Silence is watched for all attempts together and not by a timer
        # that each read sets anew.
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
            raise UpstreamUnreachable(f'{address}: no connection') from error
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise UpstreamLost(
                f'{address}: lost while sending: {type(error).__name__}',
            ) from error

    async def _control(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None = None,
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
                return await _control_answer(response)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise UpstreamUnreachable(
                f'{address}: {method} {path}: {type(error).__name__}',
            ) from error


async def _control_answer(response: aiohttp.ClientResponse) -> bytes:
    found = await response.read()
    if response.status == HTTPStatus.CONFLICT:
        reason = found.decode(errors='replace')
        raise OrderRefused(f'{response.url}: {reason}')
    if response.status != HTTPStatus.OK:
        raise UpstreamUnreachable(
            f'{response.url}: got status {response.status}',
        )
    return found


def _headers(call: EngineCall) -> dict[str, str]:
    headers = {
        name: str(getattr(call, attribute)) for name, attribute in CALL_HEADERS
    }
    headers['Content-Type'] = 'application/json'
    return headers


async def _check_answer(
    response: aiohttp.ClientResponse,
    call: EngineCall,
) -> None:
    if NOT_RUN_HEADER in response.headers:
        reason = await response.text()
        raise UpstreamRefused(f'the engine refused: {reason}')
    found = (
        response.status,
        response.headers.get('Engine-Request-Id'),
        response.headers.get('Engine-Attempt'),
    )
    expected = (HTTPStatus.OK, call.request_id, str(call.attempt))
    if found != expected:
        raise UpstreamLost(
            f'got status, request and attempt {found}: expected {expected}',
        )


async def _read_end(response: aiohttp.ClientResponse) -> None:
    # The end of the body follows its end mark closely; once it is read, the
    # connection can be used again.
    with suppress(aiohttp.ClientError, asyncio.TimeoutError):
        async with asyncio.timeout(STREAM_END_WAIT_S):
            await response.content.readany()


def _status(found: bytes) -> EngineStatus:
    return _parse(found, _STATUS)


def _parse(found: bytes, kind: TypeAdapter[_Answer]) -> _Answer:
    try:
        return kind.validate_json(found)
    except ValidationError as invalid:
        raise UpstreamUnreachable(
            f'the engine sent a malformed answer: {describe(invalid)}',
        ) from invalid
