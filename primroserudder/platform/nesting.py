"""Depth of the rows that other writers leave in the store."""

import itertools
from collections.abc import Iterable

# No row of a router, an engine or an operator is nested so deeply. Comparing
# and encoding nested values recurs, and fails beyond some hundred levels.
MAX_LEVELS = 32


def is_too_deep(payload: object) -> bool:
    """Return whether lists and objects are nested beyond ``MAX_LEVELS``.

    Examples
    ========
    >>> is_too_deep({'one': [{'two': 3}]})
    False
    """
    level = [payload]
    for _ in range(MAX_LEVELS):
        level = list(itertools.chain.from_iterable(map(_contained, level)))
        if not level:
            return False
    return True


def _contained(payload: object) -> Iterable[object]:
    if isinstance(payload, dict):
        return payload.values()
    return payload if isinstance(payload, list) else ()
