"""What the heads of requests weigh, while they arrive and once parsed."""

from collections.abc import Iterable

from aiohttp.http import RawRequestMessage

from .limits import SHORTEST_FIELD_BYTES

HEAD_END = b'\r\n\r\n'
# Of a head, the parser keeps bytes and text, and the request copies both.
HEAD_COPIES = 4
# Objects of one field: its names and texts, tuples and entries of maps.
FIELD_BYTES = 600
# Of a request line: two spaces, the version and the line end, and the empty
# line that ends the head. Of a field: the colon, a space and the line end.
LINE_EXTRA_BYTES = 14
FIELD_EXTRA_BYTES = 4


def head_weight(octets: bytes, start: int = 0, end: int | None = None) -> int:
    r"""Return the memory that a part of a head takes, in bytes.

    Examples
    ========
    >>> head_weight(b'Host: one.example' + b'\r\n')
    676
    """
    stop = len(octets) if end is None else end
    size = stop - start
    # Empty lines make no field.
    lines = min(octets.count(b'\n', start, stop), size // SHORTEST_FIELD_BYTES)
    return size * HEAD_COPIES + lines * FIELD_BYTES


def head_size(message: RawRequestMessage) -> int:
    """Return the length of a parsed head, without optional white space."""
    line = len(message.method) + len(message.path) + LINE_EXTRA_BYTES
    return line + sum(_field_sizes(message.raw_headers))


def leftover(
    octets: bytes, body_bytes: int, *, starts_head: bool, is_complete: bool
) -> int:
    r"""Return how many of the last bytes may belong to another head.

    Parameters
    ==========
    octets : bytes
        What was parsed at once, with the end of a head or a part of a body.
    body_bytes : int
        How many of these are known to belong to the last body.
    starts_head : bool
        Whether the first byte is that of the only head whose end was parsed.
    is_complete : bool
        Whether the last request's body is complete.

    Explanation
    ===========
    Where the end of a request can't be told, more than its length is returned,
    never less.

    Examples
    ========
    >>> octets = b'POST / HTTP/1.1\r\n\r\nbodyGET '
    >>> leftover(octets, 4, starts_head=True, is_complete=True)
    4
    """
    if is_complete and octets.endswith(HEAD_END):
        # A head that is not complete can't end like this.
        return 0
    head_end = octets.find(HEAD_END) if starts_head else -1
    head_bytes = 0 if head_end < 0 else head_end + len(HEAD_END)
    return max(0, len(octets) - head_bytes - body_bytes)


def _field_sizes(fields: Iterable[tuple[bytes, bytes]]) -> Iterable[int]:
    return (len(name) + len(text) + FIELD_EXTRA_BYTES for name, text in fields)
