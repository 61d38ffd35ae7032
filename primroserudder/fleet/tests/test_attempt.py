"""Bad answers of engines, byte by byte, and what becomes of them."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from multidict import CIMultiDict

from ...platform import open_session
from ...testing.fleetdata import call, route
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
class _Sent:
    """What a caller got, and the requests that an engine read."""

    events: list[Event] = field(default_factory=list)
    connections: int = 0


Script = Callable[[asyncio.StreamWriter], None]


@asynccontextmanager
async def _engine(script: Script) -> AsyncIterator[tuple[str, _Sent]]:
    sent = _Sent()

    async def answer(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        sent.connections += 1
        await reader.readuntil(b'\r\n\r\n')
        script(writer)

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f'{host}:{port}', sent


async def _attempt(script: Script, *, is_stream: bool) -> AttemptResult:
    result, _ = await _attempt_and_sent(script, is_stream=is_stream)
    return result


async def _attempt_and_sent(
    script: Script,
    *,
    is_stream: bool,
) -> tuple[AttemptResult, _Sent]:
    async with _engine(script) as (address, record):
        taken = route() if is_stream else LOOKUP
        made = call(taken, {'X-Primroserudder-Attempt-Id': 'one'}, b'')

        async def start(_status: int, _headers: CIMultiDict[str]) -> None:
            await asyncio.sleep(0)

        async def pass_on(event: Event) -> None:
            record.events.append(event)

        session = open_session(5, reuses_connections=False)
        target = Target('i-1', address, 'fd-1', 4)
        sink = StreamSink(start, pass_on)
        result = await Attempt(session, made, target, sink).run()
        await session.close()
        return result, record


def _reset(writer: asyncio.StreamWriter) -> None:
    linger = struct.pack('ii', 1, 0)
    held = writer.get_extra_info('socket')
    held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _joined(*parts: bytes) -> bytes:
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
async def test_answer_without_length_that_is_reset_is_not_whole(
    is_stream: bool,
) -> None:
    script = _write_then(_joined(b'\r\n', EVENTS), _reset)
    result = await _attempt(script, is_stream=is_stream)
    assert result.ending in {Ending.CUT, Ending.UNKNOWN}


@pytest.mark.parametrize('is_stream', [False, True])
async def test_answer_without_length_that_ends_well_is_whole(
    is_stream: bool,
) -> None:
    script = _write_then(
        _joined(b'\r\n', EVENTS), lambda writer: writer.close()
    )
    result = await _attempt(script, is_stream=is_stream)
    assert result.ending is Ending.DELIVERED


async def test_short_body_is_not_whole() -> None:
    script = _write_then(_joined(b'Content-Length: 10\r\n\r\nshort'))
    result = await _attempt(script, is_stream=False)
    assert result.ending is Ending.UNKNOWN


async def test_chunked_stream_without_its_end_is_cut() -> None:
    script = _write_then(
        _joined(
            b'Transfer-Encoding: chunked\r\n\r\n',
            b'%x\r\n%s\r\n' % (len(EVENTS), EVENTS),
        )
    )
    result, sent = await _attempt_and_sent(script, is_stream=True)
    assert result.ending is Ending.CUT
    assert [event.event_id for event in sent.events] == ['1', '2']


async def test_answer_to_another_request_is_nobodys() -> None:
    head = HEAD.replace(b'Id: one', b'Id: two')
    script = _write_then(b''.join((head, b'Content-Length: 2\r\n\r\nok')))
    result = await _attempt(script, is_stream=False)
    assert result.ending is Ending.UNKNOWN


async def test_bytes_that_are_no_answer() -> None:
    result = await _attempt(
        _write_then(b'\x00nonsense\r\n\r\n'), is_stream=False
    )
    assert result.ending is Ending.UNKNOWN


async def test_encoded_body_is_not_the_engines() -> None:
    script = _write_then(
        _joined(b'Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok')
    )
    result = await _attempt(script, is_stream=False)
    assert result.ending is Ending.UNKNOWN


async def test_event_that_comes_again_cuts_the_stream() -> None:
    twice = EVENTS * 2
    script = _write_then(
        _joined(b'Content-Length: %d\r\n\r\n%s' % (len(twice), twice))
    )
    result, sent = await _attempt_and_sent(script, is_stream=True)
    assert result.ending is Ending.CUT
    assert [event.event_id for event in sent.events] == ['1', '2']


async def test_extra_answer_reaches_nobody() -> None:
    first = _joined(b'Content-Length: 2\r\n\r\nok')
    extra = _joined(b'Content-Length: 5\r\n\r\nother')
    result = await _attempt(
        _write_then(b''.join((first, extra))), is_stream=False
    )
    assert result.answer is not None
    assert result.answer.body == b'ok'


async def test_closed_connection_is_never_tried_again_by_the_library() -> None:
    result, sent = await _attempt_and_sent(
        lambda writer: writer.close(), is_stream=False
    )
    assert result.ending is Ending.UNKNOWN
    assert sent.connections == 1


async def test_refused_connection_ran_nothing() -> None:
    made = call(LOOKUP)

    async def ignore(*_: object) -> None:
        await asyncio.sleep(0)

    session = open_session(5, reuses_connections=False)
    target = Target('i-1', '127.0.0.1:1', 'fd-1', 4)
    sink = StreamSink(ignore, ignore)
    result = await Attempt(session, made, target, sink).run()
    await session.close()
    assert result.ending is Ending.NOT_RUN
