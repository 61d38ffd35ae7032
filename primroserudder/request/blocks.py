"""Hashes of prompt blocks, equal to those in engines' cache events."""

from collections.abc import Sequence

import xxhash

BLOCK_WORDS = 16


def block_hashes(words: Sequence[str]) -> Sequence[str]:
    """Return a hash of each full prompt block together with its prefix.

    Examples
    ========
    >>> short, long = ['kiln'] * 16, ['kiln'] * 40
    >>> [len(block_hashes(words)) for words in (short, long)]
    [1, 2]
    >>> block_hashes(long)[0] == block_hashes(short)[0]
    True
    """
    digest = xxhash.xxh3_64()
    names = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = words[start : start + BLOCK_WORDS]
        digest.update('\0'.join(block).encode())
        names.append(digest.hexdigest())
    return names
