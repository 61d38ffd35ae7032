"""Responses that break the protocol, or go on without end."""

import asyncio
import contextlib
import itertools

import pytest

from ...fleet.retries import Ending
from ...testing.rawattempts import CHUNKED_HEAD, EVENTS, HEAD, raw_attempt
from ...testing.rawpeer import (
    PIECE_INTERVAL_S,
    RawConnection,
    Script,
    closes,
    floods,
    raw_peer,
    sends,
    stays_silent,
)
from ..errors import InvalidResponse
from ..responsehandler import MAX_BYTES_WITHOUT_BODY, ResponseProgress
from ..session import open_session

FIRST_CHUNK = b'%x\r\n%s\r\n' % (len(EVENTS), EVENTS)
LAST_CHUNK = b'0\r\n\r\n'
WITH_LENGTH = b''.join(
    (HEAD, b'Content-Length: %d\r\n\r\n' % len(EVENTS), EVENTS)
)
OTHER_RESPONSE = WITH_LENGTH.replace(b'data', b'DATA')
LONG_TRAILER = b'0\r\n%s' % (b'n' * 9000)
# The socket buffers of both sides take bytes that are never read.
MOST_SENT_BYTES = 4_194_304
TIMED_OUT = 'TimeoutError'


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize(
    'rest',
    [b'zz\r\n', b'f' * 20, b'2\r\nokX', LONG_TRAILER],
    ids=['size', 'large size', 'end', 'trailer'],
)
async def test_broken_chunk_ends_an_attempt_before_its_deadline(
    rest: bytes, is_stream: bool
) -> None:
    head = b''.join((CHUNKED_HEAD, FIRST_CHUNK))
    script = sends(head, rest, then=stays_silent)
    outcome = await raw_attempt(script, is_stream=is_stream)
    expected = (Ending.CUT, EVENTS) if is_stream else (Ending.UNKNOWN, b'')
    assert (outcome.result.ending, outcome.caller_bytes) == expected
    assert outcome.result.reason != TIMED_OUT


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize(
    ('first', 'repeated'),
    [
        (b'', b'\x00'),
        (b'HTTP/1.1 200 ', b'reason'),
        (b'HTTP/1.1 200 OK\r\n', b'name: text\r\n'),
        (b'HTTP/1.1 200 OK\r\nname: ', b'text'),
        (b'HTTP/1.1 200 OK\r\n', b'name'),
        (b'', b'\r\n'),
        (b'HTTP/1.1 200 OK\r\nname:', b' '),
        (b'HTTP/1.1 200 OK\r\nname:', b'\r\n '),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (b'', b'HTTP/1.1 103 Early Hints\r\nLink: one\r\n\r\n'),
    ],
    ids=[
        'no line end',
        'status line',
        'short lines',
        'long line',
        'long name',
        'empty lines',
        'spaces',
        'folded lines',
        'continue',
        'hints',
    ],
)
async def test_endless_head_ends_an_attempt_before_its_deadline(
    first: bytes, repeated: bytes, is_stream: bool
) -> None:
    outcome = await raw_attempt(floods(first, repeated), is_stream=is_stream)
    assert outcome.result.ending is Ending.UNKNOWN
    assert outcome.result.reason != TIMED_OUT
    assert outcome.result.is_broken
    assert not outcome.result.may_have_crashed
    assert outcome.peer.sent_bytes < MOST_SENT_BYTES
    assert not outcome.caller_bytes


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize(
    ('first', 'repeated'),
    [
        (b'4;extension', b's'),
        (b'', b'0'),
        (b'4', b' '),
        (b'0\r\n', b'name: text\r\n'),
        (b'0\r\nname:', b' '),
        (b'', b'1\r\n\n\r\n'),
    ],
    ids=['extension', 'zeros', 'spaces', 'trailers', 'trailer', 'one byte'],
)
async def test_endless_framing_of_a_chunk_ends_an_attempt_before_its_deadline(
    first: bytes, repeated: bytes, is_stream: bool
) -> None:
    script = floods(b''.join((CHUNKED_HEAD, FIRST_CHUNK, first)), repeated)
    outcome = await raw_attempt(script, is_stream=is_stream)
    assert outcome.result.ending is not Ending.DELIVERED
    assert outcome.result.reason != TIMED_OUT
    assert outcome.peer.sent_bytes < MOST_SENT_BYTES
    assert outcome.caller_bytes in {b'', EVENTS}


@pytest.mark.parametrize('then', [closes, stays_silent])
async def test_switch_of_protocol_is_no_response(then: Script) -> None:
    head = HEAD.replace(b'200 OK', b'101 Switching Protocols')
    upgrade = b'Connection: upgrade\r\nUpgrade: other\r\n\r\n'
    outcome = await raw_attempt(sends(b''.join((head, upgrade)), then=then))
    assert outcome.result.ending is Ending.UNKNOWN


