"""Queue of requests that wait for a free slot.

Explanation
===========
Requests wait while all slots of a model are in use or a group is repaired. A
request waits only while a slot would still let it meet its latency objective.
A longer wait would keep the caller from retrying later or elsewhere.
While no group serves a model, requests are refused without waiting.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..errors import Ran, RudderError
from ..process.clock import Clock
from .membership import InFlightCounts
from .model import Target

# Share of the latency objective that a request may wait for a slot.
MAX_WAIT_SHARE = 0.35
# Callers disconnect after two seconds without an event of a stream.
WAIT_LIMIT_S = 0.5
RETRY_AFTER_FULL_S = 0.7
RETRY_AFTER_NO_GROUP_S = 1.2
POLL_INTERVAL_S = 0.02


class NoFreeSlot(RudderError):
    """No slot became free in time, and the request has not run."""

    code = 'no_place'
    status = 503
    ran = Ran.NO
    default_remedy = (
        'retry the request after the delay in Retry-After, if given'
    )


FindTarget = Callable[[], Target | None]
NoteSend = Callable[[Target], None]
Rank = tuple[float, ...]


# Returns why a waiting request is refused now, ``None`` if it goes on waiting.
Refuse = Callable[[], NoFreeSlot | None]


def _ignore(_target: Target) -> None:
    """Count nothing besides the request in flight."""


def keep_waiting() -> None:
    """Let a request wait for as long as it may."""


@dataclass(slots=True)
class Waiter:
    """A waiting request; requests with a smaller rank go first."""

    rank: Rank
    find: FindTarget
    granted: asyncio.Future[Target]
    refuse: Refuse = keep_waiting


QueueEntry = tuple[Rank, int, Waiter]


@dataclass(slots=True)
class WaitQueue:
    """Requests that wait on this VM for a slot of one pool.

    Parameters
    ==========
    note_send : Callable
        Counts a request for the limit of its target.
    """

    pool: str
    in_flight_counts: InFlightCounts
    clock: Clock
    note_send: NoteSend = _ignore
    _heap: list[QueueEntry] = field(
        default_factory=list,
    )
    _arrivals: Iterator[int] = field(default_factory=itertools.count)
    _poller: asyncio.Task[None] | None = None

    async def acquire(
        self,
        find: FindTarget,
        rank: Rank,
        max_wait_s: float,
        refuse: Refuse = keep_waiting,
    ) -> Target:
        """Return a target after counting the request as running there.

        Raises
        ======
        NoFreeSlot
            No slot became free within ``max_wait_s``, or the request was
            refused while it waited.
        """
        if not self._heap:
            target = find()
            if target is not None:
                self._begin(target)
                return target
        if max_wait_s <= 0:
            raise NoFreeSlot('no slot is free', retry_after=RETRY_AFTER_FULL_S)
        waiter = Waiter(
            rank, find, asyncio.get_running_loop().create_future(), refuse
        )
        return await self._wait(waiter, max_wait_s)

    def release(self, target: Target) -> None:
        """Release a request's slot and assign it to the next request."""
        self.in_flight_counts.end(target.engine_id)
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Assign free slots to waiting requests, smallest rank first."""
        blocked: list[QueueEntry] = []
        while self._heap:
            entry = heapq.heappop(self._heap)
            waiter = entry[-1]
            if waiter.granted.done():
                continue
            target = waiter.find()
            if target is None:
                blocked.append(entry)
                break
            self._begin(target)
            waiter.granted.set_result(target)
        for entry in blocked:
            heapq.heappush(self._heap, entry)

    def refuse_waiting(self) -> None:
        """Refuse the waiting requests that no target is left for."""
        for _, _, waiter in self._heap:
            error = None if waiter.granted.done() else waiter.refuse()
            if error is not None:
                waiter.granted.set_exception(error)

    def _begin(self, target: Target) -> None:
        self.in_flight_counts.begin(target.engine_id)
        self.note_send(target)

    async def _wait(self, waiter: Waiter, max_wait_s: float) -> Target:
        granted = waiter.granted
        heapq.heappush(self._heap, (waiter.rank, next(self._arrivals), waiter))
        self.in_flight_counts.begin_wait(self.pool)
        self._ensure_polling()
        try:
            # Unlike wait_for, this never suppresses a cancellation.
            async with asyncio.timeout(max_wait_s):
                return await granted
        except TimeoutError:
            if _is_granted(granted):
                return granted.result()
            raise NoFreeSlot(
                'all slots are in use',
                retry_after=RETRY_AFTER_FULL_S,
            ) from None
        except asyncio.CancelledError:
            # The caller disconnected; a slot granted meanwhile is released.
            if _is_granted(granted):
                self.in_flight_counts.end(granted.result().engine_id)
            raise
        finally:
            self.in_flight_counts.end_wait(self.pool)
            granted.cancel()

    def _ensure_polling(self) -> None:
        if self._poller is None or self._poller.done():
            self._poller = asyncio.ensure_future(self._poll_slots())

    async def _poll_slots(self) -> None:
        # No event reports that a request of another VM released a slot.
        while self._heap:
            self.grant_free_slots()
            await asyncio.sleep(POLL_INTERVAL_S)


def _is_granted(granted: asyncio.Future[Target]) -> bool:
    is_ended = granted.done() and not granted.cancelled()
    return is_ended and granted.exception() is None


def max_wait_s(
    objective_s: float, waited_s: float, remaining_s: float
) -> float:
    """Return how long a request may still wait for a slot, in seconds.

    Examples
    ========
    >>> round(max_wait_s(0.4, waited_s=0.04, remaining_s=8), 3)
    0.1
    """
    share_s = max(objective_s * MAX_WAIT_SHARE, POLL_INTERVAL_S)
    return min(share_s, WAIT_LIMIT_S, remaining_s) - waited_s
