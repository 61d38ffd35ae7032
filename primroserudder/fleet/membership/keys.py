"""Short keys that stand for names in notices."""

import functools

import xxhash

MAX_CACHED_KEYS = 16_384


@functools.lru_cache(maxsize=MAX_CACHED_KEYS)
def short_key(name: str) -> int:
    """Return a 32-bit key of a name, equal on all VMs.

    Explanation
    ===========
    Two names with the same key are counted together. With a thousand groups
    that is one pair in ten thousand sites.

    Examples
    ========
    >>> short_key('i-7') == short_key('i-7'), short_key('i-7') < 2 ** 32
    (True, True)
    """
    return xxhash.xxh32_intdigest(name.encode())
