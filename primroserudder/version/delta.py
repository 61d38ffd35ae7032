"""Deltas between documents that share a prefix and a suffix.

Explanation
===========
A change usually affects one place of a document, so the bytes before and
after it need not be sent again. Applying a delta restores the document byte
for byte; receivers verify the result against the document's digest.
"""

import bisect
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Delta:
    """The bytes between the common prefix and the common suffix."""

    prefix_bytes: int
    suffix_bytes: int
    middle: bytes


def make_delta(base: bytes, document: bytes) -> Delta:
    """Return the delta that turns a base document into a document.

    Examples
    ========
    >>> make_delta(b'{"a": 1, "b": 2}', b'{"a": 17, "b": 2}')
    Delta(prefix_bytes=7, suffix_bytes=9, middle=b'7')
    """
    prefix = _common_length(base, document)
    suffix = _common_length(
        _reversed(base[prefix:]),
        _reversed(document[prefix:]),
    )
    end = len(document) - suffix
    return Delta(prefix, suffix, document[prefix:end])


def apply_delta(base: bytes, delta: Delta) -> bytes:
    """Return the document that results from applying a delta to its base.

    Examples
    ========
    >>> apply_delta(b'{"a": 1, "b": 2}', Delta(7, 9, b'7'))
    b'{"a": 17, "b": 2}'
    """
    prefix = base[: delta.prefix_bytes]
    suffix = base[len(base) - delta.suffix_bytes :]
    return b''.join((prefix, delta.middle, suffix))


def _common_length(left: bytes, right: bytes) -> int:
    limit = min(len(left), len(right))
    return bisect.bisect_left(
        range(1, limit + 1),
        1,
        key=lambda length: _differ(left, right, length),
    )


def _differ(left: bytes, right: bytes, length: int) -> int:
    return int(not left.startswith(right[:length]))


def _reversed(text: bytes) -> bytes:
    return bytes(reversed(text))
