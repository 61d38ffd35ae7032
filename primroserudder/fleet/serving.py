"""Serves a caller's request: slots, attempts and the final result."""

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
from .quarantine import Quarantine
from .retries import Ending, RetryBudgets, Step
from .strikes import content_digest
from .waitqueue import RETRY_AFTER_NO_GROUP_S, NoFreeSlot, WaitQueue, max_wait_s

# A pause before each retry, so that a momentary fault of an engine or a
# connection does not use up all tries of a request.
RETRY_PAUSE_S = 0.02


class MayHaveRun(RudderError):
    """No complete response arrived, and the request may have run."""

    code = 'may_have_run'
    status = 502
    ran = Ran.UNKNOWN
    default_remedy = 'check whether the request took effect before retrying it'


class DeadlinePassed(RudderError):
    """The deadline or the route's timeout passed."""

    code = 'too_late'
    status = 504
    ran = Ran.UNKNOWN
    default_remedy = 'set a longer deadline, or send a smaller request'


class RetryBudgetSpent(RudderError):
    """The request has not run, and no further attempt is allowed."""

    code = 'repeat_budget_spent'
    status = 503
    ran = Ran.NO
    default_remedy = 'retry the request after the delay in Retry-After'


@dataclass(slots=True)
class Server:
    """Assigns requests to engines, sends them and retries failed attempts."""

    failure_domain: str
    session: aiohttp.ClientSession
    clock: Clock
    directory: Directory
    in_flight_counts: InFlightCounts
    health: TargetHealth
    quarantine: Quarantine
    log: DecisionLog
    metrics: Metrics
    budgets: RetryBudgets
    count_vms: Callable[[], int]
    broken_groups: Callable[[], Collection[str]]
    rng: random.Random = field(default_factory=random.Random)
    queues_by_pool: dict[str, WaitQueue] = field(default_factory=dict)
    streams_by_head: defaultdict[str, dict[int, StreamActivity]] = field(
        default_factory=lambda: defaultdict(dict),
    )

    async def serve(self, call: Call, sink: StreamSink) -> AttemptResult:
        """Serve a request and return the result of its last attempt.

        Raises
        ======
        RudderError
            No response of an engine can be returned to the caller.
        """
        digest = content_digest(call)
        self.quarantine.check(digest)
        budget = self.budgets.for_service(call.destination.service.name)
        budget.record_request(self.clock.monotonic())
        try:
            async with asyncio.timeout_at(call.deadline_at):
                return await self._serve(call, sink, digest)
        except TimeoutError as error:
            raise self._timeout_error(call) from error

    def grant_free_slots(self) -> None:
        """Assign free slots to waiting requests, in all pools."""
        for queue in self.queues_by_pool.values():
            queue.grant_free_slots()

    def _timeout_error(self, call: Call) -> RudderError:
        if call.dispatch.ran is Ran.NO:
            return call.dispatch.close(
                NoFreeSlot('no slot became free before the deadline')
            )
        return call.dispatch.close(
            DeadlinePassed('the deadline of the request passed')
        )

    async def _serve(
        self,
        call: Call,
        sink: StreamSink,
        digest: str,
    ) -> AttemptResult:
        while True:
            target = await self._acquire_slot(call)
            self.quarantine.note_send(call, target, digest)
            outcome = await self._attempt(call, target, sink)
            self._record_outcome(call, target, outcome, digest)
            call.retry_state.record(outcome.ending)
            step = call.retry_state.next_step(outcome.ending, call.remaining_s)
            if step is Step.RETRY and not self._try_spend_retry(call):
                step = _step_without_retry(outcome.ending, call)
            if step is Step.FORWARD_FAILURE and sink.is_started:
                # The caller has already received a success status and events.
                step = Step.GIVE_UP
            if step is not Step.RETRY:
                return self._finish(step, call, outcome)
            self._log_retry(call, target, outcome)
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _acquire_slot(self, call: Call) -> Target:
        queue = self._queue(call.pool)
        route = call.destination.route
        has_run = bool(call.retry_state.runs)
        wait_s = max_wait_s(route.objective_s, call.age_s, call.remaining_s)
        if has_run:
            # A request that may have run is retried up to its deadline.
            wait_s = call.remaining_s
        if not has_run and not self._targets(call):
            raise NoFreeSlot(
                'no group serves the model',
                retry_after=RETRY_AFTER_NO_GROUP_S,
            )
        rank = (0 if has_run else 1, float(call.destination.priority))
        return await queue.acquire(
            lambda: self._find_target(call), rank, wait_s
        )

    def _targets(self, call: Call) -> list[Target]:
        service = call.destination.service
        broken = self.broken_groups()
        intact = [
            target
            for target in self.directory.targets(service, call.metadata.model)
            if target.group not in broken or not target.group
        ]
        reachable = [
            target
            for target in intact
            if not self.health.is_domain_avoided(target.failure_domain)
        ]
        return reachable or intact

    def _find_target(self, call: Call) -> Target | None:
        targets = self._targets(call)
        avoided = self.health.avoided() | call.tried_engines
        chosen = choose_target(
            targets, self.in_flight_counts.running, self.failure_domain, avoided
        )
        if chosen is None and call.tried_engines:
            avoided = self.health.avoided()
            chosen = choose_target(
                targets,
                self.in_flight_counts.running,
                self.failure_domain,
                avoided,
            )
        return chosen

    async def _attempt(
        self,
        call: Call,
        target: Target,
        sink: StreamSink,
    ) -> AttemptResult:
        number = call.retry_state.tries + 1
        call.dispatch.open(number)
        with self._tracked_attempt(call, target) as activity:
            attempt = Attempt(self.session, call, target, sink, activity)
            outcome = await self._run_attempt(attempt)
        if outcome.ending is Ending.NOT_RUN:
            call.dispatch.note_refused(number)
        return outcome

    @contextmanager
    def _tracked_attempt(
        self, call: Call, target: Target
    ) -> Iterator[StreamActivity]:
        """Track an attempt's activity; free its slot however it ends."""
        activity = StreamActivity(asyncio.get_running_loop().time())
        activities: dict[int, StreamActivity] = {}
        if target.group:
            activities = self.streams_by_head[target.engine_id]
        activities[id(activity)] = activity
        try:
            yield activity
        finally:
            activities.pop(id(activity))
            self._queue(call.pool).release(target)

    async def _run_attempt(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt; cancel a stream if its group breaks.

        Explanation
        ===========
        A stream is also cancelled if its head can't be reached from this VM.
        """
        if attempt.call.destination.route.kind is not RequestKind.STREAM:
            return await attempt.run()
        target = attempt.target
        loss_events = (
            self.health.lost_event(target.group),
            self.health.unreachable_event(target.engine_id),
        )
        running = asyncio.ensure_future(attempt.run())
        loss_waits = [
            asyncio.ensure_future(event.wait()) for event in loss_events
        ]
        async with cancel_on_exit(running, *loss_waits):
            await asyncio.wait(
                (running, *loss_waits), return_when=asyncio.FIRST_COMPLETED
            )
        if not running.cancelled():
            return running.result()
        ending_kind = Ending.CUT if attempt.sink.is_started else Ending.UNKNOWN
        return AttemptResult(ending_kind, 'group is broken or unreachable')

    def _record_outcome(
        self,
        call: Call,
        target: Target,
        outcome: AttemptResult,
        digest: str,
    ) -> None:
        call.tried_engines.add(target.engine_id)
        self.health.note(target, outcome, self.clock.monotonic())
        self.quarantine.note_outcome(call, target, outcome, digest)

    def _try_spend_retry(self, call: Call) -> bool:
        budget = self.budgets.for_service(call.destination.service.name)
        return budget.try_spend(self.clock.monotonic(), self.count_vms())

    def _finish(
        self,
        step: Step,
        call: Call,
        outcome: AttemptResult,
    ) -> AttemptResult:
        if step in {Step.FINISH, Step.FORWARD_FAILURE}:
            return outcome
        if step is Step.REFUSE and call.dispatch.ran is Ran.NO:
            error: RudderError = RetryBudgetSpent(outcome.reason, retry_after=1)
        elif call.remaining_s <= 0:
            error = DeadlinePassed(outcome.reason)
        else:
            error = MayHaveRun(outcome.reason)
        raise call.dispatch.close(error)

    def _log_retry(
        self,
        call: Call,
        target: Target,
        outcome: AttemptResult,
    ) -> None:
        self.metrics.count('repeats', ending=outcome.ending.value)
        self.log.note(
            'repeat',
            request=call.metadata.attempt_id,
            engine=target.engine_id,
            group=target.group,
            ending=outcome.ending.value,
            reason=outcome.reason,
            runs=call.retry_state.runs,
            last_event=call.last_event_id,
        )

    def _queue(self, pool: str) -> WaitQueue:
        queue = self.queues_by_pool.get(pool)
        if queue is None:
            queue = WaitQueue(pool, self.in_flight_counts, self.clock)
            self.queues_by_pool[pool] = queue
        return queue


def _step_without_retry(ending: Ending, call: Call) -> Step:
    if ending is Ending.FAILED:
        return Step.FORWARD_FAILURE
    if ending is Ending.NOT_RUN and not call.retry_state.runs:
        return Step.REFUSE
    return Step.GIVE_UP
