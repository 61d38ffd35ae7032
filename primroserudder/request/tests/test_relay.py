"""Tests of the stream relay."""

from collections.abc import AsyncIterator

import pytest

from ...process.engines import UpstreamLost
from ...testing.fakes import FakeAnswer
from ..relay import StreamRelay

EVENTS = (
    b'id: 0\ndata: {"a"}\n\n',
    b'id: 1\ndata: {"b"}\n\n',
    b'data: [DONE]\n\n',
)


async def _relayed(*chunks: bytes) -> bytes:
    sent: list[bytes] = []

    async def _send(events: bytes) -> None:
        sent.append(events)

    async def _body() -> AsyncIterator[bytes]:
        for chunk in chunks:
            yield chunk

    try:
        await StreamRelay(_send).run(FakeAnswer(_body()))
    except UpstreamLost:
        sent.append(b'LOST')
    return b''.join(sent)


@pytest.mark.parametrize('size', [1, 2, 7, 19, 1000])
async def test_events_are_relayed_whole_for_any_chunk_size(size: int) -> None:
    whole = b''.join(EVENTS)
    chunks = [
        whole[start : start + size] for start in range(0, len(whole), size)
    ]
    assert await _relayed(*chunks) == whole


async def test_stream_without_end_mark_is_lost() -> None:
    relayed = await _relayed(*EVENTS[:2])
    assert relayed == b''.join((*EVENTS[:2], b'LOST'))


async def test_partial_event_is_not_relayed() -> None:
    relayed = await _relayed(EVENTS[0], EVENTS[1][:9])
    assert relayed == b''.join((EVENTS[0], b'LOST'))


@pytest.mark.parametrize('order', [(1, 0), (0, 0), (0, 2)])
async def test_events_out_of_order_end_the_attempt(
    order: tuple[int, ...],
) -> None:
    events = [b'id: %d\ndata: {}\n\n' % position for position in order]
    assert (await _relayed(*events)).endswith(b'LOST')


async def test_chunk_out_of_order_does_not_advance_the_position() -> None:
    async def _send(events: bytes) -> None:
        raise AssertionError('got events of a chunk that is out of order')

    async def _body() -> AsyncIterator[bytes]:
        yield b'id: 0\ndata: {}\n\nid: 2\ndata: {}\n\n'

    relay = StreamRelay(_send)
    with pytest.raises(UpstreamLost):
        await relay.run(FakeAnswer(_body()))
    assert relay.position == 0
