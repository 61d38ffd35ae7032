"""Request slots of a stand-in engine and their queue."""

import asyncio
import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(slots=True)
class Slots:
    """Grants slots by descending priority, then in order of arrival."""

    size: int
    running: int = 0
    waiting: list[tuple[int, int, asyncio.Event]] = field(
        default_factory=list,
    )
    _arrivals: Iterator[int] = field(default_factory=itertools.count)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot."""
        if self.running < self.size:
            self.running += 1
            return
        granted = asyncio.Event()
        entry = (-priority, next(self._arrivals), granted)
        heapq.heappush(self.waiting, entry)
        try:
            await granted.wait()
        except asyncio.CancelledError:
            self._withdraw(entry)
            raise

    def release(self) -> None:
        """Release a slot; the next waiter gets it."""
        if self.waiting:
            _, _, granted = heapq.heappop(self.waiting)
            granted.set()
            return
        self.running -= 1

    def reset(self) -> None:
        """Free all slots and wake all waiters, which then see the crash."""
        self.running = 0
        for _, _, granted in self.waiting:
            granted.set()
        self.waiting.clear()

    def _withdraw(self, entry: tuple[int, int, asyncio.Event]) -> None:
        if entry in self.waiting:
            self.waiting.remove(entry)
            heapq.heapify(self.waiting)
        else:
            self.release()
