"""The limits that engines named, as far as this VM heard of them.

Explanation
===========
A limit holds until the engine answers without naming one. Routers tell each
other what they heard and how long ago; the newest word counts. An engine that
gets no requests says nothing, so a limit doesn't end by silence alone, except
after a long time.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ...process.clock import Clock
from ..membership import LimitNews

# An engine that takes nothing is asked this often whether that still holds.
MIN_LIMIT_PER_S = 0.1
# No router sends more than this to one engine.
MAX_LIMIT_PER_S = 100_000.0
# Limits that were not renewed for this long are forgotten.
LIMIT_MEMORY_S = 600.0
# For how long the others are told that a limit ended.
ENDED_MEMORY_S = 30.0
MILLI = 1000


@dataclass(frozen=True, slots=True)
class Limit:
    """What an engine said of its limit, and when.

    Explanation
    ===========
    ``rate_per_s`` is in requests a second, ``None`` if the engine named no
    limit; ``heard_at`` is a monotonic time in seconds.
    """

    rate_per_s: float | None
    heard_at: float


@dataclass(slots=True)
class LimitRegistry:
    """The newest word of each engine on its limit, by incarnation key."""

    clock: Clock
    _limit_by_key: dict[int, Limit] = field(default_factory=dict)

    def is_empty(self) -> bool:
        """Return whether no engine has named a limit lately."""
        return not self._limit_by_key

    def rate_per_s(self, key: int) -> float | None:
        """Return the limit of an engine, ``None`` if it has none."""
        limit = self._limit_by_key.get(key)
        return None if limit is None else limit.rate_per_s

    def rates_by_key(self) -> Mapping[int, float]:
        """Return all limits that hold, in requests a second."""
        return {
            key: limit.rate_per_s
            for key, limit in self._limit_by_key.items()
            if limit.rate_per_s is not None
        }

    def note(self, key: int, rate_per_s: float) -> None:
        """Record a limit that an engine named to this VM."""
        rate = min(max(rate_per_s, MIN_LIMIT_PER_S), MAX_LIMIT_PER_S)
        self._limit_by_key[key] = Limit(rate, self.clock.monotonic())

    def note_unlimited(self, key: int) -> None:
        """Record that an engine answered this VM without naming a limit."""
        if self.rate_per_s(key) is not None:
            self._limit_by_key[key] = Limit(None, self.clock.monotonic())

    def news(self) -> Mapping[int, LimitNews]:
        """Return what to tell the other VMs, and forget what is too old."""
        if not self._limit_by_key:
            return {}
        now = self.clock.monotonic()
        self._limit_by_key = {
            key: limit
            for key, limit in self._limit_by_key.items()
            if now - limit.heard_at < _memory_s(limit)
        }
        return {
            key: _news(limit, now) for key, limit in self._limit_by_key.items()
        }

    def merge(self, news_by_key: Mapping[int, LimitNews]) -> None:
        """Take over what another VM heard later than this one."""
        now = self.clock.monotonic()
        for key, news in news_by_key.items():
            heard_at = now - news.age_s
            known = self._limit_by_key.get(key)
            if known is not None and known.heard_at >= heard_at:
                continue
            limit = Limit(_rate_per_s(news), heard_at)
            if now - heard_at < _memory_s(limit):
                self._limit_by_key[key] = limit


def _memory_s(limit: Limit) -> float:
    return ENDED_MEMORY_S if limit.rate_per_s is None else LIMIT_MEMORY_S


def _news(limit: Limit, now: float) -> LimitNews:
    """Return a limit for a notice.

    Explanation
    ===========
    The age is rounded up, so that a word that went round is never taken for a
    newer one.
    """
    rate = limit.rate_per_s
    rate_milli = None if rate is None else round(rate * MILLI)
    return LimitNews(rate_milli, math.ceil(now - limit.heard_at))


def _rate_per_s(news: LimitNews) -> float | None:
    return None if news.rate_milli is None else news.rate_milli / MILLI
