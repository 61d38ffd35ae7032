"""Tests of the limits on connections, request heads and bodies."""

import asyncio

import pytest

from ...testing import builders
from ...testing.nodes import running_entry
from .. import guard


async def _open(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection('127.0.0.1', port)


async def test_connection_that_sends_no_request_is_closed() -> None:
    async with running_entry() as entry:
        entry.callers.guard.head_timeout_s = 0.05
        reader, writer = await _open(entry.callers_port)
        writer.write(b'GET /v1/models HT')
        # The read ends only when the periodic sweep closes the connection.
        assert await reader.read() == b''
        writer.close()
        value = entry.runtime.metrics.value('slow_heads_closed')
    assert value == 1


async def test_connection_that_sent_a_request_stays_open() -> None:
    async with running_entry() as entry:
        entry.callers.guard.head_timeout_s = 0
        reader, writer = await _open(entry.callers_port)
        request = b'GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n'
        writer.write(request)
        assert b'401' in await reader.readline()
        await entry.callers.guard.sweep()
        await entry.callers.guard.sweep()
        writer.write(request)
        await reader.readuntil(b'HTTP/1.1 401')
        writer.close()


async def test_body_that_stalls_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(guard, 'BODY_TIMEOUT_S', 0.05)
    async with running_entry() as entry:
        reader, writer = await _open(entry.callers_port)
        head = (
            'POST /v1/completions HTTP/1.1',
            'Host: h',
            f'Authorization: Bearer {builders.KEY}',
            'Content-Length: 100',
        )
        writer.write('\r\n'.join((*head, '', '{"model"')).encode())
        answer = await reader.readuntil(b'\r\n\r\n')
        writer.close()
    assert b'408' in answer
    assert b'Rudder-Ran: no' in answer


async def test_connections_over_the_limit_are_refused() -> None:
    async with running_entry() as entry:
        entry.callers.guard.max_connections = 1
        _, first = await _open(entry.callers_port)
        reader, second = await _open(entry.callers_port)
        second.write(b'GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n')
        answer = await reader.readuntil(b'\r\n\r\n')
        first.close()
        second.close()
    assert b'503' in answer
    assert b'Retry-After' in answer


async def test_body_over_the_limit_is_refused_as_not_run() -> None:
    async with running_entry() as entry:
        size = entry.settings.max_body_bytes + 1
        reader, writer = await _open(entry.callers_port)
        head = (
            'POST /v1/completions HTTP/1.1',
            'Host: h',
            f'Authorization: Bearer {builders.KEY}',
            f'Content-Length: {size}',
        )
        writer.write('\r\n'.join((*head, '', '')).encode())
        writer.write(bytes(size))
        answer = await reader.readuntil(b'\r\n\r\n')
        writer.close()
    assert b'413' in answer
    assert b'Rudder-Ran: no' in answer
