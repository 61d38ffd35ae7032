"""Finds groups that are much slower than the others."""

import statistics
from collections.abc import Mapping
from dataclasses import dataclass, field

SMOOTHING = 0.3
EJECTION_FACTOR = 2.0
MIN_SAMPLES = 3
MIN_GROUPS = 3
MAX_EJECTED_SHARE = 0.2
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
MEDIAN_LIFETIME_S = 0.5


@dataclass(slots=True)
class Pace:
    """Seconds per generated token of one group."""

    seconds_per_token: float = 0
    samples: int = 0
    ejected_until: float = 0
    ejections: int = 0
    is_ejected: bool = False


@dataclass(slots=True)
class OutlierDetector:
    """Compares each group's pace with the median of all.

    Explanation
    ===========
    A group that is ``EJECTION_FACTOR`` times slower than the median is
    ejected for a time that doubles with each ejection; then requests probe it
    again. At most ``MAX_EJECTED_SHARE`` of the groups are ejected at once,
    and a fleet that is slow as a whole ejects nobody.
    """

    pace_by_group: dict[str, Pace] = field(default_factory=dict)
    _median: float = 0
    _median_at: float = float('-inf')

    def note(self, group_id: str, seconds_per_token: float, now: float) -> None:
        """Take over a measured pace."""
        pace = self.pace_by_group.setdefault(group_id, Pace())
        pace.samples += 1
        weight = SMOOTHING if pace.samples > 1 else 1
        pace.seconds_per_token += weight * (
            seconds_per_token - pace.seconds_per_token
        )
        self._judge(pace, now)

    def factor(self, group_id: str, now: float) -> float:
        """Return how many times slower than the median a group is."""
        pace = self.pace_by_group.get(group_id)
        median = self.median(now)
        if pace is None or not median:
            return 1
        return max(1, pace.seconds_per_token / median)

    def is_ejected(self, group_id: str, now: float) -> bool:
        """Return whether a group takes no requests for now."""
        pace = self.pace_by_group.get(group_id)
        return pace is not None and pace.is_ejected and now < pace.ejected_until

    def median(self, now: float) -> float:
        """Return the median pace, at most half a second old."""
        if now - self._median_at > MEDIAN_LIFETIME_S:
            self._median_at = now
            paces = [pace.seconds_per_token for pace in self._measured()]
            is_enough = len(paces) >= MIN_GROUPS
            self._median = statistics.median(paces) if is_enough else 0
        return self._median

    def forget(self, group_id: str) -> None:
        """Drop a group that is gone or whose engines started anew."""
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

    def _judge(self, pace: Pace, now: float) -> None:
        median = self.median(now)
        if not self._is_slow(pace, median):
            pace.is_ejected = False
            pace.ejections = 0
            return
        if now < pace.ejected_until or not self._may_eject(pace, now):
            return
        pace.ejections += 1
        pace.is_ejected = True
        pause = FIRST_EJECTION_S * 2 ** (pace.ejections - 1)
        pace.ejected_until = now + min(pause, LONGEST_EJECTION_S)
        # The next probe counts in full.
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
        allowed = int(MAX_EJECTED_SHARE * len(self.pace_by_group))
        return pace.ejected_until <= now and ejected < allowed

    def _measured(self) -> list[Pace]:
        return [pace for pace in self.pace_by_group.values() if pace.samples]
