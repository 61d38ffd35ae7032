"""A site whose VMs retry requests that fail, in virtual time."""

import bisect
import heapq
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..fleet.retrybudget import RetryBudget, RetryLimit

RATIO = 0.2
EXTRA = 268
WINDOW_S = 10
# Retries that a request may have.
MAX_RETRIES = 2


@dataclass(slots=True)
class RetryVM:
    """One process of a VM, and the retries that it will send."""

    budget: RetryBudget
    send_times: list[float] = field(default_factory=list)


@dataclass(slots=True)
class RetrySite:
    """VMs that retry failed requests as long as their budgets allow it.

    Explanation
    ===========
    ``request_times`` and ``retry_times`` are those of all VMs, in order. VMs
    that were added are known to all once ``added_at`` is ``lag_s`` ago.
    """

    vms: list[RetryVM]
    rng: random.Random
    now: float = 0
    request_times: list[float] = field(default_factory=list)
    retry_times: list[float] = field(default_factory=list)
    lag_s: float = 0
    added_at: float = 0
    vms_before: int = 0

    def run(
        self,
        duration_s: float,
        *,
        requests_per_s: float,
        to: Sequence[int] | None = None,
        is_failing: bool = True,
        wait_s: float = 0,
    ) -> None:
        """Serve requests for a time.

        Parameters
        ==========
        to : sequence of int, optional
            Numbers of the VMs that receive the requests, all by default.
        is_failing : bool
            Whether requests fail and are retried.
        wait_s : float
            How long retries wait until they are sent, in seconds.
        """
        end = self.now + duration_s
        receivers = to or range(len(self.vms))
        while requests_per_s and self.now < end:
            vm = self.vms[self.rng.choice(receivers)]
            vm.budget.record_request(self.now)
            self.request_times.append(self.now)
            if is_failing:
                self._retry(vm, wait_s)
            self._send_waiting()
            self.now += self.rng.expovariate(requests_per_s)
        self.now = end
        self._send_waiting()

    def kill(self, number: int) -> None:
        """Replace a process by a new one, which knows nothing of it."""
        self.vms[number] = self._started()

    def add(self, vms: int, lag_s: float) -> None:
        """Add VMs, of which the others hear ``lag_s`` seconds later."""
        self.vms_before = self.known_vms()
        self.added_at = self.now
        self.lag_s = lag_s
        self.vms.extend(self._started() for _ in range(vms))

    def known_vms(self) -> int:
        """Return how many VMs each VM knows of."""
        if self.now - self.added_at < self.lag_s:
            return self.vms_before
        return len(self.vms)

    def kill_all(self) -> None:
        """Replace all processes at one moment."""
        for number, _ in enumerate(self.vms):
            self.kill(number)

    def retry_count(self) -> int:
        """Return how many retries were sent so far."""
        return len(self.retry_times)

    def worst_excess(self) -> float:
        """Return by how much the retries of a window exceed its limit."""
        return max(map(self._excess, self.retry_times), default=-EXTRA)

    def _retry(self, vm: RetryVM, wait_s: float) -> None:
        for _ in range(MAX_RETRIES):
            if vm.budget.try_reserve(self.now, self.known_vms()):
                heapq.heappush(vm.send_times, self.now + wait_s)

    def _send_waiting(self) -> None:
        for vm in self.vms:
            while vm.send_times and vm.send_times[0] <= self.now:
                heapq.heappop(vm.send_times)
                if vm.budget.try_spend(self.now, self.known_vms()):
                    self.retry_times.append(self.now)

    def _started(self) -> RetryVM:
        limit = RetryLimit(RATIO, EXTRA, WINDOW_S, self.now + WINDOW_S)
        return RetryVM(RetryBudget(limit))

    def _excess(self, start: float) -> float:
        requests = max(
            _count(self.request_times, earlier, earlier + WINDOW_S)
            for earlier in (start, start - WINDOW_S / 2, start - WINDOW_S)
        )
        retries = _count(self.retry_times, start, start + WINDOW_S)
        return retries - RATIO * requests - EXTRA


def _count(times: Sequence[float], start: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)


def retry_site(vms: int, seed: int = 0) -> RetrySite:
    """Return a site whose processes have just started."""
    limit = RetryLimit(RATIO, EXTRA, WINDOW_S)
    return RetrySite(
        [RetryVM(RetryBudget(limit)) for _ in range(vms)], random.Random(seed)
    )
