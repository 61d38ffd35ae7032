"""Finds heads whose streams all stand still.

Explanation
===========
Answers an engine that goes dark: its head's streams stop at once, while the
platform's list shows the loss seconds later. A head that reads long prompts
pauses too, so that only a pause of all its streams counts, and it leads to a
question to the members, not to a verdict.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from .attempt import StreamActivity
from .health import TargetHealth
from .reachability import ReachabilityTracker

# Some three times the pause between events of a group whose batch is full.
SILENT_STREAM_S = 0.28
# A first event may wait for other prompts to be read.
SILENT_START_S = 0.9

LOOK_INTERVAL_S = 0.1

Watches = Mapping[str, Mapping[int, StreamActivity]]


@dataclass(slots=True)
class SilentHeadDetector:
    """Looks for silent heads, keeps them from new work and asks after them."""

    watches_by_head: Watches
    health: TargetHealth
    probe_groups_of: Callable[[Collection[str]], None]
    reachability: ReachabilityTracker

    async def run(self) -> None:
        """Look until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LOOK_INTERVAL_S)
            heads = silent_heads(self.watches_by_head, loop.time())
            self.health.silent_heads = set(heads)
            self.probe_groups_of(heads)
            for head in heads:
                self.reachability.probe(f'head {head}', (head,))
            self._give_up(heads)

    def _give_up(self, heads: Collection[str]) -> None:
        """End the streams of silent heads that give this VM no answer."""
        unreachable = self.reachability.unreachable()
        engines = self.reachability.directory.engines_by_id
        for head in unreachable.intersection(heads):
            engine = engines.get(head)
            domain = '' if engine is None else engine.failure_domain
            self.health.note_unreachable_head(head, domain)


def silent_heads(
    watches_by_head: Watches,
    now: float,
) -> tuple[str, ...]:
    """Return the engines with streams none of which moved lately."""
    return tuple(
        head
        for head, watches in watches_by_head.items()
        if watches and _are_silent(watches.values(), now)
    )


def _are_silent(watches: Iterable[StreamActivity], now: float) -> bool:
    return all(now - watch.active_at > _allowed_s(watch) for watch in watches)


def _allowed_s(watch: StreamActivity) -> float:
    return SILENT_STREAM_S if watch.events else SILENT_START_S
