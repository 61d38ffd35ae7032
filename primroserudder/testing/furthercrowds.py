"""Further kinds of callers that don't behave; ``crowds`` has the first ones."""

import gzip
import itertools
from collections.abc import Iterator

from .crowdtarget import CRLF, FILL, MISSING_BYTES, Kind, Target

# A body of 16 MB takes 16 KB of these.
INFLATED_BYTES = 16_777_216
UPGRADED_PIECES = 200
SIZE_LINE_PIECES = 200


def compressed_bodies(target: Target) -> Iterator[bytes]:
    """Send small bodies that are large once decompressed, without an end."""
    body = gzip.compress(bytes(INFLATED_BYTES))
    head = target.head(
        target.path,
        Content_Encoding='gzip',
        Content_Length=str(len(body)),
    )
    yield head + CRLF
    yield body[:-MISSING_BYTES]


def upgrades(target: Target) -> Iterator[bytes]:
    """Ask for another protocol, and send 12 MB of it."""
    head = target.head(target.path, Connection='Upgrade', Upgrade='websocket')
    yield head + CRLF
    yield from itertools.repeat(FILL, UPGRADED_PIECES)


def size_lines(target: Target) -> Iterator[bytes]:
    """Send a chunk whose size has an extension without an end."""
    yield target.head(target.path, Transfer_Encoding='chunked') + CRLF
    yield b'1;'
    yield from itertools.repeat(FILL, SIZE_LINE_PIECES)


def unread_streams(target: Target) -> Iterator[bytes]:
    """Send one proper request for a long stream."""
    body = target.stream_body
    yield target.head(target.path, Content_Length=str(len(body))) + CRLF
    yield body


def silence(_target: Target) -> Iterator[bytes]:
    """Send nothing."""
    return iter(())


FURTHER_KINDS = (
    Kind('compressed-bodies', compressed_bodies),
    Kind('upgrades', upgrades),
    Kind('size-lines', size_lines, has_end=False),
    Kind('unread-streams', unread_streams),
    Kind('silence', silence),
)
