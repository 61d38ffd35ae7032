"""What an engine says of itself in the header fields of a response."""

import math
from dataclasses import dataclass
from http import HTTPStatus

from multidict import CIMultiDictProxy

from . import names


@dataclass(frozen=True, slots=True)
class EngineSignals:
    """What an engine says of itself in the header fields of a response.

    Explanation
    ===========
    ``retry_after`` is the text of a refusal's field of that name, empty if
    there is none; ``retry_after_s`` is its value in seconds, ``None`` if the
    field is missing or malformed. ``limit`` is the text of the field that
    names a limit, ``None`` if there is none; ``limit_per_s`` is its value in
    requests a second, ``None`` if the field is missing or malformed.
    ``is_unlimited`` is true if a response that the engine sealed names none.
    """

    is_leaving: bool = False
    retry_after: str = ''
    retry_after_s: float | None = None
    limit: str | None = None
    limit_per_s: float | None = None
    is_unlimited: bool = False

    def __bool__(self) -> bool:
        """Return whether the engine says anything."""
        speaks_of_limit = self.is_unlimited or self.limit is not None
        return self.is_leaving or bool(self.retry_after) or speaks_of_limit


def engine_signals(
    status: int, headers: CIMultiDictProxy[str], engine_id: str
) -> EngineSignals:
    """Return what the engine with an id says in a response.

    Explanation
    ===========
    A response that names another instance says nothing of this engine.
    """
    if headers.get(names.INSTANCE, engine_id) != engine_id:
        return EngineSignals()
    text = ''
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        text = headers.get(names.RETRY_AFTER, '')
    limit = headers.get(names.LIMIT)
    return EngineSignals(
        headers.get(names.LEAVING) == '1',
        text,
        _number(text),
        limit,
        None if limit is None else _number(limit),
        limit is None and names.SEAL in headers,
    )


def _number(text: str) -> float | None:
    """Return a number that is not negative, ``None`` if it is malformed.

    Examples
    ========
    >>> _number('1.5'), _number('-1'), _number('1e999'), _number('soon')
    (1.5, None, None, None)
    """
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
