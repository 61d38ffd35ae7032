"""Splits a byte stream into server-sent events."""

from collections.abc import Iterator
from dataclasses import dataclass, field

_EVENT_ENDS = (b'\n\n', b'\r\n\r\n')
_ID_FIELD = b'id:'


@dataclass(frozen=True, slots=True)
class Event:
    """A complete event, with its bytes exactly as the engine sent them."""

    octets: bytes
    event_id: str


@dataclass(slots=True)
class EventSplitter:
    r"""Buffers bytes and returns complete events.

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

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, octets: bytes) -> Iterator[Event]:
        """Buffer bytes and yield the events that they complete."""
        self._buffer += octets
        end = self._first_event_end()
        while end >= 0:
            event_bytes = bytes(self._buffer[:end])
            self._buffer = self._buffer[end:]
            yield Event(event_bytes, event_id(event_bytes))
            end = self._first_event_end()

    def _first_event_end(self) -> int:
        positions = (
            (terminator, self._buffer.find(terminator))
            for terminator in _EVENT_ENDS
        )
        ends = [
            position + len(terminator)
            for terminator, position in positions
            if position >= 0
        ]
        return min(ends, default=-1)


def event_id(octets: bytes) -> str:
    """Return the id of an event, empty if it has none."""
    for line in octets.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('utf-8', 'replace')
    return ''
