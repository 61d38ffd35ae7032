"""How requests wait for a place, and when they are refused.

Explanation
===========
Answers a model whose places are all taken, and a group that is being
repaired. A request waits only as long as a place found still serves its
caller in time; a longer wait keeps it from coming back later or asking
elsewhere. Where no group of a model stands at all, nothing is waited for.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..errors import Ran, RudderError
from ..process.clock import Clock
from .in_flight import InFlightCounts
from .model import Target

# Part of the objective that a request may wait for a place.
PATIENCE_SHARE = 0.35
# A stream's caller leaves after two seconds without an event.
LONGEST_WAIT_S = 0.5
RETRY_AFTER_FULL_S = 0.7
RETRY_AFTER_NO_GROUP_S = 1.2
LOOK_INTERVAL_S = 0.02


class NoFreeSlot(RudderError):
    """No place was found in time; the request has not run."""

    code = 'no_place'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat the request after the time given'


Find = Callable[[], Target | None]
Rank = tuple[float, ...]


@dataclass(slots=True)
class Waiter:
    """A request that waits; ``rank`` orders it, the smallest first."""

    rank: Rank
    find: Find
    place: asyncio.Future[Target]


Entry = tuple[Rank, int, Waiter]


@dataclass(slots=True)
class WaitQueue:
    """Requests that wait for one service's model on this VM."""

    pool: str
    book: InFlightCounts
    clock: Clock
    _heap: list[Entry] = field(
        default_factory=list,
    )
    _arrivals: Iterator[int] = field(default_factory=itertools.count)
    _looking: asyncio.Task[None] | None = None

    async def acquire(
        self,
        find: Find,
        rank: Rank,
        max_wait_s: float,
    ) -> Target:
        """Return a target and count the request in there.

        Raises
        ======
        NoFreeSlot
            None was found in time.
        """
        if not self._heap:
            target = find()
            if target is not None:
                self.book.begin(target.engine_id)
                return target
        if max_wait_s <= 0:
            raise NoFreeSlot('no place is free', retry_after=RETRY_AFTER_FULL_S)
        return await self._wait(find, rank, max_wait_s)

    def release(self, target: Target) -> None:
        """Count a request out, and give its place to the next."""
        self.book.end(target.engine_id)
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Give free places to those who wait, the first in rank first."""
        blocked: list[Entry] = []
        while self._heap:
            entry = heapq.heappop(self._heap)
            waiter = entry[-1]
            if waiter.place.done():
                continue
            target = waiter.find()
            if target is None:
                blocked.append(entry)
                break
            self.book.begin(target.engine_id)
            waiter.place.set_result(target)
        for entry in blocked:
            heapq.heappush(self._heap, entry)

    async def _wait(
        self,
        find: Find,
        rank: Rank,
        max_wait_s: float,
    ) -> Target:
        place: asyncio.Future[Target] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = Waiter(rank, find, place)
        heapq.heappush(self._heap, (rank, next(self._arrivals), waiter))
        self.book.waiting_by_pool[self.pool] += 1
        self._keep_looking()
        try:
            # Unlike wait_for, this never swallows a cancellation.
            async with asyncio.timeout(max_wait_s):
                return await place
        except TimeoutError:
            if _is_granted(place):
                return place.result()
            raise NoFreeSlot(
                'all places are taken',
                retry_after=RETRY_AFTER_FULL_S,
            ) from None
        except asyncio.CancelledError:
            # The caller left; a place that was granted meanwhile is free.
            if _is_granted(place):
                self.book.end(place.result().engine_id)
            raise
        finally:
            self.book.waiting_by_pool[self.pool] -= 1
            place.cancel()

    def _keep_looking(self) -> None:
        if self._looking is None or self._looking.done():
            self._looking = asyncio.ensure_future(self._look_often())

    async def _look_often(self) -> None:
        # Places at other VMs' requests become free without a word to us.
        while self._heap:
            self.grant_free_slots()
            await asyncio.sleep(LOOK_INTERVAL_S)


def _is_granted(place: asyncio.Future[Target]) -> bool:
    return place.done() and not place.cancelled()


def max_wait_s(
    objective_s: float, waited_s: float, remaining_s: float
) -> float:
    """Return how long a request may still wait for a place.

    Examples
    ========
    >>> round(max_wait_s(0.4, waited_s=0.04, remaining_s=8), 3)
    0.1
    """
    useful = max(objective_s * PATIENCE_SHARE, LOOK_INTERVAL_S)
    return min(useful, LONGEST_WAIT_S, remaining_s) - waited_s
