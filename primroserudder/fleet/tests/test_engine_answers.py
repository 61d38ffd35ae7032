"""Answers of engines never break the framing of a caller's connection."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ...testing.platformsite import PlatformSite, platform_site
from ...testing.rawcaller import RawCaller, RawResponse, raw_caller

LOOKUP = '/lookups/1'
SEALED = b'X-Primroserudder-Attempt-Id: %b\r\nX-Primroserudder-Response-Seal: s'
LAST = b'HTTP/1.1 200 OK\r\n%b\r\nContent-Length: 4\r\n\r\nlast' % SEALED


def _attempt_id(received: bytes) -> bytes:
    return received.partition(b'Attempt-Id: ')[2].partition(b'\r\n')[0]


@asynccontextmanager
async def _site_with_answers(*answers: bytes) -> AsyncIterator[PlatformSite]:
    """Run a site whose engine gives these answers, the last one for ever."""
    left = list(answers)

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = _attempt_id(await reader.readuntil(b'\r\n\r\n'))
        answer = left.pop(0) if len(left) > 1 else left[0]
        writer.write(answer.replace(b'%b', attempt_id))
        await asyncio.sleep(0.1)
        writer.close()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with server, platform_site(engines=0, plain=1) as site:
        engine = site.engines_by_id['i-0']
        engine.address = f'{host}:{port}'
        engine.register()
        view = site.routers[0].view
        await site.until(
            lambda: (
                'i-0' in view.directory.engines_by_id
                and view.directory.engines_by_id['i-0'].address
                == engine.address
            )
        )
        yield site


async def _response(caller: RawCaller, *, has_body: bool = True) -> RawResponse:
    async with asyncio.timeout(5):
        return await caller.response(has_body=has_body)


@pytest.mark.parametrize(
    ('answer', 'status'),
    [
        (
            b'HTTP/1.1 101 Switching Protocols\r\n%b\r\nUpgrade: own\r\n\r\n',
            502,
        ),
        (b'HTTP/1.1 204 No Content\r\n%b\r\nContent-Length: 0\r\n\r\n', 204),
        (b'HTTP/1.1 304 Not Modified\r\n%b\r\nContent-Length: 9\r\n\r\n', 304),
        (b'HTTP/1.1 302 Found\r\n%b\r\nContent-Length: 0\r\n\r\n', 302),
    ],
    ids=['101', '204', '304', '302'],
)
async def test_answer_without_a_body_leaves_the_connection_usable(
    answer: bytes, status: int
) -> None:
    answers = (answer.replace(b'%b', SEALED), LAST)
    async with _site_with_answers(*answers) as site:
        async with raw_caller(site) as caller:
            caller.request('one', '/refunds/1')
            response = await _response(caller, has_body=status == 502)
            assert response.status == status
            caller.request('two', LOOKUP)
            assert (await _response(caller)).body == b'last'


async def test_answer_to_a_head_request_leaves_the_connection_usable() -> None:
    answer = b'HTTP/1.1 200 OK\r\n%b\r\nContent-Length: 13\r\n\r\n' % SEALED
    async with _site_with_answers(answer, LAST) as site:
        async with raw_caller(site) as caller:
            caller.request('one', LOOKUP, method='HEAD', body=b'')
            assert (await _response(caller, has_body=False)).status == 200
            caller.request('two', LOOKUP)
            assert (await _response(caller)).body == b'last'


@pytest.mark.parametrize(
    'field',
    [
        b'Connection: close, X-Own\r\nX-Own: 1',
        b'Keep-Alive: timeout=1\r\nProxy-Connection: close',
        b'Trailer: X-Own\r\nTE: trailers',
        b'Upgrade: websocket\r\nConnection: Upgrade',
        b'Connection: Transfer-Encoding',
        b'Content-Length: 4',
    ],
)
async def test_fields_of_one_connection_never_reach_the_caller(
    field: bytes,
) -> None:
    length = b'' if field.startswith(b'Content') else b'Content-Length: 4\r\n'
    answer = b'HTTP/1.1 200 OK\r\n%b\r\n%b\r\n%b\r\nbody' % (
        SEALED,
        field,
        length,
    )
    async with _site_with_answers(answer, LAST) as site:
        async with raw_caller(site) as caller:
            caller.request('one', LOOKUP)
            response = await _response(caller)
            assert response.body == b'body'
            received = response.head.lower()
            assert received.count(b'content-length') == 1
            assert b'transfer-encoding' not in received
            assert b'upgrade' not in received
            assert b'x-own' not in received
            caller.request('two', LOOKUP)
            assert (await _response(caller)).body == b'last'


async def test_second_copy_of_an_answer_reaches_no_caller() -> None:
    copy = b'HTTP/1.1 200 OK\r\n%b\r\nContent-Length: 4\r\n\r\ncopy' % SEALED
    async with _site_with_answers(copy + copy, LAST) as site:
        async with raw_caller(site) as caller, raw_caller(site) as other:
            caller.request('one', LOOKUP)
            assert (await _response(caller)).body == b'copy'
            for name, each in (('two', other), ('three', caller)):
                each.request(name, LOOKUP)
                response = await _response(each)
                assert response.body == b'last'
                assert f'Attempt-Id: {name}\r\n'.encode() in response.head
