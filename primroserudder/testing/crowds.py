"""Crowds of callers that don't behave, kind by kind.

Explanation
===========
Each kind says what one caller sends, piece by piece, a fixed number of bytes.
No caller reads, and each keeps its connection open. ``callers`` sends it.
"""

import itertools
from collections.abc import Iterator
from functools import partial
from types import MappingProxyType

from .crowdtarget import CRLF, FILL, MISSING_BYTES, PIECE_BYTES, Kind, Target
from .furthercrowds import FURTHER_KINDS

MAX_BODY_BYTES = 4_194_304
# Below the size from which a body counts as large.
SMALL_BODY_BYTES = 60_064
LARGE_FIELDS = 40
LONG_FIELD_PIECES = 200
SMALL_FIELD = b'X: abcd\r\n'
SMALL_FIELDS = 200_000
EMPTY_LINES_BYTES = 10_000_000
CHUNK_BYTES = 100
SHORT_REQUESTS = 20_000
REQUESTS_WITH_BODIES = 400
STREAMS = 2000
SLOW_BYTES = 200


def endless_heads(target: Target) -> Iterator[bytes]:
    """Send large fields, and never the end of the head."""
    yield target.head(target.path)
    yield from _large_fields()


def endless_trailers(target: Target) -> Iterator[bytes]:
    """Send a body of one byte, and then fields without an end."""
    yield target.head(target.path, Transfer_Encoding='chunked') + CRLF
    yield b'1\r\nx\r\n0\r\n'
    yield from _large_fields()


def long_fields(target: Target) -> Iterator[bytes]:
    """Send one field of 12 MB."""
    yield target.head(target.path)
    yield b'X-Long: '
    yield from itertools.repeat(FILL, LONG_FIELD_PIECES)


def many_fields(target: Target) -> Iterator[bytes]:
    """Send 200,000 fields of a few bytes."""
    yield target.head(target.path)
    at_once = PIECE_BYTES // len(SMALL_FIELD)
    yield from itertools.repeat(SMALL_FIELD * at_once, SMALL_FIELDS // at_once)


def empty_lines(_target: Target) -> Iterator[bytes]:
    """Send empty lines where a request is due."""
    lines = CRLF * (PIECE_BYTES // len(CRLF))
    yield from itertools.repeat(lines, EMPTY_LINES_BYTES // PIECE_BYTES)


def stopped_body(size: int, target: Target) -> Iterator[bytes]:
    """Send a body of a legal size, except its last bytes."""
    yield target.head(target.path, Content_Length=str(size)) + CRLF
    full, rest = divmod(size - MISSING_BYTES, PIECE_BYTES)
    yield from itertools.repeat(FILL, full)
    yield FILL[:rest]


def stopped_chunks(target: Target) -> Iterator[bytes]:
    """Send small chunks up to the largest legal size, and no last one."""
    yield target.head(target.path, Transfer_Encoding='chunked') + CRLF
    chunk = b'%x\r\n%b\r\n' % (CHUNK_BYTES, b'x' * CHUNK_BYTES)
    at_once = PIECE_BYTES // CHUNK_BYTES
    pieces = (MAX_BODY_BYTES - MISSING_BYTES) // (at_once * CHUNK_BYTES)
    yield from itertools.repeat(chunk * at_once, pieces)


def requests_ahead(target: Target) -> Iterator[bytes]:
    """Send short requests, one after the other."""
    request = target.head(target.short_path, Content_Length='0') + CRLF
    yield from _repeated(request, SHORT_REQUESTS)


def bodies_ahead(target: Target) -> Iterator[bytes]:
    """Send requests with bodies, one after the other."""
    length = str(PIECE_BYTES)
    head = target.head(target.short_path, Content_Length=length) + CRLF
    yield from itertools.repeat(head + FILL, REQUESTS_WITH_BODIES)


def streams_ahead(target: Target) -> Iterator[bytes]:
    """Send requests for streams, one after the other."""
    request = target.head(target.path, Content_Length='0') + CRLF
    yield from _repeated(request, STREAMS)


def slow_heads(target: Target) -> Iterator[bytes]:
    """Send the bytes of a head one by one, and not the last ones."""
    head = target.head(target.path, X_Fill='x' * SLOW_BYTES)
    yield from (head[at : at + 1] for at in range(len(head)))


def _large_fields() -> Iterator[bytes]:
    for number in range(LARGE_FIELDS):
        yield b'X-Fill-%d: %b\r\n' % (number, FILL)


def _repeated(request: bytes, count: int) -> Iterator[bytes]:
    at_once = max(1, PIECE_BYTES // len(request))
    yield from itertools.repeat(request * at_once, count // at_once)


_KINDS = (
    Kind('endless-heads', endless_heads, has_end=False),
    Kind('endless-trailers', endless_trailers, has_end=False),
    Kind('long-fields', long_fields, has_end=False),
    Kind('many-fields', many_fields, has_end=False),
    Kind('empty-lines', empty_lines, has_end=False),
    Kind('slow-heads', slow_heads, has_end=False),
    Kind('stopped-bodies', partial(stopped_body, MAX_BODY_BYTES)),
    Kind('stopped-small-bodies', partial(stopped_body, SMALL_BODY_BYTES)),
    Kind('stopped-chunks', stopped_chunks),
    Kind('requests-ahead', requests_ahead),
    Kind('bodies-ahead', bodies_ahead),
    Kind('streams-ahead', streams_ahead),
)
KINDS_BY_NAME = MappingProxyType(
    {kind.name: kind for kind in (*_KINDS, *FURTHER_KINDS)}
)
# The first kinds, or the further ones, in turn.
MIXED = 'mixed'
FURTHER_MIXED = 'further-mixed'
CROWDS = (*KINDS_BY_NAME, MIXED, FURTHER_MIXED)
_MIXES = MappingProxyType({MIXED: _KINDS, FURTHER_MIXED: FURTHER_KINDS})


def crowd(name: str, callers: int) -> list[Kind]:
    """Return the kind of each caller of a crowd."""
    kinds = _MIXES.get(name) or (KINDS_BY_NAME[name],)
    return list(itertools.islice(itertools.cycle(kinds), callers))
