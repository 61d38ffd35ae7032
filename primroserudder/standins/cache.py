"""The prefix cache of a stand-in engine, with its late and gappy events."""

import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..process.clock import Clock
from ..process.engines import CacheEvent
from ..request.blocks import BLOCK_WORDS, block_hashes

EVENT_MEMORY = 4096


@dataclass(slots=True)
class EventLog:
    """Events that are published with a lag; some are lost.

    Explanation
    ===========
    A lost event leaves a gap in the numbers.
    """

    clock: Clock
    lag_s: float
    loss: float
    rng: random.Random
    published: int = 0
    _events: deque[tuple[float, CacheEvent]] = field(
        default_factory=lambda: deque(maxlen=EVENT_MEMORY),
    )

    def add(self, stored: Sequence[str], evicted: Sequence[str]) -> None:
        """Note a change of the cache."""
        self.published += 1
        event = CacheEvent(self.published, stored, evicted)
        if self.rng.random() >= self.loss:
            self._events.append((self.clock.monotonic(), event))

    def after(self, number: int) -> Sequence[CacheEvent]:
        """Return what is published of the events after a number."""
        latest = self.clock.monotonic() - self.lag_s
        return [
            event
            for at, event in self._events
            if event.number > number and at <= latest
        ]


@dataclass(slots=True)
class PrefixCache:
    """Prompt blocks that an engine has cached, oldest first."""

    capacity: int
    events: EventLog
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def uncached_words(self, prompt: str) -> int:
        """Return how many words of a prompt must be prefilled; cache them."""
        words = prompt.split()
        names = block_hashes(words)
        hits = sum(
            1 for _ in itertools.takewhile(self.blocks.__contains__, names)
        )
        self._store(names)
        return len(words) - hits * BLOCK_WORDS

    def _store(self, names: Sequence[str]) -> None:
        stored = [name for name in names if name not in self.blocks]
        for name in names:
            self.blocks[name] = None
            self.blocks.move_to_end(name)
        surplus = max(0, len(self.blocks) - self.capacity)
        evicted = [self.blocks.popitem(last=False)[0] for _ in range(surplus)]
        if stored or evicted:
            self.events.add(stored, evicted)
