"""Decides after each attempt whether to retry."""

import enum
from dataclasses import dataclass

from .model import Route


class Ending(enum.StrEnum):
    """How an attempt ended, as observed by the VM that made it."""

    # A complete successful response was received.
    DELIVERED = 'delivered'
    # No connection was made, so that the request reached no engine.
    NOT_SENT = 'not sent'
    # The engine confirmed that it ran nothing.
    NOT_RUN = 'not run'
    # The engine returned an error response.
    FAILED = 'failed'
    # No complete response arrived, and the caller received no event.
    UNKNOWN = 'unknown'
    # A stream broke off after the caller had received events.
    CUT = 'cut'


NEVER_RUN = frozenset((Ending.NOT_SENT, Ending.NOT_RUN))


class Step(enum.StrEnum):
    """Next step after an attempt."""

    FINISH = 'finish'
    RETRY = 'repeat'
    REFUSE = 'refuse'
    GIVE_UP = 'give up'
    FORWARD_FAILURE = 'pass failure on'


# Attempts that did not run don't count against the route's maximum, so this
# limits the total of both kinds.
MAX_TRIES = 4
# The list shows engines for some seconds after their end. Connections that they
# refuse are no tries; this keeps a request from going through all of them.
MAX_REFUSED_CONNECTIONS = 12
MIN_RETRY_TIME_S = 0.05


@dataclass(slots=True)
class RetryState:
    """Attempts made so far for one request.

    Explanation
    ===========
    ``tries`` counts the attempts that reached an engine, ``runs`` the engines
    on which the request may have run, ``refused_connections`` the attempts that
    reached none. The running attempt may run on ``granted`` engines.
    ``is_retry_reserved`` is true while the retry budget holds a retry that is
    not sent yet, ``retry_sent_at`` is the time at which the last one was, and
    ``is_denial_noted`` is true once the log has a retry that it denied.
    """

    route: Route
    tries: int = 0
    runs: int = 0
    refused_connections: int = 0
    granted: int = 1
    is_retry_reserved: bool = False
    retry_sent_at: float | None = None
    is_denial_noted: bool = False

    def grant(self, *, is_router: bool) -> None:
        """Decide on how many engines the next attempt may run.

        Explanation
        ===========
        Another router may try several. It gets all that are left but one, with
        which the request can go on if that router is lost.
        """
        self.granted = max(1, self.attempts_left - 1) if is_router else 1

    def record(self, ending: Ending, runs: int | None = None) -> None:
        """Count an attempt that ended.

        Parameters
        ==========
        runs : int or None
            On how many engines it may have run, ``None`` if no answer says so.
        """
        if ending is Ending.NOT_SENT:
            self.refused_connections += 1
            return
        self.tries += 1
        if ending is not Ending.NOT_RUN:
            self.runs += self.granted if runs is None else runs

    @property
    def next_number(self) -> int:
        """Return the number of the request's next attempt."""
        return self.tries + self.refused_connections + 1

    @property
    def attempts_left(self) -> int:
        """Return on how many engines the request may still run."""
        return max(1, self.route.max_attempts - self.runs)

    def next_step(self, ending: Ending, remaining_s: float) -> Step:
        """Return the next step after the attempt recorded last.

        Parameters
        ==========
        remaining_s : float
            Seconds until the request's deadline.
        """
        if ending is Ending.DELIVERED:
            return Step.FINISH
        if self._may_retry(ending, remaining_s):
            return Step.RETRY
        if ending is Ending.FAILED:
            return Step.FORWARD_FAILURE
        if ending in NEVER_RUN and not self.runs:
            return Step.REFUSE
        return Step.GIVE_UP

    def may_leave_attempt(self, remaining_s: float) -> bool:
        """Return whether a retry is allowed if the running attempt is ended."""
        return (
            remaining_s >= MIN_RETRY_TIME_S
            and self.tries + 1 < MAX_TRIES
            and self._may_run_again(self.runs + self.granted)
        )

    def _may_retry(self, ending: Ending, remaining_s: float) -> bool:
        if remaining_s < MIN_RETRY_TIME_S:
            return False
        if ending is Ending.NOT_SENT:
            return self.refused_connections < MAX_REFUSED_CONNECTIONS
        if self.tries >= MAX_TRIES:
            return False
        return ending is Ending.NOT_RUN or self._may_run_again(self.runs)

    def _may_run_again(self, runs: int) -> bool:
        return self.route.may_repeat and runs < self.route.max_attempts
