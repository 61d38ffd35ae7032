"""Names what a request holds that may crash engines.

Explanation
===========
A request's suspects are its content, by digest, and each part of its prompt
that other requests may share, by a key that no digest equals.
"""

import re
from collections.abc import Iterable

import xxhash

PART_PREFIX = 'part.'
# Engine ids and start times follow a key after "=" and "@".
_PLAIN_ID = re.compile('[0-9A-Za-z_-]{1,32}')


def part_key(part_id: str) -> str:
    """Return the key of a prompt's part; callers choose the id.

    Examples
    ========
    >>> part_key('5c1e07a2')
    'part.5c1e07a2'
    >>> part_key('a=b@1')
    'part.x.3fda6b1f0d17e1ff'
    """
    if _PLAIN_ID.fullmatch(part_id):
        return PART_PREFIX + part_id
    return f'{PART_PREFIX}x.{xxhash.xxh3_64_hexdigest(part_id.encode())}'


def is_part(key: str) -> bool:
    """Return whether a key names a prompt's part rather than a content."""
    return key.startswith(PART_PREFIX)


def suspects_of(digest: str, shared_parts: Iterable[str]) -> tuple[str, ...]:
    """Return the keys of a request's content and of its shared parts.

    Examples
    ========
    >>> suspects_of('c0ffee', ('5c1e07a2', '91bd3f06'))
    ('c0ffee', 'part.5c1e07a2', 'part.91bd3f06')
    """
    return (digest, *map(part_key, shared_parts))
