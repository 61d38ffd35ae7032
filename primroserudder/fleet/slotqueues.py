"""The queues of requests that wait for slots, by pool and regions."""

from dataclasses import dataclass, field

from ..process.clock import Clock
from .call import Call
from .cost.calls import CallCosts
from .membership import InFlightCounts
from .model import Target
from .regions.rules import Regions
from .waitqueue import FindTarget, NoteSend, Refuse, WaitQueue, keep_waiting

QueueKey = tuple[str, Regions | None]


@dataclass(slots=True)
class _NotedFind:
    """Finds a target and counts the request's work there at once.

    Explanation
    ===========
    Several requests may get their slots before the tasks of the first ones go
    on, and each must see the work of those before it.
    """

    call: Call
    find: FindTarget
    costs: CallCosts
    _found: list[Target] = field(default_factory=list)

    def __call__(self) -> Target | None:
        """Return the target, which the request gets."""
        target = self.find()
        if target is not None:
            self.costs.begin(self.call, target)
            self._found.append(target)
        return target

    def undo(self) -> None:
        """Take the request's work back."""
        for target in self._found:
            self.costs.end(self.call, target)


@dataclass(slots=True)
class SlotQueues:
    """Gives slots of engines to requests, and takes them back."""

    in_flight_counts: InFlightCounts
    clock: Clock
    note_send: NoteSend
    costs: CallCosts
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
        noted_find = _NotedFind(call, find, self.costs)
        try:
            return await self._queue(call).acquire(
                noted_find, rank, max_wait_s, refuse
            )
        except BaseException:
            # A slot that was granted as the caller left is released by now.
            noted_find.undo()
            raise

    def waiting(self, call: Call) -> int:
        """Return how many requests of all VMs wait for a request's pool."""
        return self.in_flight_counts.waiting(call.pool)

    def release(self, call: Call, target: Target) -> None:
        """Release a request's slot and assign it to the next request."""
        self.costs.end(call, target)
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
