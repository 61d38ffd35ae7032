"""How the body of a response is framed (RFC 9112, section 6)."""

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from .chunks import ChunkedBody
from .errors import InvalidResponse

LENGTH = b'content-length'
CODING = b'transfer-encoding'
_FRAMING_FIELD = re.compile(
    rb'\r\n(content-length|transfer-encoding):([^\r]*+)', re.IGNORECASE
)
# Lengths of more digits are no sizes of anything.
_DIGITS = re.compile(rb'0*[0-9]{1,18}')
_CHUNKED = b'chunked'
_OLD_VERSION = b'HTTP/1.0'
_STATUSES_WITHOUT_BODY = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)


class Body(Protocol):
    """Follows a body to its end."""

    @property
    def surplus(self) -> int:
        """Return how many of the last bytes came after the end."""

    def feed(self, octets: bytes) -> bytes:
        """Return what of some bytes belongs to the body, as it is framed."""


@dataclass(slots=True)
class SizedBody:
    """A body of a known length, zero for none."""

    left: int
    surplus: int = 0

    def feed(self, octets: bytes) -> bytes:
        """Return the bytes up to the end."""
        belonging = octets[: self.left]
        self.left -= len(belonging)
        self.surplus = len(octets) - len(belonging)
        return belonging


@dataclass(frozen=True, slots=True)
class UnsizedBody:
    """A body that ends with its connection."""

    surplus: int = 0

    def feed(self, octets: bytes) -> bytes:
        """Return all bytes."""
        return octets


def body_of(head: bytes, status: int, *, expects_body: bool) -> Body | None:
    """Return how the body after a head is framed, ``None`` if none may be.

    Explanation
    ===========
    Framing fields must be sound also where no body follows.

    Raises
    ======
    InvalidResponse
        The fields contradict each other, or are outside the grammar.
    """
    fields = [
        (name.lower(), text.strip(b'\t '))
        for name, text in _FRAMING_FIELD.findall(head)
    ]
    if status < HTTPStatus.OK:
        if fields:
            raise InvalidResponse('an interim response with a body')
        return None
    framed = _framed(fields, head)
    if not expects_body or status in _STATUSES_WITHOUT_BODY:
        return SizedBody(0)
    return framed


def _framed(fields: list[tuple[bytes, bytes]], head: bytes) -> Body:
    if not fields:
        return UnsizedBody()
    if len(fields) > 1:
        raise InvalidResponse('several lengths or codings of a body')
    name, text = fields[0]
    if name == LENGTH:
        if not _DIGITS.fullmatch(text):
            raise InvalidResponse('a length that is no number')
        return SizedBody(int(text))
    # Nobody asked for other codings, and HTTP/1.0 has none.
    if text.lower() != _CHUNKED or head.startswith(_OLD_VERSION):
        raise InvalidResponse('a transfer coding other than chunks')
    return ChunkedBody()
