"""Splitting of streams into events, also of streams that never end one."""

import itertools

import pytest

from ..events import MAX_EVENT_BYTES, EventSplitter, EventTooLong

EVENT = b'id: 1\ndata: a\n\n'


def _split(*pieces: bytes) -> list[bytes]:
    splitter = EventSplitter()
    events = map(splitter.feed, pieces)
    return [event.octets for event in itertools.chain.from_iterable(events)]


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n'])
@pytest.mark.parametrize('size', [1, 2, 3, 7, 1000])
def test_events_are_split_however_their_bytes_arrive(
    line_end: bytes, size: int
) -> None:
    event = EVENT.replace(b'\n', line_end)
    octets = event * 5
    pieces = [octets[at : at + size] for at in range(0, len(octets), size)]
    assert _split(*pieces) == list(itertools.repeat(event, 5))


def test_event_without_end_is_refused_once_it_is_too_long() -> None:
    splitter = EventSplitter()
    piece = b'x' * 1000
    with pytest.raises(EventTooLong):
        for _ in range(MAX_EVENT_BYTES // len(piece) + 1):
            assert not list(splitter.feed(piece))


def test_event_of_the_longest_size_is_passed_on() -> None:
    event = b'\n\n'.rjust(MAX_EVENT_BYTES, b'x')
    assert _split(event[:-1], event[-1:]) == [event]


@pytest.mark.parametrize('filler', [b'\n', b'\r\n', b': comment\n', b':\n\n'])
def test_comments_and_empty_lines_are_kept_with_the_next_event(
    filler: bytes,
) -> None:
    splitter = EventSplitter()
    assert not list(splitter.feed(filler * 3))
    assert not splitter.has_partial_event
    events = list(splitter.feed(EVENT))
    assert [event.octets for event in events] == [filler * 3 + EVENT]
    assert events[0].event_id == '1'


@pytest.mark.parametrize('filler', [b'\n', b'\r\n', b': comment\n', b':\n\n'])
def test_comments_and_empty_lines_without_end_are_refused(
    filler: bytes,
) -> None:
    splitter = EventSplitter()
    list(splitter.feed(EVENT))
    with pytest.raises(EventTooLong):
        for _ in range(MAX_EVENT_BYTES // len(filler) // 100 + 1):
            assert not list(splitter.feed(filler * 100))


@pytest.mark.parametrize('rest', [b'\n', b'\r\n', b': bye\n', b':\n\n'])
def test_rest_without_a_field_is_no_partial_event(rest: bytes) -> None:
    splitter = EventSplitter()
    list(splitter.feed(EVENT + rest))
    assert not splitter.has_partial_event
    assert splitter.rest() == rest


@pytest.mark.parametrize('rest', [b'd', b'data: b\n', b':', b': bye', b'\n:'])
def test_rest_with_an_open_line_or_a_field_is_a_partial_event(
    rest: bytes,
) -> None:
    splitter = EventSplitter()
    list(splitter.feed(EVENT + rest))
    assert splitter.has_partial_event
