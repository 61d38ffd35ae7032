"""Typed errors with codes, shared by all parts of the system."""

import enum
from typing import ClassVar


class Ran(enum.StrEnum):
    """Whether a request may have had an effect at an upstream."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


class RudderError(Exception):
    """Base of all errors that callers and operators can see.

    Explanation
    ===========
    ``code`` is stable and meant for programs; the message is for people and
    names the remedy. ``status`` is the HTTP status of the answer.

    Parameters
    ==========
    message : str
        What was expected and what was found.
    remedy : str
        What the reader can do about it; empty takes the class's remedy.
    retry_after : float or None
        Seconds after which a repeat is useful.

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
        """Keep the message, the remedy and the time to come back."""
        super().__init__(message)
        self.remedy = remedy or self.default_remedy
        self.retry_after = retry_after


class InvariantViolation(RudderError):
    """An invariant asserted inside the program does not hold."""

    code = 'invariant_violation'
    default_remedy = 'the action was stopped; report the state dump'
