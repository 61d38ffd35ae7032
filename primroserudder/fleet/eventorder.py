"""Checks that what an engine sends continues its caller's stream."""

import re
from dataclasses import dataclass

from .events import Event

# A line with a field that server-sent events have.
_KNOWN_FIELD = re.compile(rb'^(data|event|id|retry)(:|\r?$)', re.MULTILINE)


@dataclass(slots=True)
class EventOrder:
    """The order of the events of one run of a stream.

    Explanation
    ===========
    The events of a stream have rising ids. In a run that goes on after another
    one, what has no id is the text of an error, until an event with an id shows
    that the run goes on. Later events may lack one if they have fields.
    """

    _has_id: bool = False

    def allows(
        self, event: Event, last_event_id: str, *, is_started: bool
    ) -> bool:
        """Return whether an event may follow, and note that it does.

        Parameters
        ==========
        last_event_id : str
            Id of the last event that the caller received, empty if none.
        is_started : bool
            Whether the caller received events in this response.

        Examples
        ========
        >>> order = EventOrder()
        >>> order.allows(Event(b'id: 13', '13'), '12', is_started=True)
        True
        >>> order.allows(Event(b'id: 12', '12'), '13', is_started=True)
        False
        >>> EventOrder().allows(Event(b'failed', ''), '12', is_started=True)
        False
        >>> EventOrder().allows(Event(b'id: 5', '5'), '', is_started=False)
        True
        """
        if event.event_id.isdecimal() and last_event_id.isdecimal():
            is_next = int(event.event_id) > int(last_event_id)
        elif is_started and last_event_id.isdecimal():
            is_next = self._has_id and _has_fields_only(event)
        else:
            is_next = True
        self._has_id |= bool(event.event_id)
        return is_next


def _has_fields_only(event: Event) -> bool:
    """Return whether an event without an id has the fields of an event."""
    has_fields = _KNOWN_FIELD.search(event.octets) is not None
    return has_fields and not event.event_id
