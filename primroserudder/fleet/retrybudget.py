"""Limits the retries that all VMs send to a service.

Explanation
===========
The limit holds for the sum over all VMs in any window, and it follows the
requests of that window, or those of the window half a window before. VMs start
and end, and callers move between them, so a VM knows neither what its
predecessor sent nor what the other VMs send. What each VM keeps to therefore
adds up whatever happens: its retries in any window are at most the ratio of the
mean of its own requests in those two windows. A process that has just started
has received no requests, and may retry none of its predecessor's.
"""

import itertools
from collections import Counter
from dataclasses import dataclass, field

# Part of the extra retries that the VMs divide. The rest is for retries that
# reach an engine in a later window than they were sent in.
EXTRA_SHARE = 0.75
# Times are kept by slots; more slots waste less of the limit.
SLOTS_PER_WINDOW = 40
HALF_WINDOW = SLOTS_PER_WINDOW // 2


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """The site's limit of retries in a window, for each service.

    Parameters
    ==========
    ratio : float
        Retries per request.
    extra : float
        Retries in addition to those.
    window_s : float
        Length of the window in seconds.
    extra_from : float
        Time in seconds from which this process has a part of the extra
        retries: a predecessor may have sent as many until it ended.
    """

    ratio: float
    extra: float
    window_s: float
    extra_from: float = float('-inf')

    def slot(self, now: float) -> int:
        """Return the number of the slot that a time lies in."""
        return int(now * SLOTS_PER_WINDOW / self.window_s)

    def own_extra(self, now: float, vms: int) -> float:
        """Return this VM's part of the extra retries."""
        if now < self.extra_from:
            return 0
        return EXTRA_SHARE * self.extra / max(vms, 1)


@dataclass(frozen=True, slots=True)
class BudgetState:
    """The requests and retries of this VM in the present window.

    Explanation
    ===========
    ``reserved`` are retries that were granted and are not sent yet.
    """

    requests: int
    retries: int
    reserved: int


@dataclass(slots=True)
class RetryBudget:
    """This VM's part of the site-wide retry budget of one service.

    Explanation
    ===========
    A retry is reserved when it is decided on and spent when it is sent, which
    may be seconds later. Retries that an engine refuses count as well.

    Examples
    ========
    >>> budget = RetryBudget(RetryLimit(ratio=0.2, extra=8, window_s=10))
    >>> [budget.try_reserve(20, vms=2) for _ in range(4)]
    [True, True, True, False]
    """

    limit: RetryLimit
    _requests: Counter[int] = field(default_factory=Counter)
    _retries: Counter[int] = field(default_factory=Counter)
    _reserved: int = 0

    def record_request(self, now: float) -> None:
        """Count a caller's request at the time ``now``, in seconds."""
        _add(self._requests, self.limit.slot(now))

    def try_reserve(self, now: float, vms: int) -> bool:
        """Return whether a retry is allowed now, and reserve it if it is."""
        if not self._has_room(now, vms, self._reserved + 1):
            return False
        self._reserved += 1
        return True

    def try_spend(self, now: float, vms: int) -> bool:
        """Return whether a reserved retry may be sent, and count it if so.

        Explanation
        ===========
        The requests that allowed it may have been too long ago by now. The
        reservation ends either way.
        """
        self.release()
        if not self._has_room(now, vms, 1):
            return False
        _add(self._retries, self.limit.slot(now))
        return True

    def release(self) -> None:
        """End a reservation."""
        self._reserved -= 1

    def reclaim(self, sent_at: float) -> None:
        """Reserve a retry again that was sent and reached no engine."""
        self._retries[self.limit.slot(sent_at)] -= 1
        self._reserved += 1

    def state(self, now: float) -> BudgetState:
        """Return what decisions rest on now."""
        present = self.limit.slot(now)
        window = range(present - SLOTS_PER_WINDOW, present + 1)
        return BudgetState(
            sum(self._requests.get(slot, 0) for slot in window),
            sum(self._retries.get(slot, 0) for slot in window),
            self._reserved,
        )

    def _has_room(self, now: float, vms: int, added: int) -> bool:
        """Return whether retries fit into all windows that contain now.

        Explanation
        ===========
        Windows may begin anywhere in a slot: the slots that a window cuts
        count with their retries, and without their requests.
        """
        present = self.limit.slot(now)
        first = present - SLOTS_PER_WINDOW
        requests = _RunningSums(self._requests, first - HALF_WINDOW, present)
        retries = _RunningSums(self._retries, first, present)
        room = self.limit.own_extra(now, vms) - added
        return all(
            retries.total(start, present)
            <= room + self.limit.ratio * _mean_requests(requests, start)
            for start in range(first, present + 1)
        )


class _RunningSums:
    """Sums of counts over any of the slots from ``first`` to ``last``."""

    def __init__(self, counts: Counter[int], first: int, last: int) -> None:
        self._first = first
        self._last = last
        in_order = (counts.get(slot, 0) for slot in range(first, last + 1))
        self._sums = tuple(itertools.accumulate(in_order, initial=0))

    def total(self, start: int, end: int) -> int:
        """Return the sum from a slot to another, both included."""
        until = min(end, self._last) - self._first + 1
        begin = start - self._first
        return self._sums[until] - self._sums[min(begin, until)]


def _mean_requests(requests: _RunningSums, start: int) -> float:
    """Return the mean of a window's requests and of those half one before."""
    in_window = requests.total(start + 1, start + SLOTS_PER_WINDOW - 1)
    before = requests.total(start - HALF_WINDOW + 1, start + HALF_WINDOW - 1)
    return (in_window + before) / 2


def _add(counts: Counter[int], slot: int) -> None:
    """Count one more in a slot, and drop the slots that are too old."""
    if slot not in counts:
        oldest = slot - SLOTS_PER_WINDOW - HALF_WINDOW
        recent = {at: count for at, count in counts.items() if at >= oldest}
        counts.clear()
        counts.update(recent)
    counts[slot] += 1


@dataclass(slots=True)
class RetryBudgets:
    """Retry budgets by service, all with the same limit."""

    limit: RetryLimit
    _by_service: dict[str, RetryBudget] = field(default_factory=dict)

    def for_service(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = RetryBudget(self.limit)
            self._by_service[service] = budget
        return budget
