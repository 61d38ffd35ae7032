"""Counts what a model of crashes shows, against the bounds of the users."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .crashrequests import CrashRequest

# The crash after which requests with the part must stop.
COUNTED_CRASHES = 5
# The time that news may take between the VMs, in seconds.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
MIN_BEGUN_RATIO = 0.5
# Fewer requests than this show no share.
MIN_REQUESTS = 20


@dataclass(frozen=True, slots=True)
class SoundEnding:
    """How the first sending of a sound request by its caller ended."""

    request: CrashRequest
    began: bool
    refused_at_s: float | None = None


@dataclass(slots=True)
class CrashOutcome:
    """Crashes, sends and refusals of a replay; all times in seconds.

    Parameters
    ==========
    sends_by_part : defaultdict
        When requests with a crashing part reached an engine.
    entries : int
        The most entries that the registry of a VM held.
    sent_bytes_per_s : float
        The most bytes of notices that a VM sent per second.
    """

    crashes_by_part: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    sends_by_part: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    crashing: list[CrashRequest] = field(default_factory=list)
    sound: list[SoundEnding] = field(default_factory=list)
    trouble_at_s: float = 0
    entries: int = 0
    sent_bytes_per_s: float = 0

    def crashes(self) -> int:
        """Return the most engines that ended under one part."""
        return max(map(len, self.crashes_by_part.values()), default=0)

    def late_sends(self) -> int:
        """Return the most sends of one part after the news had time."""
        return max(map(self._late_sends, self.sends_by_part), default=0)

    def last_send_s(self) -> float:
        """Return how long after the first crash a part reached an engine."""
        return max(
            (
                sends[-1] - self.crashes_by_part[part][0]
                for part, sends in self.sends_by_part.items()
                if self.crashes_by_part[part]
            ),
            default=0,
        )

    def refused(self) -> list[SoundEnding]:
        """Return the sound requests that were refused as quarantined."""
        return [
            ending for ending in self.sound if ending.refused_at_s is not None
        ]

    def affected(self) -> list[SoundEnding]:
        """Return sound requests beside a crashing part.

        Explanation
        ===========
        They share the first part or the workspace of a crashing request;
        without one, all are meant.
        """
        if not self.crashing:
            return self.sound
        firsts = {request.parts[0] for request in self.crashing}
        workspaces = {request.workspace for request in self.crashing}
        return [
            ending
            for ending in self.sound
            if ending.request.parts[0] in firsts
            or ending.request.workspace in workspaces
        ]

    def last_refusal_s(self) -> float:
        """Return how long after the first trouble a sound one was refused."""
        times = [
            ending.refused_at_s
            for ending in self.refused()
            if ending.refused_at_s is not None
        ]
        return max(times, default=self.trouble_at_s) - self.trouble_at_s

    def begun_ratio(self, since_s: float | None = None) -> float:
        """Return the least ratio of begun shares, after to before.

        Explanation
        ===========
        The share of affected sound requests that begin at their first
        sending, for each first part, each workspace and all, from a time on,
        or from twice the time for the news.
        """
        since = self._settled_at_s() if since_s is None else since_s
        until = max(
            (request.at_s for request in self.crashing), default=float('inf')
        )
        endings_by_group: defaultdict[str, list[SoundEnding]] = defaultdict(
            list
        )
        for ending in self.affected():
            request = ending.request
            for name in ('', request.workspace, request.parts[0]):
                endings_by_group[name].append(ending)
        return min(
            (
                _ratio(endings, self.trouble_at_s, since, until)
                for endings in endings_by_group.values()
            ),
            default=1,
        )

    def _settled_at_s(self) -> float:
        counted = [
            crashes[:COUNTED_CRASHES][-1]
            for crashes in self.crashes_by_part.values()
        ]
        return max(counted, default=self.trouble_at_s) + 2 * CONTACT_S

    def _late_sends(self, part: str) -> int:
        crashes = self.crashes_by_part[part]
        if len(crashes) < COUNTED_CRASHES:
            return 0
        since = crashes[COUNTED_CRASHES - 1] + CONTACT_S
        return sum(sent_at > since for sent_at in self.sends_by_part[part])


def _ratio(
    endings: Iterable[SoundEnding], before: float, since: float, until: float
) -> float:
    earlier = [each for each in endings if each.request.at_s < before]
    later = [each for each in endings if since < each.request.at_s < until]
    if min(len(earlier), len(later)) < MIN_REQUESTS:
        return 1
    share_before = sum(each.began for each in earlier) / len(earlier)
    if not share_before:
        return 1
    return sum(each.began for each in later) / len(later) / share_before
