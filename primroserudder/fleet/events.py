"""Splits a byte stream into server-sent events."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..errors import Ran, RudderError

# An event holds a few tokens; this leaves room for very long ones, while an
# event that never ends takes little memory.
MAX_EVENT_BYTES = 1_048_576
_EVENT_END = re.compile(rb'\n\r?\n')
_MAX_END_BYTES = 3
# A line that is neither empty nor a comment.
_FIELD_LINE = re.compile(rb'^[^:\r\n]', re.MULTILINE)
_ID_FIELD = b'id:'


class EventTooLong(RudderError):
    """An event, with the comments before it, exceeds the largest size."""

    code = 'event_too_long'
    status = 502
    ran = Ran.UNKNOWN
    default_remedy = 'check the engine, which may send bytes without end'


@dataclass(frozen=True, slots=True)
class Event:
    """A complete event, with its bytes exactly as the engine sent them."""

    octets: bytes
    event_id: str


@dataclass(slots=True)
class EventSplitter:
    r"""Buffers bytes and returns complete events.

    Explanation
    ===========
    Comments and empty lines are no events; they are returned with the event
    that follows, or as the rest of the stream.

    Examples
    ========
    >>> splitter = EventSplitter()
    >>> events = splitter.feed(b'id: 1\ndata: a\n\nid: 2\n')
    >>> [event.event_id for event in events]
    ['1']
    >>> splitter.has_partial_event
    True
    """

    _buffer: bytearray = field(default_factory=bytearray)
    # Bytes before this position need not be searched again.
    _searched: int = 0
    _has_field: bool = False

    @property
    def has_partial_event(self) -> bool:
        """Return whether the rest is an incomplete event or line."""
        ends_line = self._buffer.endswith(b'\n') or not self._buffer
        return self._has_field or not ends_line

    @property
    def size(self) -> int:
        """Return how many bytes are buffered."""
        return len(self._buffer)

    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)

    def feed(self, octets: bytes) -> Iterator[Event]:
        """Buffer bytes and yield the events that they complete.

        Raises
        ======
        EventTooLong
            An event exceeds ``MAX_EVENT_BYTES``, whether or not it ends.
        """
        self._buffer += octets
        start = 0
        for end in self._event_ends():
            event_bytes = bytes(self._buffer[start:end])
            _check_length(len(event_bytes))
            yield Event(event_bytes, event_id(event_bytes))
            start = end
        self._buffer = self._buffer[start:]
        self._searched -= start
        _check_length(len(self._buffer))

    def _event_ends(self) -> Iterator[int]:
        """Yield where events end, past comments and empty lines alone."""
        while self._find_field():
            found = _EVENT_END.search(self._buffer, self._searched)
            if found is None:
                # An end may have begun with the last bytes.
                unsearched = len(self._buffer) - _MAX_END_BYTES + 1
                self._searched = max(self._searched, unsearched)
                return
            self._has_field = False
            self._searched = found.end()
            yield self._searched

    def _find_field(self) -> bool:
        """Return whether a field of the next event was found."""
        if not self._has_field:
            found = _FIELD_LINE.search(self._buffer, self._searched)
            self._has_field = found is not None
            self._searched = found.start() if found else len(self._buffer)
        return self._has_field


def _check_length(octets: int) -> None:
    if octets > MAX_EVENT_BYTES:
        raise EventTooLong(f'an event exceeds {MAX_EVENT_BYTES} bytes')


def event_id(octets: bytes) -> str:
    """Return the id of an event, empty if it has none."""
    for line in octets.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('utf-8', 'replace')
    return ''
