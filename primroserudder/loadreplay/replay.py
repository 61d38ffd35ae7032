"""One replay: VMs that decide, groups that work, callers that ask."""

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial

from ..fleet.balancing import choose_target
from ..fleet.in_flight import InFlightCounts, PeerLoad
from ..fleet.model import Target
from ..fleet.waitqueue import NoFreeSlot, WaitQueue
from ..process.clock import LoopClock
from .arrivals import Arrival, LoadPattern
from .batching import BatchingGroup, Run
from .outcome import Ended, Outcome, Served
from .policies import CALLER_PATIENCE_S, WaitingPolicy

NOTICE_INTERVAL_S = 0.04
DEADLINE_S = 6.0
FAILURE_DOMAINS = 3
# After the last arrival what has begun comes to its end.
SETTLING_S = 8.0
POOL = 'model'


@dataclass(slots=True)
class ReplayedVm:
    """One VM's view of the load, and those who wait there."""

    failure_domain: str
    book: InFlightCounts
    room: WaitQueue


@dataclass(slots=True)
class Replay:
    """Plays arrivals against a policy, on a loop in virtual time."""

    pattern: LoadPattern
    policy: WaitingPolicy
    vms: list[ReplayedVm] = field(default_factory=list)
    groups: dict[str, BatchingGroup] = field(default_factory=dict)
    targets: list[Target] = field(default_factory=list)
    ended: list[Ended] = field(default_factory=list)

    async def play(self, arrivals: Sequence[Arrival]) -> Outcome:
        """Play all arrivals, and return what their callers got."""
        self._build()
        beside = [
            asyncio.ensure_future(self._tell()),
            *(
                asyncio.ensure_future(one.work())
                for one in self.groups.values()
            ),
            *(asyncio.ensure_future(self._lose(at)) for at in self._losses()),
        ]
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        calls = []
        for arrival in arrivals:
            await asyncio.sleep(began_at + arrival.at_s - loop.time())
            calls.append(asyncio.ensure_future(self._call(arrival)))
        await asyncio.sleep(SETTLING_S)
        for task in (*beside, *calls):
            task.cancel()
        await asyncio.gather(*beside, *calls, return_exceptions=True)
        return Outcome(self.ended)

    def _build(self) -> None:
        clock = LoopClock()
        for number in range(self.pattern.vms):
            book = InFlightCounts(clock)
            room = WaitQueue(POOL, book, clock)
            self.vms.append(ReplayedVm(_domain(number), book, room))
        for number in range(self.pattern.groups):
            name = f'group-{number}'
            slots = self.pattern.slots
            self.groups[name] = BatchingGroup(slots)
            self.targets.append(
                Target(name, '127.0.0.1:1', _domain(number), slots, name)
            )

    def _losses(self) -> Sequence[tuple[str, float]]:
        names = tuple(self.groups)
        return [
            (names[number % len(names)], at)
            for number, at in enumerate(self.pattern.losses)
        ]

    async def _tell(self) -> None:
        """Let each VM know what the others run, a moment late."""
        clock = LoopClock()
        while True:
            now = clock.monotonic()
            loads = [
                PeerLoad(
                    dict(vm.book.running_by_engine), vm.book.waiting_now(), now
                )
                for vm in self.vms
            ]
            for position, vm in enumerate(self.vms):
                vm.book.loads_by_peer = {
                    str(other): load
                    for other, load in enumerate(loads)
                    if other != position
                }
            await asyncio.sleep(NOTICE_INTERVAL_S)

    async def _lose(self, loss: tuple[str, float]) -> None:
        name, at_s = loss
        await asyncio.sleep(at_s)
        group = self.groups[name]
        group.stop()
        await asyncio.sleep(self.pattern.repair_s)
        group.is_open = True

    async def _call(self, arrival: Arrival) -> None:
        """Ask, and once more after a refusal, as callers do."""
        loop = asyncio.get_running_loop()
        first_at = loop.time()
        served, held_s = await self._ask(arrival, first_at)
        if served is Served.REFUSED:
            left_s = DEADLINE_S - (loop.time() - first_at)
            await asyncio.sleep(min(self.policy.retry_after_s, left_s / 3))
            served, held_s = await self._ask(arrival, first_at)
        self.ended.append(
            Ended(served, arrival.answer_tokens, arrival.workspace, held_s)
        )

    async def _ask(
        self,
        arrival: Arrival,
        first_at: float,
    ) -> tuple[Served, float]:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        vm = self.vms[arrival.vm]
        patience_s = self.policy.patience_s(
            self.pattern.objective_s,
            0,
            DEADLINE_S - (asked_at - first_at),
        )
        find = partial(self._find, vm)
        try:
            target = await vm.room.acquire(find, (0,), patience_s)
        except NoFreeSlot:
            return Served.REFUSED, loop.time() - asked_at
        with contextlib.ExitStack() as stack:
            stack.callback(vm.room.release, target)
            return await self._serve(arrival, target, first_at), 0

    def _find(self, vm: ReplayedVm) -> Target | None:
        open_targets = [
            target
            for target in self.targets
            if self.groups[target.engine_id].is_open
        ]
        return choose_target(open_targets, vm.book.running, vm.failure_domain)

    async def _serve(
        self,
        arrival: Arrival,
        target: Target,
        first_at: float,
    ) -> Served:
        group = self.groups[target.engine_id]
        run = group.submit(arrival.prompt_tokens, arrival.answer_tokens)
        if run is None:
            return Served.REFUSED
        try:
            await self._wait_for_event(run)
        except TimeoutError:
            group.drop(run)
            return Served.LEFT
        first_event_s = asyncio.get_running_loop().time() - first_at
        while not run.is_over():
            await self._wait_for_event(run)
        if run.is_lost:
            return Served.LOST
        is_late = first_event_s > self.pattern.objective_s
        return Served.LATE if is_late else Served.IN_TIME

    async def _wait_for_event(self, run: Run) -> None:
        run.moved.clear()
        if run.is_over():
            return
        async with asyncio.timeout(CALLER_PATIENCE_S):
            await run.moved.wait()


def _domain(number: int) -> str:
    domain = number % FAILURE_DOMAINS
    return f'fd-{domain}'
