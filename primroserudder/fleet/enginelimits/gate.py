"""Decides whether a request may be sent to an engine that named a limit.

Explanation
===========
Each VM knows what it sent itself and what the others reported as sent, which
is a fraction of a second old. Where many VMs look for a place at one engine,
all of them would take the next one before they hear of each other. Each look
therefore succeeds with a chance such that all looks in the time that a notice
takes get, on average, what is left of the limit.

VMs that can't hear each other must not use the whole limit twice. A VM that
hears only a part of the VMs it heard before keeps to that part of the limit.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ...process.clock import Clock
from ..membership import InFlightCounts
from ..model import Target
from .incarnation import incarnation_key
from .looks import LooksLately
from .registry import LimitRegistry
from .window import Quota, SentLately

# A notice reaches all VMs of a small site within about this time, and those of
# a large one within the longest.
MIN_NOTICE_DELAY_S = 0.05
NOTICE_DELAY_PER_VM_S = 0.01
MAX_NOTICE_DELAY_S = 0.3
# Requests that other VMs send, on average, before they hear of the last one.
OVERLAP = 0.5
# VMs that were not heard for this long don't count any more.
SITE_SIZE_MEMORY_S = 300.0


@dataclass(slots=True)
class LimitGate:
    """Keeps all VMs together to the limits that engines named.

    Parameters
    ==========
    known_vms : Callable
        Returns how many VMs the site has at most, including this one.
    """

    registry: LimitRegistry
    counts: InFlightCounts
    clock: Clock
    known_vms: Callable[[], int]
    rng: random.Random = field(default_factory=random.Random)
    _sent: SentLately = field(default_factory=SentLately)
    _looks: LooksLately = field(default_factory=LooksLately)
    _most_vms: int = 1
    _most_vms_at: float = float('-inf')

    def may_send(self, target: Target) -> bool:
        """Return whether a request may be sent to a target now."""
        if self.registry.is_empty():
            return True
        key = incarnation_key(target)
        quota = self._quota(key)
        if quota is None:
            return True
        now = self.clock.monotonic()
        self._looks.note(key, now)
        left = self._left(key, quota)
        if left < 1:
            return False
        chance = left - OVERLAP
        return self.rng.random() * self._competing_looks(key, now) < chance

    def note_send(self, target: Target) -> None:
        """Count a request that is sent to a target."""
        if self.registry.is_empty():
            return
        key = incarnation_key(target)
        if self.registry.rate_per_s(key) is not None:
            self._sent.note(key, self.clock.monotonic())

    def wait_s(self, targets: Iterable[Target], waiting: int) -> float:
        """Return how long a request waits for a limit, in seconds.

        Parameters
        ==========
        waiting : int
            How many requests wait for the same targets already.

        Explanation
        ===========
        It doesn't wait while a target has no limit or is below it.
        """
        total_per_s = float(0)
        for target in targets:
            key = incarnation_key(target)
            quota = self._quota(key)
            if quota is None or self._left(key, quota) >= 1:
                return 0
            total_per_s += quota.requests / quota.window_s
        return (waiting + 1) / total_per_s if total_per_s else 0

    def sent_by_key(self) -> dict[int, int]:
        """Return what this VM sent within the windows, for notices."""
        if self.registry.is_empty():
            return {}
        now = self.clock.monotonic()
        since_by_key = {
            key: now - quota.window_s
            for key in self.registry.rates_by_key()
            if (quota := self._quota(key)) is not None
        }
        return self._sent.counts(since_by_key)

    def looks_by_key(self) -> dict[int, int]:
        """Return how often this VM looked for a place lately, for notices."""
        if self.registry.is_empty():
            return {}
        limited = self.registry.rates_by_key()
        return self._looks.counts(limited, self.clock.monotonic())

    def dump(self) -> Mapping[str, Mapping[str, float]]:
        """Return limits and requests sent within their windows, by key."""
        own = self.sent_by_key()
        return {
            str(key): {
                'requests_per_s': rate,
                'sent_here': own.get(key, 0),
                'sent_elsewhere': self.counts.others_sent.get(key, 0),
            }
            for key, rate in self.registry.rates_by_key().items()
        }

    def _quota(self, key: int) -> Quota | None:
        rate = self.registry.rate_per_s(key)
        return None if rate is None else Quota.of(rate * self._heard_share())

    def _left(self, key: int, quota: Quota) -> int:
        since = self.clock.monotonic() - quota.window_s
        others = self.counts.others_sent.get(key, 0)
        return quota.requests - self._sent.count(key, since) - others

    def _competing_looks(self, key: int, now: float) -> float:
        """Return the looks of all VMs in the time that a notice takes."""
        others_looks = self.counts.others_looks.get(key, 0)
        if not others_looks:
            return 0
        delay_s = min(
            MIN_NOTICE_DELAY_S + NOTICE_DELAY_PER_VM_S * self.counts.others_vms,
            MAX_NOTICE_DELAY_S,
        )
        return (others_looks + self._looks.count(key, now)) * delay_s

    def _heard_share(self) -> float:
        """Return the share of the site's VMs that hear of each other."""
        now = self.clock.monotonic()
        heard = self.counts.others_vms + 1
        is_outdated = now - self._most_vms_at > SITE_SIZE_MEMORY_S
        if heard >= self._most_vms or is_outdated:
            self._most_vms = heard
            self._most_vms_at = now
        return min(1.0, heard / min(self._most_vms, self.known_vms()))