async def test_response_in_small_chunks_is_read_whole() -> None:
    # Most bytes are no part of the body, and more of them than the bound.
    length = MAX_BYTES_WITHOUT_BODY // 4
    chunks = b'1;name=text\r\na\r\n' * length
    script = sends(b''.join((CHUNKED_HEAD, chunks, b'0\r\n\r\n')))
    outcome = await raw_attempt(script)
    assert outcome.body == b'a' * length


async def test_response_after_interim_responses_is_read() -> None:
    interim = b'HTTP/1.1 102 Processing\r\n\r\n'
    response = b''.join((HEAD, b'Content-Length: 2\r\n\r\nok'))
    script = sends(interim, interim * 20, b''.join((interim, response)))
    outcome = await raw_attempt(script)
    assert outcome.body == b'ok'


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize('repeated', [b'x', b'\r\n', OTHER_RESPONSE])
@pytest.mark.parametrize(
    'whole',
    [WITH_LENGTH, b''.join((CHUNKED_HEAD, FIRST_CHUNK, LAST_CHUNK))],
    ids=['length', 'chunks'],
)
@pytest.mark.parametrize('split', [1, len(HEAD), len(HEAD) + 30, 1000])
async def test_bytes_after_a_whole_response_do_not_spoil_it(
    whole: bytes, repeated: bytes, split: int, is_stream: bool
) -> None:
    octets = b''.join((whole, repeated * 9))
    script = sends(octets[:split], octets[split:], then=floods(b'', repeated))
    outcome = await raw_attempt(script, is_stream=is_stream)
    assert outcome.result.ending is Ending.DELIVERED
    received = outcome.caller_bytes if is_stream else outcome.body
    assert received == EVENTS
    assert outcome.peer.sent_bytes < MOST_SENT_BYTES


@pytest.mark.parametrize('status', [b'204 No Content', b'304 Not Modified'])
async def test_bytes_after_a_response_without_a_body_do_not_spoil_it(
    status: bytes,
) -> None:
    head = HEAD.replace(b'200 OK', status)
    outcome = await raw_attempt(floods(b''.join((head, b'\r\n')), b'x'))
    assert outcome.body == b''


@pytest.mark.parametrize('extra', [b'x', OTHER_RESPONSE])
@pytest.mark.parametrize('is_late', [False, True])
async def test_extra_response_never_answers_the_next_request(
    extra: bytes, is_late: bool
) -> None:
    pieces = (WITH_LENGTH, extra) if is_late else (WITH_LENGTH + extra,)
    async with (
        raw_peer(sends(*pieces, then=stays_silent)) as peer,
        open_session() as session,
    ):
        for _ in range(3):
            async with session.get(f'http://{peer.address}/') as response:
                assert await response.read() == EVENTS
            await asyncio.sleep(3 * PIECE_INTERVAL_S)
        assert peer.connections == 3


@pytest.mark.parametrize('repeated', [b'\r\n', b'\r\n ', b'\n'])
def test_endless_empty_lines_are_not_parsed_one_by_one(
    repeated: bytes,
) -> None:
    # Each part costs a call of the parser, all before other tasks run.
    parts = ResponseProgress().parts(repeated * 30_000)
    with pytest.raises(InvalidResponse):
        next(parts)


@pytest.mark.parametrize('size', [1, 2, 3, 4, 5, 50, 1000])
def test_parts_end_where_a_head_ends_however_it_arrives(size: int) -> None:
    head = b''.join((HEAD, b'\r\n'))
    octets = b''.join((head, EVENTS))
    progress = ResponseProgress()
    parts = [
        part
        for at in range(0, len(octets), size)
        for part in progress.parts(octets[at : at + size])
    ]
    assert b''.join(part.octets for part in parts) == octets
    assert sum(part.received for part in parts) == len(octets)
    ends = set(itertools.accumulate(len(part.octets) for part in parts))
    assert len(head) in ends


@pytest.mark.parametrize('response', [b'', WITH_LENGTH])
async def test_rest_of_a_request_is_sent_only_if_it_was_answered(
    response: bytes,
) -> None:
    body = bytes(16_777_216)
    is_over = asyncio.Event()
    received: list[int] = []

    async def read_late(connection: RawConnection) -> None:
        await connection.send(response)
        await is_over.wait()
        try:
            received.append(len(await connection.reader.read(-1)))
        except OSError:
            received.append(0)

    async with raw_peer(read_late) as peer, open_session(0.3) as session:
        url = f'http://{peer.address}/'
        with contextlib.suppress(TimeoutError):
            async with session.post(url, data=body) as answer:
                await answer.read()
        is_over.set()
        while not received:
            await asyncio.sleep(PIECE_INTERVAL_S)
    assert (received[0] == len(body)) == bool(response)
