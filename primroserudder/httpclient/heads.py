"""Reads the heads of responses by the grammar (RFC 9112, sections 4 to 6)."""

import re
from dataclasses import dataclass

from .errors import InvalidResponse
from .framing import Body, body_of
from .lines import (
    LINE_END,
    TEXT,
    check_incomplete_field,
    end_of_fields,
    is_incomplete_line,
)

# Peers that leave out the space before an empty reason are understood.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.[01] (?P<status>[1-5][0-9]{2})(?: %b)?\r\n' % TEXT
)
_STATUS_LINE_START = b'HTTP/1.'
_STATUS_OUTSIDE = re.compile(rb'HTTP/1\.[01] (?P<status>[0-9]{3})[ \r]')


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """What the head of a response says about its form.

    Parameters
    ==========
    body : Body or None
        How the body is framed, ``None`` for an interim response.
    """

    status: int
    body: Body | None


@dataclass(slots=True)
class HeadReader:
    r"""Holds the bytes of one head until it is complete.

    Explanation
    ===========
    What no longer can become a head is refused at once.

    Parameters
    ==========
    expects_body : bool
        Whether a response may have a body, as it may not to a HEAD request.

    Raises
    ======
    InvalidResponse
        The bytes are no head of a response.

    Examples
    ========
    >>> reader = HeadReader()
    >>> reader.feed(b'HTTP/1.1 204 No Con')
    >>> head = reader.feed(b'tent\r\n\r\nrest')
    >>> head.status, reader.octets, reader.rest
    (204, b'HTTP/1.1 204 No Content\r\n\r\n', b'rest')
    """

    expects_body: bool = True
    octets: bytes = b''
    rest: bytes = b''
    # Lines before this position are complete and valid.
    _checked: int = 0
    _status: int = 0

    def feed(self, octets: bytes) -> ResponseHead | None:
        """Take bytes, and return the head once it is complete."""
        self.octets += octets
        if not (self._checked or self._read_status_line()):
            return None
        self._checked = end_of_fields(self.octets, self._checked)
        if self.octets.startswith(LINE_END, self._checked):
            return self._complete()
        check_incomplete_field(self.octets, self._checked)
        return None

    def _read_status_line(self) -> bool:
        """Return whether the status line is complete."""
        found = _STATUS_LINE.match(self.octets)
        if found:
            self._checked = found.end()
            self._status = int(found['status'])
            return True
        start = self.octets[: len(_STATUS_LINE_START)]
        may_follow = _STATUS_LINE_START.startswith(start)
        if not (may_follow and is_incomplete_line(self.octets, 0)):
            raise InvalidResponse(_status_line_fault(self.octets))
        return False

    def _complete(self) -> ResponseHead:
        end = self._checked + len(LINE_END)
        self.rest = self.octets[end:]
        self.octets = self.octets[:end]
        body = body_of(
            self.octets, self._status, expects_body=self.expects_body
        )
        return ResponseHead(self._status, body)


def _status_line_fault(octets: bytes) -> str:
    found = _STATUS_OUTSIDE.match(octets)
    if found:
        status = found['status'].decode()
        return f'a status outside 100 to 599: {status}'
    return 'a status line outside the grammar'
