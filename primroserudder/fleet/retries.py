"""Decides after each attempt whether to retry, and limits retries."""

import enum
from collections import deque
from dataclasses import dataclass, field

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
# The rest of the extra retries is left for processes that start anew, since
# they don't know what their predecessors spent in the same window.
EXTRA_SHARE = 0.5


@dataclass(slots=True)
class RetryState:
    """Attempts made so far for one request.

    Explanation
    ===========
    ``tries`` counts the attempts that reached an engine, ``runs`` only those
    that may have run, ``refused_connections`` those that reached none.
    ``is_retry_paid`` is true while the retry budget was charged for a retry
    that has not begun yet.
    """

    route: Route
    tries: int = 0
    runs: int = 0
    refused_connections: int = 0
    is_retry_paid: bool = False

    def record(self, ending: Ending) -> None:
        """Count an attempt that ended."""
        if ending is Ending.NOT_SENT:
            self.refused_connections += 1
            return
        self.tries += 1
        if ending is not Ending.NOT_RUN:
            self.runs += 1

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
            and self._may_run_again(self.runs + 1)
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


@dataclass(slots=True)
class RetryBudget:
    """This VM's share of the site-wide retry budget of one service.

    Explanation
    ===========
    In each window the site may send ``ratio`` retries per request, and
    ``extra`` retries in addition. Each VM may use the ratio of its own
    requests and an equal part of half of ``extra``, so that the sum stays
    within the limit when VMs join or leave, or all restart once. Requests
    that are refused count as well.

    Examples
    ========
    >>> budget = RetryBudget(ratio=0.2, extra=4, window_s=10)
    >>> [budget.try_spend(0, vms=2) for _ in range(2)]
    [True, False]
    """

    ratio: float
    extra: float
    window_s: float
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count a caller's request at the time ``now``, in seconds."""
        self._requests.append(now)
        self._drop_expired(now)

    def try_spend(self, now: float, vms: int) -> bool:
        """Return whether a retry is allowed now, and count it if it is."""
        self._drop_expired(now)
        own_extra = EXTRA_SHARE * self.extra / max(vms, 1)
        allowed = self.ratio * len(self._requests) + own_extra
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()


@dataclass(slots=True)
class RetryBudgets:
    """Retry budgets by service, all with the same limits."""

    ratio: float
    extra: float
    window_s: float
    _by_service: dict[str, RetryBudget] = field(default_factory=dict)

    def for_service(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = RetryBudget(self.ratio, self.extra, self.window_s)
            self._by_service[service] = budget
        return budget
