"""Follows a body in chunks by the grammar (RFC 9112, section 7)."""

import re
from dataclasses import dataclass

from .errors import EndlessResponse, InvalidResponse
from .lines import (
    LINE_END,
    TEXT,
    TOKEN,
    check_incomplete_field,
    end_of_fields,
)

_BLANKS = rb'[\t ]*+'
_QUOTED = (
    rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*+"'
)
_EXTENSION = rb'%b;%b%b(?:%b=%b(?:%b|%b))?' % (
    _BLANKS,
    _BLANKS,
    TOKEN,
    _BLANKS,
    _BLANKS,
    TOKEN,
    _QUOTED,
)
HEX_BASE = 16
# What frames chunks may exceed twice their data by so much: without end, chunks
# of a byte each use up the processor.
MAX_EXCESS_FRAMING_BYTES = 131_072
# Sizes of more digits are no sizes of anything.
_SIZE = (
    rb'(?P<size>0*[0-9A-Fa-f]{1,15})(?P<extensions>(?:%b)*+)\r\n' % _EXTENSION
)
_FIRST_SIZE = re.compile(_SIZE)
# The line end before it belongs to the chunk before.
_NEXT_SIZE = re.compile(rb'\r\n%b' % _SIZE)
_NEXT_PLAIN_SIZE = re.compile(rb'\r\n([0-9A-Fa-f]{1,15})\r\n')
_SIZE_START = (
    rb'(?:0*[0-9A-Fa-f]{0,15}|0*[0-9A-Fa-f]{1,15}(?:\r|[\t ;]%b\r?))' % TEXT
)
_FIRST_SIZE_START = re.compile(_SIZE_START)
_NEXT_SIZE_START = re.compile(rb'\r|\r\n%b' % _SIZE_START)


@dataclass(slots=True)
class ChunkedBody:
    r"""Checks the framing of chunks, and passes on what a parser needs.

    Explanation
    ===========
    Extensions and trailers are checked and left out: nobody here uses them, and
    parsers disagree on them. A line is passed on once it is complete.

    Raises
    ======
    InvalidResponse
        The framing is outside the grammar.
    EndlessResponse
        Chunks are so small that hardly anything but framing comes.

    Examples
    ========
    >>> body = ChunkedBody()
    >>> body.feed(b'5;name=text\r\nhel')
    b'5\r\nhel'
    >>> body.feed(b'lo\r\n0\r\nName: text\r\n\r\nrest')
    b'lo\r\n0\r\n\r\n'
    >>> body.has_ended
    True
    """

    has_ended: bool = False
    surplus: int = 0
    # Of the chunk's data.
    _left: int = 0
    _excess_framing: int = 0
    _has_begun: bool = False
    _is_in_trailers: bool = False
    # A line, or all trailers, as far as they came.
    _held: bytes = b''

    def feed(self, octets: bytes) -> bytes:
        """Return bytes of the body without extensions and trailers."""
        octets = self._held + octets if self._held else octets
        self._held = b''
        if self._read_one_chunk(octets):
            return octets[: -len(LINE_END)]
        passed: list[bytes] = []
        at = 0
        while at < len(octets) and not self.has_ended:
            if self._left:
                data_end = min(at + self._left, len(octets))
                passed.append(octets[at:data_end])
                self._left -= data_end - at
                at = data_end
            elif self._is_in_trailers:
                at = self._read_trailers(octets, at, passed)
            else:
                at = self._read_size(octets, at, passed)
        self.surplus = len(octets) - at
        return b''.join(passed)

    def _read_one_chunk(self, octets: bytes) -> bool:
        """Return whether the bytes are one whole chunk, as for most events."""
        if self._left or self._is_in_trailers or not self._has_begun:
            return False
        found = _NEXT_PLAIN_SIZE.match(octets)
        if found is None:
            return False
        size = int(found[1], HEX_BASE)
        end = found.end() + size
        if not size or octets[end:] != LINE_END:
            return False
        self._count_framing(found.end() - 2 * size)
        self._held = LINE_END
        return True

    def _read_size(self, octets: bytes, at: int, passed: list[bytes]) -> int:
        pattern = _NEXT_SIZE if self._has_begun else _FIRST_SIZE
        found = pattern.match(octets, at)
        if found is None:
            return self._hold_size(octets, at)
        self._left = int(found['size'], HEX_BASE)
        self._is_in_trailers = not self._left
        self._count_framing(found.end() - at - 2 * self._left)
        start = LINE_END if self._has_begun else b''
        passed.append(b'%b%b\r\n' % (start, found['size']))
        self._has_begun = True
        return found.end()

    def _count_framing(self, excess: int) -> None:
        self._excess_framing = max(0, self._excess_framing + excess)
        if self._excess_framing > MAX_EXCESS_FRAMING_BYTES:
            raise EndlessResponse('too many chunks of hardly any data')

    def _hold_size(self, octets: bytes, at: int) -> int:
        pattern = _NEXT_SIZE_START if self._has_begun else _FIRST_SIZE_START
        if not pattern.fullmatch(octets, at):
            raise InvalidResponse('a chunk outside the grammar')
        self._held = octets[at:]
        return len(octets)

    def _read_trailers(
        self, octets: bytes, at: int, passed: list[bytes]
    ) -> int:
        end = end_of_fields(octets, at)
        if octets.startswith(LINE_END, end):
            self.has_ended = True
            passed.append(LINE_END)
            return end + len(LINE_END)
        check_incomplete_field(octets, end)
        self._held = octets[at:]
        return len(octets)
