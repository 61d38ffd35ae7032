"""Cuts a stream of server-sent events into whole events."""

from collections.abc import Iterator
from dataclasses import dataclass, field

_EVENT_ENDS = (b'\n\n', b'\r\n\r\n')
_ID_FIELD = b'id:'


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event, its bytes as the engine sent them."""

    octets: bytes
    event_id: str


@dataclass(slots=True)
class EventCutter:
    r"""Collects bytes and gives out whole events.

    Examples
    ========
    >>> cutter = EventCutter()
    >>> [one.event_id for one in cutter.feed(b'id: 1\ndata: a\n\nid: 2\n')]
    ['1']
    >>> cutter.has_rest
    True
    """

    _buffer: bytearray = field(default_factory=bytearray)

    @property
    def has_rest(self) -> bool:
        """Return whether a part of an event is left over."""
        return bool(self._buffer)

    def feed(self, octets: bytes) -> Iterator[Event]:
        """Return the events that are whole now."""
        self._buffer += octets
        end = self._first_end()
        while end >= 0:
            whole = bytes(self._buffer[:end])
            self._buffer = self._buffer[end:]
            yield Event(whole, event_id(whole))
            end = self._first_end()

    def _first_end(self) -> int:
        found = ((mark, self._buffer.find(mark)) for mark in _EVENT_ENDS)
        ends = [at + len(mark) for mark, at in found if at >= 0]
        return min(ends, default=-1)


def event_id(octets: bytes) -> str:
    """Return an event's id, empty if it has none."""
    for line in octets.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('utf-8', 'replace')
    return ''
