"""Serves one caller's request: place, attempts, and the final answer."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import aiohttp

from ..errors import Ran, RudderError
from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.loops import cancel_on_exit
from ..process.metrics import Metrics
from .attempt import Attempt, AttemptResult, StreamActivity, StreamSink
from .balancing import choose_target
from .call import Call
from .directory import Directory
from .health import TargetHealth
from .in_flight import InFlightCounts
from .model import RequestKind, Target
from .retries import Ending, RetryBudgets, Step
from .strikes import StrikeRegistry, content_digest
from .waitqueue import RETRY_AFTER_NO_GROUP_S, NoFreeSlot, WaitQueue, max_wait_s

# A request that was refused by an engine or lost its connection tries again
# this soon, so that a moment's fault does not use up its offers.
PAUSE_BETWEEN_OFFERS_S = 0.02


class MayHaveRun(RudderError):
    """No whole answer came and the request may have run."""

    code = 'may_have_run'
    status = 502
    ran = Ran.UNKNOWN
    default_remedy = 'find out whether it took effect before repeating it'


class TooLate(RudderError):
    """The deadline or the route's timeout passed."""

    code = 'too_late'
    status = 504
    ran = Ran.UNKNOWN
    default_remedy = 'allow more time, or ask for less'


class Quarantined(RudderError):
    """The same content lost several groups; it is not run again."""

    code = 'quarantined'
    status = 503
    ran = Ran.NO
    default_remedy = 'change the request; its content crashes engines'


class BudgetSpent(RudderError):
    """The request has not run, and the budget of repeats is used up."""

    code = 'repeat_budget_spent'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat the request after the time given'


