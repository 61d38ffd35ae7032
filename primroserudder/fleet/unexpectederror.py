"""What callers and logs are told of an error that no code expects."""

import pathlib
import traceback
from collections.abc import Mapping

from ..errors import RudderError

# Calls that the log line names, the innermost last.
CAUSE_FRAMES = 4


class UnexpectedError(RudderError):
    """An error that no code expects ended a request."""

    code = 'unexpected_error'
    status = 500
    default_remedy = 'check whether the request took effect, and report its id'

    def __init__(self, cause: BaseException) -> None:
        """Store the error that ended the request."""
        super().__init__('an unexpected error ended the request')
        self.__cause__ = cause


def cause_fields(error: RudderError) -> Mapping[str, str]:
    """Return what a log line tells of an unexpected error.

    Explanation
    ===========
    It names the type of the error and where it was raised. The text of the
    error may hold parts of a request and is left out.
    """
    if not isinstance(error, UnexpectedError) or error.__cause__ is None:
        return {}
    frames = traceback.extract_tb(error.__cause__.__traceback__)
    places = [_place(frame) for frame in frames[-CAUSE_FRAMES:]]
    return {
        'cause': type(error.__cause__).__name__,
        'raised_at': ' '.join(places),
    }


def _place(frame: traceback.FrameSummary) -> str:
    name = pathlib.Path(frame.filename).name
    return f'{name}:{frame.lineno}'
