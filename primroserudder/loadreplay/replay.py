"""Replays arrivals through VMs, groups and callers."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial

from ..fleet.balancing import split_pool
from ..fleet.membership import InFlightCounts, short_key
from ..fleet.model import Target
from ..fleet.waitqueue import NoFreeSlot, WaitQueue
from ..process.clock import LoopClock
from .arrivals import Arrival, LoadPattern
from .batching import BatchingGroup, Run
from .choosers import CHOOSERS, Chooser, MakeChooser
from .outcome import EndedRequest, Ending, Outcome
from .policies import CALLER_IDLE_TIMEOUT_S, WaitingPolicy

DEADLINE_S = 6.0
# Time for running requests to end after the last arrival.
SETTLING_S = 8.0
POOL = 'model'


@dataclass(slots=True)
class ReplayedVm:
    """One VM's in-flight counts and wait queue."""

    failure_domain: str
    in_flight: InFlightCounts
    wait_queue: WaitQueue
    chooser: Chooser


@dataclass(slots=True)
class Replay:
    """Replays arrivals against a policy, on an event loop in virtual time."""

    pattern: LoadPattern
    policy: WaitingPolicy
    make_chooser: MakeChooser = CHOOSERS['router']
    vms: list[ReplayedVm] = field(default_factory=list)
    groups: dict[str, BatchingGroup] = field(default_factory=dict)
    targets: list[Target] = field(default_factory=list)
    ended_requests: list[EndedRequest] = field(default_factory=list)

    async def play(self, arrivals: Sequence[Arrival]) -> Outcome:
        """Replay all arrivals, and return how they ended for their callers."""
        self._build()
        background_tasks = [
            asyncio.ensure_future(self._share_loads()),
            *(
                asyncio.ensure_future(group.run())
                for group in self.groups.values()
            ),
            *(
                asyncio.ensure_future(self._stop_group(loss))
                for loss in self._losses()
            ),
        ]
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        request_tasks = []
        for arrival in arrivals:
            await asyncio.sleep(began_at + arrival.at_s - loop.time())
            request_tasks.append(
                asyncio.ensure_future(self._send_with_retry(arrival))
            )
        await asyncio.sleep(SETTLING_S)
        for task in (*background_tasks, *request_tasks):
            task.cancel()
        await asyncio.gather(
            *background_tasks, *request_tasks, return_exceptions=True
        )
        return Outcome(self.ended_requests)

    def _build(self) -> None:
        clock = LoopClock()
        for number in range(self.pattern.vms):
            in_flight = InFlightCounts()
            wait_queue = WaitQueue(POOL, in_flight, clock)
            self.vms.append(
                ReplayedVm(
                    self._failure_domain(number),
                    in_flight,
                    wait_queue,
                    self.make_chooser(in_flight.running, f'vm-{number}'),
                )
            )
        for number in range(self.pattern.groups):
            name = f'group-{number}'
            slots = self.pattern.slots
            self.groups[name] = BatchingGroup(slots, sends_early=True)
            self.targets.append(
                Target(
                    name,
                    '127.0.0.1:1',
                    self._failure_domain(number),
                    slots,
                    name,
                )
            )

    def _losses(self) -> Sequence[tuple[str, float]]:
        names = tuple(self.groups)
        return [
            (names[number % len(names)], at)
            for number, at in enumerate(self.pattern.losses)
        ]

    async def _share_loads(self) -> None:
        """Let all VMs know the sums of all loads, at an interval."""
        while True:
            totals: Counter[str] = Counter()
            for sharing in self.vms:
                totals.update(sharing.in_flight.running_by_engine)
            for vm in self.vms:
                own = vm.in_flight.running_by_engine
                vm.in_flight.others_running = {
                    short_key(engine_id): count - own[engine_id]
                    for engine_id, count in totals.items()
                }
            await asyncio.sleep(self.pattern.sharing_s)

    async def _stop_group(self, loss: tuple[str, float]) -> None:
        name, at_s = loss
        await asyncio.sleep(at_s)
        group = self.groups[name]
        group.stop()
        await asyncio.sleep(self.pattern.repair_s)
        group.is_open = True

    async def _send_with_retry(self, arrival: Arrival) -> None:
        """Send a request, and retry it once after a refusal."""
        loop = asyncio.get_running_loop()
        first_sent_at = loop.time()
        ending, waited_s = await self._send_once(arrival, first_sent_at)
        if ending is Ending.REFUSED:
            left_s = DEADLINE_S - (loop.time() - first_sent_at)
            await asyncio.sleep(min(self.policy.retry_after_s, left_s / 3))
            ending, waited_s = await self._send_once(arrival, first_sent_at)
        self.ended_requests.append(
            EndedRequest(
                ending, arrival.answer_tokens, arrival.workspace, waited_s
            )
        )

    async def _send_once(
        self,
        arrival: Arrival,
        first_sent_at: float,
    ) -> tuple[Ending, float]:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        vm = self.vms[arrival.vm]
        wait_limit_s = self.policy.wait_limit_s(
            self.pattern.objective_s,
            0,
            DEADLINE_S - (sent_at - first_sent_at),
        )
        find = partial(self._find_target, vm)
        try:
            target = await vm.wait_queue.acquire(find, (0,), wait_limit_s)
        except NoFreeSlot:
            return Ending.REFUSED, loop.time() - sent_at
        with contextlib.ExitStack() as stack:
            stack.callback(vm.wait_queue.release, target)
            return await self._serve(arrival, target, first_sent_at), 0

    def _find_target(self, vm: ReplayedVm) -> Target | None:
        pool = split_pool(self.targets, vm.failure_domain)
        return vm.chooser.choose(
            pool, lambda target: self.groups[target.engine_id].is_open
        )

    async def _serve(
        self,
        arrival: Arrival,
        target: Target,
        first_sent_at: float,
    ) -> Ending:
        group = self.groups[target.engine_id]
        run = group.submit(arrival.prompt_tokens, arrival.answer_tokens)
        if run is None:
            return Ending.REFUSED
        try:
            await self._wait_for_event(run)
        except TimeoutError:
            group.drop(run)
            return Ending.LEFT
        first_event_s = asyncio.get_running_loop().time() - first_sent_at
        while not run.is_over():
            await self._wait_for_event(run)
        if run.is_lost:
            return Ending.LOST
        is_late = first_event_s > self.pattern.objective_s
        return Ending.LATE if is_late else Ending.IN_TIME

    def _failure_domain(self, number: int) -> str:
        domain = number % self.pattern.failure_domains
        return f'fd-{domain}'

    async def _wait_for_event(self, run: Run) -> None:
        run.progressed.clear()
        if run.is_over():
            return
        async with asyncio.timeout(CALLER_IDLE_TIMEOUT_S):
            await run.progressed.wait()
