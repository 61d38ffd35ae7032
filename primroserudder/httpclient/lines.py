"""The lines of heads and trailers (RFC 9112, sections 2 to 5).

Explanation
===========
A line ends with CRLF. A line feed alone, which a recipient may take for one, is
refused, as peers disagree on it.
"""

import re

from .errors import EndlessResponse, InvalidResponse

LINE_END = b'\r\n'
# As aiohttp's parsers have it.
MAX_LINE_BYTES = 8190
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
# Visible characters, bytes above ASCII, spaces and tabs.
TEXT = rb'[\t\x20-\x7e\x80-\xff]*+'
_FIELD_LINES = re.compile(rb'(?:%b:%b\r\n)*+' % (TOKEN, TEXT))
_INCOMPLETE_LINE = re.compile(rb'[^\r\n]*+\r?')
_FOLDED_LINE = re.compile(rb'[\t ]')
_FIELD_NAME = re.compile(rb'%b:' % TOKEN)


def end_of_fields(octets: bytes, start: int) -> int:
    """Return where the valid field lines from a position on end."""
    found = _FIELD_LINES.match(octets, start)
    return found.end() if found else start


def is_incomplete_line(octets: bytes, start: int) -> bool:
    """Return whether the rest of some bytes has no line end yet.

    Raises
    ======
    EndlessResponse
        The line is too long.
    """
    if not _INCOMPLETE_LINE.fullmatch(octets, start):
        return False
    if len(octets) - start > MAX_LINE_BYTES:
        raise EndlessResponse(f'a line of over {MAX_LINE_BYTES} bytes')
    return True


def check_incomplete_field(octets: bytes, start: int) -> None:
    """Refuse what can't become a field line.

    Raises
    ======
    InvalidResponse
        The line is complete, and outside the grammar.
    EndlessResponse
        The line is too long.
    """
    if not is_incomplete_line(octets, start):
        raise InvalidResponse(_fault(octets, start))


def _fault(octets: bytes, start: int) -> str:
    """Return what is wrong with a field line."""
    if _FOLDED_LINE.match(octets, start):
        return 'a folded field line'
    if not _FIELD_NAME.match(octets, start):
        return 'a field name that is no token'
    return 'a control byte in a field'
