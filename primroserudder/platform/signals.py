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
    field is missing or malformed.
    """

    is_leaving: bool = False
    retry_after: str = ''
    retry_after_s: float | None = None

    def __bool__(self) -> bool:
        """Return whether the engine says anything."""
        return self.is_leaving or bool(self.retry_after)


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
    return EngineSignals(
        headers.get(names.LEAVING) == '1', text, _seconds(text)
    )


def _seconds(text: str) -> float | None:
    """Return a time in seconds, ``None`` if it is malformed.

    Examples
    ========
    >>> _seconds('1.5'), _seconds('-1'), _seconds('1e999'), _seconds('soon')
    (1.5, None, None, None)
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None