@dataclass(slots=True)
class Server:
    """Finds places for requests, sends them, and decides what follows."""

    failure_domain: str
    session: aiohttp.ClientSession
    clock: Clock
    directory: Directory
    book: InFlightCounts
    health: TargetHealth
    strikes: StrikeRegistry
    log: DecisionLog
    metrics: Metrics
    budgets: RetryBudgets
    count_vms: Callable[[], int]
    broken_groups: Callable[[], Collection[str]]
    draw: random.Random = field(default_factory=random.Random)
    rooms_by_pool: dict[str, WaitQueue] = field(default_factory=dict)
    streams_by_head: defaultdict[str, dict[int, StreamActivity]] = field(
        default_factory=lambda: defaultdict(dict),
    )

    async def serve(self, call: Call, sink: StreamSink) -> AttemptResult:
        """Serve a request to its end and return the last attempt.

        Raises
        ======
        RudderError
            There is no answer of an engine to pass on.
        """
        digest = content_digest(call)
        if self.strikes.is_quarantined(digest):
            raise Quarantined('the same content lost several groups')
        budget = self.budgets.of_service(call.destination.service.name)
        budget.note_request(self.clock.monotonic())
        try:
            async with asyncio.timeout_at(call.deadline_at):
                return await self._serve(call, sink, digest)
        except TimeoutError as error:
            raise self._overdue(call) from error

    def grant_free_slots(self) -> None:
        """Give places that became free to those who wait."""
        for room in self.rooms_by_pool.values():
            room.grant_free_slots()

    def _overdue(self, call: Call) -> RudderError:
        if call.dispatch.ran is Ran.NO:
            return call.dispatch.close(NoFreeSlot('no place in time'))
        return call.dispatch.close(TooLate('the time for the request is over'))

    async def _serve(
        self,
        call: Call,
        sink: StreamSink,
        digest: str,
    ) -> AttemptResult:
        while True:
            target = await self._take_place(call)
            outcome = await self._attempt(call, target, sink)
            self._learn(call, target, outcome, digest)
            call.retry_state.count(outcome.ending)
            step = call.retry_state.next_step(outcome.ending, call.remaining_s)
            if step is Step.REPEAT and not self._take_repeat(call):
                step = _without_repeat(outcome.ending, call)
            if step is Step.PASS_FAILURE and sink.is_started:
                # The caller has the head of a success and some events.
                step = Step.GIVE_UP
            if step is not Step.REPEAT:
                return self._finish(step, call, outcome)
            self._note_repeat(call, target, outcome)
            await asyncio.sleep(PAUSE_BETWEEN_OFFERS_S)

    async def _take_place(self, call: Call) -> Target:
        room = self._room(call.pool)
        route = call.destination.route
        has_run = bool(call.retry_state.runs)
        wait_s = max_wait_s(route.objective_s, call.age_s, call.remaining_s)
        if has_run:
            # What was begun is finished, also when that takes longer.
            wait_s = call.remaining_s
        if not has_run and not self._targets(call):
            raise NoFreeSlot(
                'no group serves the model',
                retry_after=RETRY_AFTER_NO_GROUP_S,
            )
        rank = (0 if has_run else 1, float(call.destination.priority))
        return await room.acquire(lambda: self._find(call), rank, wait_s)

    def _targets(self, call: Call) -> list[Target]:
        service = call.destination.service
        broken = self.broken_groups()
        whole = [
            target
            for target in self.directory.targets(service, call.facts.model)
            if target.group not in broken or not target.group
        ]
        reachable = [
            target
            for target in whole
            if not self.health.is_domain_avoided(target.failure_domain)
        ]
        return reachable or whole

    def _find(self, call: Call) -> Target | None:
        targets = self._targets(call)
        avoided = self.health.avoided() | call.tried
        found = choose_target(
            targets, self.book.running, self.failure_domain, avoided
        )
        if found is None and call.tried:
            avoided = self.health.avoided()
            found = choose_target(
                targets, self.book.running, self.failure_domain, avoided
            )
        return found

    async def _attempt(
        self,
        call: Call,
        target: Target,
        sink: StreamSink,
    ) -> AttemptResult:
        number = call.retry_state.offers + 1
        call.dispatch.open(number)
        with self._watched(call, target) as watch:
            attempt = Attempt(self.session, call, target, sink, watch)
            outcome = await self._until_broken(attempt)
        if outcome.ending is Ending.NOT_RUN:
            call.dispatch.note_refused(number)
        return outcome

    @contextmanager
    def _watched(self, call: Call, target: Target) -> Iterator[StreamActivity]:
        """Give the place back when the attempt ends, however it does."""
        watch = StreamActivity(asyncio.get_running_loop().time())
        watches: dict[int, StreamActivity] = {}
        if target.group:
            watches = self.streams_by_head[target.engine_id]
        watches[id(watch)] = watch
        try:
            yield watch
        finally:
            watches.pop(id(watch))
            self._room(call.pool).release(target)

    async def _until_broken(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt; give a stream up once its group is known broken."""
        if attempt.call.destination.route.kind is not RequestKind.STREAM:
            return await attempt.run()
        target = attempt.target
        ends = (
            self.health.lost_event(target.group),
            self.health.unreachable_event(target.engine_id),
        )
        running = asyncio.ensure_future(attempt.run())
        losing = [asyncio.ensure_future(end.wait()) for end in ends]
        async with cancel_on_exit(running, *losing):
            await asyncio.wait(
                (running, *losing), return_when=asyncio.FIRST_COMPLETED
            )
        if not running.cancelled():
            return running.result()
        how = Ending.CUT if attempt.sink.is_started else Ending.UNKNOWN
        return AttemptResult(how, 'group broken or out of reach')

    def _learn(
        self,
        call: Call,
        target: Target,
        outcome: AttemptResult,
        digest: str,
    ) -> None:
        call.tried.add(target.engine_id)
        self.health.note(target, outcome, self.clock.monotonic())
        if outcome.ending is Ending.DELIVERED:
            self.strikes.clear(digest)
        elif outcome.has_crashed and target.group:
            self.strikes.strike(digest, target.group)

    def _take_repeat(self, call: Call) -> bool:
        budget = self.budgets.of_service(call.destination.service.name)
        return budget.take(self.clock.monotonic(), self.count_vms())

    def _finish(
        self,
        step: Step,
        call: Call,
        outcome: AttemptResult,
    ) -> AttemptResult:
        if step in {Step.FINISH, Step.PASS_FAILURE}:
            return outcome
        if step is Step.REFUSE and call.dispatch.ran is Ran.NO:
            error: RudderError = BudgetSpent(outcome.reason, retry_after=1)
        elif call.remaining_s <= 0:
            error = TooLate(outcome.reason)
        else:
            error = MayHaveRun(outcome.reason)
        raise call.dispatch.close(error)

    def _note_repeat(
        self,
        call: Call,
        target: Target,
        outcome: AttemptResult,
    ) -> None:
        self.metrics.count('repeats', ending=outcome.ending.value)
        self.log.note(
            'repeat',
            request=call.facts.attempt_id,
            engine=target.engine_id,
            group=target.group,
            ending=outcome.ending.value,
            reason=outcome.reason,
            runs=call.retry_state.runs,
            last_event=call.last_event_id,
        )

    def _room(self, pool: str) -> WaitQueue:
        room = self.rooms_by_pool.get(pool)
        if room is None:
            room = WaitQueue(pool, self.book, self.clock)
            self.rooms_by_pool[pool] = room
        return room


def _without_repeat(ending: Ending, call: Call) -> Step:
    if ending is Ending.FAILED:
        return Step.PASS_FAILURE
    if ending is Ending.NOT_RUN and not call.retry_state.runs:
        return Step.REFUSE
    return Step.GIVE_UP
