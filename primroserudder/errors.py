"""Base classes of the errors that all subpackages share."""

import enum
from typing import ClassVar


class Ran(enum.StrEnum):
    """Whether an upstream ran a request, at least in part."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


class RudderError(Exception):
    """Base class of all errors that callers and operators can see.

    Explanation
    ===========
    ``code`` is a stable identifier for programs; the message and the remedy
    are for people. ``status`` is the HTTP status of the response.

    Parameters
    ==========
    message : str
        The condition: the expected and the actual value.
    remedy : str
        How to resolve the error; if empty, the default of the class.
    retry_after : float or None
        Seconds to wait before a retry.

    Examples
    ========
    >>> error = RudderError('the queue is full', remedy='ask again later')
    >>> error.code, error.status, str(error)
    ('internal_error', 500, 'the queue is full')
    """

    code: ClassVar[str] = 'internal_error'
    status: ClassVar[int] = 500
    ran: Ran = Ran.UNKNOWN
    default_remedy: ClassVar[str] = 'report this with the request id'

    def __init__(
        self,
        message: str,
        *,
        remedy: str = '',
        retry_after: float | None = None,
    ) -> None:
        """Store the message, the remedy and the delay before a retry."""
        super().__init__(message)
        self.remedy = remedy or self.default_remedy
        self.retry_after = retry_after


class InvariantViolation(RudderError):
    """An internal invariant of the program does not hold."""

    code = 'invariant_violation'
    default_remedy = 'the action was stopped; report the state dump'
