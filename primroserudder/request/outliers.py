"""Detects and ejects groups that are much slower than the others."""

import statistics
from collections.abc import Mapping
from dataclasses import dataclass, field

SMOOTHING = 0.3
EJECTION_FACTOR = 2.0
MIN_SAMPLES = 3
MIN_GROUPS = 3
MAX_EJECTED_SHARE = 0.2
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
MEDIAN_LIFETIME_S = 0.5


@dataclass(slots=True)
class Pace:
    """Smoothed time per generated token of one group, and its ejections."""

    seconds_per_token: float = 0
    samples: int = 0
    ejected_until: float = 0
    ejections: int = 0
    is_ejected: bool = False


@dataclass(slots=True)
class OutlierDetector:
    """Compares each group's time per token with the median of all groups.

    Explanation
    ===========
    A group that takes more than ``EJECTION_FACTOR`` times the median is
    ejected. The ejection time doubles with each consecutive
    ejection, up to ``MAX_EJECTION_S``. Afterwards the group receives requests
    again, and the next measurement decides whether it is ejected once more.
    At most ``MAX_EJECTED_SHARE`` of the groups are ejected at once. If the
    whole fleet is slow, the median is slow too and no group is ejected.
    """

    pace_by_group: dict[str, Pace] = field(default_factory=dict)
    _median: float = 0
    _median_at: float = float('-inf')

    def note(self, group_id: str, seconds_per_token: float, now: float) -> None:
        """Record a measured time per generated token in seconds."""
        pace = self.pace_by_group.setdefault(group_id, Pace())
        pace.samples += 1
        weight = SMOOTHING if pace.samples > 1 else 1
        pace.seconds_per_token += weight * (
            seconds_per_token - pace.seconds_per_token
        )
        self._update_ejection(pace, now)

    def slowdown_factor(self, group_id: str, now: float) -> float:
        """Return how many times slower than the median a group is, or 1."""
        pace = self.pace_by_group.get(group_id)
        median = self.median(now)
        if pace is None or not median:
            return 1
        return max(1, pace.seconds_per_token / median)

    def is_ejected(self, group_id: str, now: float) -> bool:
        """Return whether a group is currently ejected."""
        pace = self.pace_by_group.get(group_id)
        return pace is not None and pace.is_ejected and now < pace.ejected_until

    def median(self, now: float) -> float:
        """Return the median time per token in seconds, or 0 if unknown.

        Explanation
        ===========
        The value is cached for ``MEDIAN_LIFETIME_S``. It is unknown with
        measurements of fewer than ``MIN_GROUPS`` groups.
        """
        if now - self._median_at > MEDIAN_LIFETIME_S:
            self._median_at = now
            paces = [pace.seconds_per_token for pace in self._measured()]
            has_enough_groups = len(paces) >= MIN_GROUPS
            self._median = statistics.median(paces) if has_enough_groups else 0
        return self._median

    def forget(self, group_id: str) -> None:
        """Drop a group that was removed or whose engines were restarted."""
        self.pace_by_group.pop(group_id, None)

    def dump(self, now: float) -> Mapping[str, object]:
        """Return the median and the slow groups for the state dump."""
        median = self.median(now)
        return {
            'median_s_per_token': median,
            'slow_by_group': {
                group_id: {
                    's_per_token': round(pace.seconds_per_token, 5),
                    'ejected': self.is_ejected(group_id, now),
                    'ejections': pace.ejections,
                }
                for group_id, pace in self.pace_by_group.items()
                if pace.is_ejected or self._is_slow(pace, median)
            },
        }

    def _update_ejection(self, pace: Pace, now: float) -> None:
        median = self.median(now)
        if not self._is_slow(pace, median):
            pace.is_ejected = False
            pace.ejections = 0
            return
        if now < pace.ejected_until or not self._may_eject(pace, now):
            return
        pace.ejections += 1
        pace.is_ejected = True
        duration = FIRST_EJECTION_S * 2 ** (pace.ejections - 1)
        pace.ejected_until = now + min(duration, MAX_EJECTION_S)
        # One measurement after the ejection is enough to eject it again.
        pace.samples = MIN_SAMPLES - 1

    def _is_slow(self, pace: Pace, median: float) -> bool:
        if not median or pace.samples < MIN_SAMPLES:
            return False
        return pace.seconds_per_token > EJECTION_FACTOR * median

    def _may_eject(self, pace: Pace, now: float) -> bool:
        ejected = sum(
            1
            for other in self.pace_by_group.values()
            if other.is_ejected and now < other.ejected_until
        )
        max_ejected = int(MAX_EJECTED_SHARE * len(self.pace_by_group))
        return pace.ejected_until <= now and ejected < max_ejected

    def _measured(self) -> list[Pace]:
        return [pace for pace in self.pace_by_group.values() if pace.samples]
