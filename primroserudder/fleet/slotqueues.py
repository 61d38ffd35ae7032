"""The queues of requests that wait for slots, by pool and regions."""

from dataclasses import dataclass, field

from ..process.clock import Clock
from .call import Call
from .membership import InFlightCounts
from .model import Target
from .regions.rules import Regions
from .waitqueue import FindTarget, NoteSend, Refuse, WaitQueue, keep_waiting

QueueKey = tuple[str, Regions | None]


@dataclass(slots=True)
class SlotQueues:
    """Gives slots of engines to requests, and takes them back."""

    in_flight_counts: InFlightCounts
    clock: Clock
    note_send: NoteSend
    queues_by_pool: dict[QueueKey, WaitQueue] = field(default_factory=dict)

    async def acquire(
        self,
        call: Call,
        find: FindTarget,
        max_wait_s: float,
        refuse: Refuse = keep_waiting,
    ) -> Target:
        """Return a target with a slot for a request.

        Explanation
        ===========
        Requests that may have run go first.

        Raises
        ======
        NoFreeSlot
            No slot became free within ``max_wait_s``.
        """
        has_run = call.retry_state.runs or call.is_leaving_attempt
        rank = (0 if has_run else 1, float(call.destination.priority))
        return await self._queue(call).acquire(find, rank, max_wait_s, refuse)

    def waiting(self, call: Call) -> int:
        """Return how many requests of all VMs wait for a request's pool."""
        return self.in_flight_counts.waiting(call.pool)

    def release(self, call: Call, target: Target) -> None:
        """Release a request's slot and assign it to the next request."""
        self._queue(call).release(target)

    def release_reserved(self, call: Call) -> None:
        """Release the slot that a request reserved and did not use."""
        target = call.take_reserved_target()
        if target is not None:
            self.release(call, target)

    def grant_free_slots(self) -> None:
        """Assign free slots to waiting requests, in all pools."""
        for queue in self.queues_by_pool.values():
            queue.grant_free_slots()

    def refuse_waiting(self) -> None:
        """Refuse the waiting requests that no target is left for."""
        for queue in self.queues_by_pool.values():
            queue.refuse_waiting()

    def _queue(self, call: Call) -> WaitQueue:
        """Return the queue of a request's pool and regions.

        Explanation
        ===========
        In one queue, a request whose regions have no free slot would hold up
        those behind it that may go elsewhere.
        """
        key = call.pool, call.regions
        queue = self.queues_by_pool.get(key)
        if queue is None:
            queue = WaitQueue(
                call.pool, self.in_flight_counts, self.clock, self.note_send
            )
            self.queues_by_pool[key] = queue
        return queue
