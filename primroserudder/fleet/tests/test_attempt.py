"""Results of attempts for valid, broken and invalid responses."""

import asyncio
import socket
import struct
import tracemalloc
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from multidict import CIMultiDict

from ...httpclient import open_session
from ...testing.fleetdata import call, route
from ...testing.rawattempts import raw_attempt
from ...testing.rawpeer import floods
from .. import attempt as attempt_module
from ..attempt import Attempt, AttemptResult, StreamSink
from ..events import Event
from ..model import RequestKind, Target
from ..retries import Ending

HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'X-Primroserudder-Attempt-Id: one\r\n'
    b'X-Primroserudder-Response-Seal: seal\r\n'
)
LOOKUP = route(kind=RequestKind.IDEMPOTENT, prefix='/lookup/')
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'


@dataclass(slots=True)
class _AttemptRecord:
    """Events that a caller received, and connections to the engine."""

    events: list[Event] = field(default_factory=list)
    connections: int = 0


Script = Callable[[asyncio.StreamWriter], None]


@asynccontextmanager
async def _engine(script: Script) -> AsyncIterator[tuple[str, _AttemptRecord]]:
    record = _AttemptRecord()

    async def respond(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        record.connections += 1
        await reader.readuntil(b'\r\n\r\n')
        script(writer)

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f'{host}:{port}', record


async def _attempt(script: Script, *, is_stream: bool) -> AttemptResult:
    result, _ = await _attempt_with_record(script, is_stream=is_stream)
    return result


async def _attempt_with_record(
    script: Script,
    *,
    is_stream: bool,
) -> tuple[AttemptResult, _AttemptRecord]:
    async with _engine(script) as (address, record):
        request_route = route() if is_stream else LOOKUP
        request = call(
            request_route, {'X-Primroserudder-Attempt-Id': 'one'}, b''
        )

        async def start(_status: int, _headers: CIMultiDict[str]) -> None:
            await asyncio.sleep(0)

        async def send_event(event: Event) -> None:
            record.events.append(event)

        session = open_session(5, reuses_connections=False)
        target = Target('i-1', address, 'fd-1', 4)
        sink = StreamSink(start, send_event)
        result = await Attempt(
            session, request, target, sink, lambda *_: None
        ).run()
        await session.close()
        return result, record


def _reset(writer: asyncio.StreamWriter) -> None:
    linger = struct.pack('ii', 1, 0)
    connection = writer.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _with_head(*parts: bytes) -> bytes:
    return b''.join((HEAD, *parts))


def _write_then(octets: bytes, then: Script | None = None) -> Script:
    def script(writer: asyncio.StreamWriter) -> None:
        writer.write(octets)
        if then is None:
            writer.close()
        else:
            asyncio.get_running_loop().call_later(0.02, then, writer)

    return script


@pytest.mark.parametrize('is_stream', [False, True])
async def test_reset_response_without_length_is_incomplete(
    is_stream: bool,
) -> None:
    script = _write_then(_with_head(b'\r\n', EVENTS), _reset)
    result = await _attempt(script, is_stream=is_stream)
    assert result.ending in {Ending.CUT, Ending.UNKNOWN}


@pytest.mark.parametrize('is_stream', [False, True])
async def test_cleanly_closed_response_without_length_is_complete(
    is_stream: bool,
) -> None:
    script = _write_then(
        _with_head(b'\r\n', EVENTS), lambda writer: writer.close()
    )
    result = await _attempt(script, is_stream=is_stream)
    assert result.ending is Ending.DELIVERED


async def test_body_shorter_than_its_length_is_incomplete() -> None:
    script = _write_then(_with_head(b'Content-Length: 10\r\n\r\nshort'))
    result = await _attempt(script, is_stream=False)
    assert result.ending is Ending.UNKNOWN


async def test_chunked_stream_without_last_chunk_is_cut() -> None:
    script = _write_then(
        _with_head(
            b'Transfer-Encoding: chunked\r\n\r\n',
            b'%x\r\n%s\r\n' % (len(EVENTS), EVENTS),
        )
    )
    result, record = await _attempt_with_record(script, is_stream=True)
    assert result.ending is Ending.CUT
    assert [event.event_id for event in record.events] == ['1', '2']


async def test_response_to_another_request_is_rejected() -> None:
    head = HEAD.replace(b'Id: one', b'Id: two')
    script = _write_then(b''.join((head, b'Content-Length: 2\r\n\r\nok')))
    result = await _attempt(script, is_stream=False)
    assert result.ending is Ending.UNKNOWN


async def test_bytes_that_are_not_http_are_rejected() -> None:
    result = await _attempt(
        _write_then(b'\x00nonsense\r\n\r\n'), is_stream=False
    )
    assert result.ending is Ending.UNKNOWN


async def test_encoded_body_is_rejected() -> None:
    script = _write_then(
        _with_head(b'Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok')
    )
    result = await _attempt(script, is_stream=False)
    assert result.ending is Ending.UNKNOWN


async def test_duplicate_event_cuts_the_stream() -> None:
    duplicated = EVENTS * 2
    script = _write_then(
        _with_head(
            b'Content-Length: %d\r\n\r\n%s' % (len(duplicated), duplicated)
        )
    )
    result, record = await _attempt_with_record(script, is_stream=True)
    assert result.ending is Ending.CUT
    assert [event.event_id for event in record.events] == ['1', '2']


async def test_extra_response_on_a_connection_is_ignored() -> None:
    first = _with_head(b'Content-Length: 2\r\n\r\nok')
    extra = _with_head(b'Content-Length: 5\r\n\r\nother')
    result = await _attempt(
        _write_then(b''.join((first, extra))), is_stream=False
    )
    assert result.response is not None
    assert result.response.body == b'ok'


async def test_http_client_never_retries_a_closed_connection() -> None:
    result, record = await _attempt_with_record(
        lambda writer: writer.close(), is_stream=False
    )
    assert result.ending is Ending.UNKNOWN
    assert record.connections == 1


async def test_refused_connection_means_not_run() -> None:
    request = call(LOOKUP)

    async def ignore(*_: object) -> None:
        await asyncio.sleep(0)

    session = open_session(5, reuses_connections=False)
    target = Target('i-1', '127.0.0.1:1', 'fd-1', 4)
    sink = StreamSink(ignore, ignore)
    result = await Attempt(
        session, request, target, sink, lambda *_: None
    ).run()
    await session.close()
    assert result.ending is Ending.NOT_SENT


async def test_response_over_the_size_limit_is_not_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The part within the limit must not pass for the whole response.
    monkeypatch.setattr(attempt_module, 'MAX_RESPONSE_BYTES', 8)

    def script(writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)
        writer.write(b'Content-Length: 12\r\n\r\ntwelve bytes')

    result = await _attempt(script, is_stream=False)
    assert result.ending is Ending.UNKNOWN
    assert not result.may_have_crashed


@pytest.mark.parametrize(
    'framing', [b'\r\n', b'Content-Length: 9999999999\r\n\r\n']
)
async def test_endless_response_takes_little_more_memory_than_the_limit(
    framing: bytes,
) -> None:
    script = floods(_with_head(framing), b'x')
    tracemalloc.start()
    outcome = await raw_attempt(script, deadline_s=60)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert outcome.result.ending is Ending.UNKNOWN
    assert not outcome.result.may_have_crashed
    assert outcome.peer.sent_bytes < 2 * attempt_module.MAX_RESPONSE_BYTES
    # The buffer of the body grows by an eighth at a time.
    assert peak_bytes < 1.5 * attempt_module.MAX_RESPONSE_BYTES
