"""Detects heads whose streams are all stalled.

Explanation
===========
If an engine is lost, all streams of its head stall at once, while the
platform's list shows the loss only seconds later. A head that reads long
prompts pauses too. Only a pause of all its streams therefore counts, and it
leads to a probe of the members, not directly to a loss.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from .attempt import StreamActivity
from .health import TargetHealth
from .membership import short_key
from .reachability import ReachabilityTracker

# About three times the interval between events of a group with a full batch.
SILENT_STREAM_S = 0.28
# The first event may have to wait until other prompts are read.
SILENT_START_S = 0.9

CHECK_INTERVAL_S = 0.1

ActivitiesByHead = Mapping[str, Mapping[int, StreamActivity]]


@dataclass(slots=True)
class SilentHeadDetector:
    """Finds silent heads, excludes them from new requests and probes them."""

    activities_by_head: ActivitiesByHead
    health: TargetHealth
    probe_groups_of: Callable[[Collection[int]], None]
    reachability: ReachabilityTracker

    async def run(self) -> None:
        """Check for silent heads until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            heads = silent_heads(self.activities_by_head, loop.time())
            self.health.silent_heads = set(heads)
            self.probe_groups_of(tuple(map(short_key, heads)))
            for head in heads:
                self.reachability.probe(f'head {head}', (head,))
            self._cut_unreachable_heads(heads)
            self.reachability.probe_unreachable()

    def _cut_unreachable_heads(self, heads: Collection[str]) -> None:
        """Cut the streams of silent heads that are unreachable from this VM."""
        unreachable = self.reachability.unanswered()
        engines = self.reachability.directory.engines_by_id
        for head in unreachable.intersection(heads):
            engine = engines.get(head)
            domain = '' if engine is None else engine.failure_domain
            self.health.note_unreachable_head(head, domain)


def silent_heads(
    activities_by_head: ActivitiesByHead,
    now: float,
) -> tuple[str, ...]:
    """Return the heads that have streams, all of which are stalled."""
    return tuple(
        head
        for head, activities in activities_by_head.items()
        if activities and _are_silent(activities.values(), now)
    )


def _are_silent(activities: Iterable[StreamActivity], now: float) -> bool:
    # An engine whose caller doesn't read is not read either.
    read = [
        activity for activity in activities if not _is_blocked(activity, now)
    ]
    return bool(read) and all(
        now - activity.active_at > _silence_limit_s(activity)
        for activity in read
    )


def _is_blocked(activity: StreamActivity, now: float) -> bool:
    """Return whether a stream waits for its caller; its engine may go on."""
    if activity.is_blocked():
        activity.active_at = now
        return True
    return False


def _silence_limit_s(activity: StreamActivity) -> float:
    return SILENT_STREAM_S if activity.events else SILENT_START_S
