"""What VMs of a replay know of each other's requests, some time later."""

import random
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..fleet.membership import InFlightCounts

SNAPSHOT_INTERVAL_S = 0.05

Counts = Mapping[int, int]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Sums over all VMs, and each VM's own part of them."""

    totals: tuple[Counter[int], Counter[int], Counter[int]]
    own: Sequence[tuple[Counts, Counts, Counts]]


@dataclass(slots=True)
class LateNews:
    """Gives each VM the others' counts of a time of its own ago."""

    counts: Sequence[InFlightCounts]
    news_s: tuple[float, float]
    rng: random.Random
    _snapshots: deque[Snapshot] = field(default_factory=deque)
    _lags: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Draw how late each VM hears of the others."""
        self._lags = [
            round(self.rng.uniform(*self.news_s) / SNAPSHOT_INTERVAL_S)
            for _ in self.counts
        ]
        self._snapshots = deque(maxlen=max(self._lags) + 1)

    def share(self) -> None:
        """Take a snapshot, and let each VM know the one that it hears now."""
        self._snapshots.append(self._snapshot())
        newest = len(self._snapshots) - 1
        for number, vm in enumerate(self.counts):
            heard = self._snapshots[max(0, newest - self._lags[number])]
            others = [
                _without(total, own)
                for total, own in zip(
                    heard.totals, heard.own[number], strict=True
                )
            ]
            vm.others_running = others[0]
            vm.others_reading = others[1]
            vm.others_held = others[2]
            vm.others_vms = len(self.counts) - 1

    def _snapshot(self) -> Snapshot:
        own = [
            (vm.own_running(), vm.own_reading(), vm.own_held())
            for vm in self.counts
        ]
        totals: tuple[Counter[int], Counter[int], Counter[int]] = (
            Counter(),
            Counter(),
            Counter(),
        )
        for parts in own:
            for total, part in zip(totals, parts, strict=True):
                total.update(part)
        return Snapshot(totals, own)


def _without(total: Counter[int], own: Counts) -> dict[int, int]:
    return {
        key: left
        for key, count in total.items()
        if (left := count - own.get(key, 0))
    }
