"""Prefix cache of a stand-in engine, with delayed and lost events."""

import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..process.clock import Clock
from ..process.engines import CacheEvent
from ..request.blocks import BLOCK_WORDS, block_hashes

MAX_EVENTS = 4096


@dataclass(slots=True)
class EventLog:
    """Cache events, published with a delay; some are lost.

    Explanation
    ===========
    A lost event leaves a gap in the event numbers. The lag is in seconds;
    the loss is the probability that an event is lost.
    """

    clock: Clock
    lag_s: float
    loss: float
    rng: random.Random
    published: int = 0
    _events: deque[tuple[float, CacheEvent]] = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS),
    )

    def add(self, stored: Sequence[str], evicted: Sequence[str]) -> None:
        """Record a change of the cache."""
        self.published += 1
        event = CacheEvent(self.published, stored, evicted)
        if self.rng.random() >= self.loss:
            self._events.append((self.clock.monotonic(), event))

    def after(self, number: int) -> Sequence[CacheEvent]:
        """Return the published events that follow an event number."""
        latest = self.clock.monotonic() - self.lag_s
        return [
            event
            for at, event in self._events
            if event.number > number and at <= latest
        ]


@dataclass(slots=True)
class PrefixCache:
    """Prompt blocks in an engine's cache, least recently used first."""

    capacity: int
    events: EventLog
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def uncached_words(self, prompt: str) -> int:
        """Cache a prompt; return how many of its words were not cached."""
        words = prompt.split()
        hashes = block_hashes(words)
        hits = sum(
            1 for _ in itertools.takewhile(self.blocks.__contains__, hashes)
        )
        self._store(hashes)
        return len(words) - hits * BLOCK_WORDS

    def _store(self, hashes: Sequence[str]) -> None:
        stored = [
            block_hash for block_hash in hashes if block_hash not in self.blocks
        ]
        for block_hash in hashes:
            self.blocks[block_hash] = None
            self.blocks.move_to_end(block_hash)
        surplus = max(0, len(self.blocks) - self.capacity)
        evicted = [self.blocks.popitem(last=False)[0] for _ in range(surplus)]
        if stored or evicted:
            self.events.add(stored, evicted)
