"""The slots of a stand-in engine and the queue for them."""

import asyncio
import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(slots=True)
class Slots:
    """Hands out slots by priority, then in the order of arrival."""

    size: int
    running: int = 0
    waiting: list[tuple[int, int, asyncio.Event]] = field(
        default_factory=list,
    )
    _arrivals: Iterator[int] = field(default_factory=itertools.count)

    async def take(self, priority: int) -> None:
        """Wait for a slot."""
        if self.running < self.size:
            self.running += 1
            return
        turn = asyncio.Event()
        place = (-priority, next(self._arrivals), turn)
        heapq.heappush(self.waiting, place)
        try:
            await turn.wait()
        except asyncio.CancelledError:
            self._leave(place)
            raise

    def give(self) -> None:
        """Give a slot to whoever is next."""
        if self.waiting:
            _, _, turn = heapq.heappop(self.waiting)
            turn.set()
            return
        self.running -= 1

    def reset(self) -> None:
        """Let all that wait go on, into an engine that crashed."""
        self.running = 0
        for _, _, turn in self.waiting:
            turn.set()
        self.waiting.clear()

    def _leave(self, place: tuple[int, int, asyncio.Event]) -> None:
        if place in self.waiting:
            self.waiting.remove(place)
            heapq.heapify(self.waiting)
        else:
            self.give()
