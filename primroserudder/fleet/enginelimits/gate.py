"""Decides whether a request may be sent to an engine that has a limit.

Explanation
===========
Each VM knows what it sent itself and what the others reported as sent, which
is a fraction of a second old. Where many VMs look for a place at one engine,
all of them would take the next one before they hear of each other. Each look
therefore succeeds with a chance such that all looks in the time that a notice
takes get, on average, what is left of the limit.

VMs that can't hear each other must not use the whole limit twice. A VM that
hears only a part of the VMs it heard before keeps to that part of the limit.

``coldlimit`` decides the same for engines that are cold.
"""

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ...process.clock import Clock
from ..membership import InFlightCounts
from ..model import Target
from .coldlimit import ColdLimit
from .incarnation import incarnation_key
from .looks import LooksLately
from .registry import LimitRegistry
from .sitesize import SiteSize
from .window import Quota, SentLately

# A notice reaches all VMs of a small site within about this time, and those of
# a large one within the longest.
MIN_NOTICE_DELAY_S = 0.05
NOTICE_DELAY_PER_VM_S = 0.01
MAX_NOTICE_DELAY_S = 0.3
# Requests that other VMs send, on average, before they hear of the last one.
OVERLAP = 0.5


@dataclass(slots=True)
class LimitGate:
    """Keeps all VMs together to the limits of engines.

    Parameters
    ==========
    cold : ColdLimit
        Limits of engines that are cold.
    """

    registry: LimitRegistry
    counts: InFlightCounts
    clock: Clock
    site_size: SiteSize
    cold: ColdLimit
    rng: random.Random = field(default_factory=random.Random)
    _sent: SentLately = field(default_factory=SentLately)
    _looks: LooksLately = field(default_factory=LooksLately)

    def has_limits(self) -> bool:
        """Return whether an engine may have a limit now."""
        return not self.registry.is_empty() or self.cold.engines.has_spells()

    def may_send(self, target: Target) -> bool:
        """Return whether a request may be sent to a target now."""
        if not target.cold_per_s:
            return self._may_send_named(target)
        return self._may_send_named(target) and self.cold.may_send(target)

    def note_send(self, target: Target) -> None:
        """Count a request that is sent to a target."""
        self.cold.note_send(target)
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
        longest_s = float('inf')
        for target in targets:
            named_per_s = self._full_limit_per_s(target)
            cold_per_s, cold_s = self.cold.full_limit(target)
            rate_per_s = min(named_per_s, cold_per_s)
            if math.isinf(rate_per_s):
                return 0
            total_per_s += rate_per_s
            if math.isinf(named_per_s):
                longest_s = min(longest_s, cold_s)
        if not total_per_s:
            return 0
        return min((waiting + 1) / total_per_s, longest_s)

    def sent_by_key(self) -> dict[int, int]:
        """Return what this VM sent within the windows, for notices."""
        cold = self.cold.sent_by_key()
        if self.registry.is_empty():
            return cold
        now = self.clock.monotonic()
        since_by_key = {
            key: now - quota.window_s
            for key in self.registry.rates_by_key()
            if (quota := self._quota(key)) is not None
        }
        return {**self._sent.counts(since_by_key), **cold}

    def looks_by_key(self) -> dict[int, int]:
        """Return how often this VM looked for a place lately, for notices."""
        cold = self.cold.looks_by_key()
        if self.registry.is_empty():
            return cold
        limited = self.registry.rates_by_key()
        named = self._looks.counts(limited, self.clock.monotonic())
        return {**named, **cold}

    def dump(self) -> Mapping[str, Mapping[str, float]]:
        """Return named limits and what was sent in their windows, by key."""
        own = self.sent_by_key()
        return {
            str(key): {
                'requests_per_s': rate,
                'sent_here': own.get(key, 0),
                'sent_elsewhere': self.counts.others_sent.get(key, 0),
            }
            for key, rate in self.registry.rates_by_key().items()
        }

    def _may_send_named(self, target: Target) -> bool:
        """Return whether the limit that a target named leaves room."""
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

    def _full_limit_per_s(self, target: Target) -> float:
        """Return the limit that a target named, infinite if it has room."""
        key = incarnation_key(target)
        quota = self._quota(key)
        if quota is None or self._left(key, quota) >= 1:
            return math.inf
        return quota.requests / quota.window_s

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
        return self.site_size.heard_share()
