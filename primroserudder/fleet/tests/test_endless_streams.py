"""Streams that never end, that end within an event, or that are slow."""

import asyncio
from collections.abc import Callable

import pytest

from ...testing.rawattempts import CHUNKED_HEAD, EVENTS, HEAD, raw_attempt
from ...testing.rawpeer import (
    Script,
    closes,
    floods,
    half_closes,
    resets,
    sends,
    trickles,
)
from .. import attempt as attempt_module
from ..events import MAX_EVENT_BYTES
from ..retries import Ending

STREAM_HEAD = b''.join((HEAD, b'\r\n'))
TIMED_OUT = 'TimeoutError'
# The socket buffers and the reader's buffers take bytes beyond an event.
MOST_SENT_BYTES = MAX_EVENT_BYTES + 8_388_608


def _broken_ending(received: bytes) -> Ending:
    return Ending.CUT if received else Ending.UNKNOWN


@pytest.mark.parametrize('before', [b'', EVENTS])
@pytest.mark.parametrize(
    'repeated',
    [b'x', b'data: text\n', b': comment\n', b'\n', b'\r\n', b':\n\n'],
)
async def test_event_that_never_ends_ends_an_attempt_before_its_deadline(
    repeated: bytes, before: bytes
) -> None:
    head = b''.join((STREAM_HEAD, before))
    outcome = await raw_attempt(
        floods(head, repeated), is_stream=True, deadline_s=20
    )
    assert outcome.result.ending is _broken_ending(before)
    assert outcome.result.reason != TIMED_OUT
    assert outcome.caller_bytes == before
    assert outcome.peer.sent_bytes < MOST_SENT_BYTES


async def test_slow_stream_is_not_cut() -> None:
    pieces = [EVENTS[at : at + 3] for at in range(0, len(EVENTS), 3)]
    script = sends(STREAM_HEAD, b': wait\n', *pieces)
    outcome = await raw_attempt(script, is_stream=True)
    assert outcome.result.ending is Ending.DELIVERED
    assert outcome.caller_bytes == b': wait\n%s' % EVENTS


@pytest.mark.parametrize('before', [b'', EVENTS])
async def test_stream_that_trickles_into_one_event_ends_at_the_deadline(
    before: bytes,
) -> None:
    script = trickles(b''.join((STREAM_HEAD, before)), b'x', 0.02)
    outcome = await raw_attempt(script, is_stream=True, deadline_s=0.4)
    assert outcome.result.ending is _broken_ending(before)
    assert outcome.result.reason == TIMED_OUT
    assert not outcome.result.may_have_crashed


@pytest.mark.parametrize('rest', [b'\n', b': bye\n', b'\r\n'])
async def test_stream_that_ends_outside_an_event_is_whole(rest: bytes) -> None:
    script = sends(b''.join((STREAM_HEAD, EVENTS, rest)))
    outcome = await raw_attempt(script, is_stream=True)
    assert outcome.result.ending is Ending.DELIVERED
    assert outcome.caller_bytes == EVENTS + rest


def _unframed(body: bytes) -> bytes:
    return b''.join((STREAM_HEAD, body))


def _with_length(body: bytes) -> bytes:
    return b'%sContent-Length: %d\r\n\r\n%s' % (HEAD, len(body), body)


def _chunked(body: bytes) -> bytes:
    return b'%s%x\r\n%s\r\n0\r\n\r\n' % (CHUNKED_HEAD, len(body), body)


@pytest.mark.parametrize('response', [_unframed, _with_length, _chunked])
@pytest.mark.parametrize('missing', [1, 2, 5])
async def test_stream_whose_last_event_lacks_its_end_is_cut(
    response: Callable[[bytes], bytes], missing: int
) -> None:
    script = sends(response(EVENTS[:-missing]))
    outcome = await raw_attempt(script, is_stream=True)
    assert outcome.result.ending is Ending.CUT
    assert outcome.caller_bytes == EVENTS[: len(EVENTS) // 2]


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize('response', [_with_length, _chunked])
@pytest.mark.parametrize('then', [closes, resets, half_closes])
async def test_response_that_breaks_off_is_never_whole(
    then: Script, response: Callable[[bytes], bytes], is_stream: bool
) -> None:
    whole = response(EVENTS)
    # At the end of an event, within one, and before the last chunk.
    for end in (whole.index(b'id: 2'), whole.index(b'id: 2') + 3, -5, -1):
        outcome = await raw_attempt(
            sends(whole[:end], then=then), is_stream=is_stream
        )
        assert outcome.result.ending in {Ending.CUT, Ending.UNKNOWN}
        assert EVENTS.startswith(outcome.caller_bytes)


class _Turns:
    """A task that counts how often it gets its turn."""

    def __init__(self) -> None:
        self.count = 0

    async def take(self) -> None:
        while True:
            self.count += 1
            await asyncio.sleep(0)


async def test_many_small_events_do_not_hold_up_other_tasks() -> None:
    events = 10_000
    body = b'a\n\n' * events
    turns = _Turns()
    other = asyncio.ensure_future(turns.take())
    script = sends(b''.join((STREAM_HEAD, body)))
    outcome = await raw_attempt(script, is_stream=True, deadline_s=60)
    other.cancel()
    assert outcome.caller_bytes == body
    assert turns.count > events // attempt_module.EVENTS_IN_A_ROW
