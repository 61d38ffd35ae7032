"""Reads the load patterns that are replayed."""

import pathlib
from collections.abc import Mapping

from pydantic import TypeAdapter

from .arrivals import LoadPattern

PATTERNS_FILE = pathlib.Path(__file__).with_name('patterns.json')


def read_patterns() -> Mapping[str, LoadPattern]:
    """Return the load patterns by name.

    Examples
    ========
    >>> sorted(read_patterns())[-4:]
    ['burst', 'calm', 'losses', 'over capacity']
    """
    adapter = TypeAdapter(tuple[LoadPattern, ...])
    patterns = adapter.validate_json(PATTERNS_FILE.read_bytes())
    return {pattern.name: pattern for pattern in patterns}
