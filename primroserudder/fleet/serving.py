"""Serves a caller's request: slots, attempts and the final result."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial

from ..errors import Ran, RudderError
from ..process.clock import Clock
from .attempt import AttemptResult, StreamSink
from .attemptlog import AttemptLog
from .attemptrunner import AttemptRunner
from .call import Call
from .crashes.quarantine import Quarantine, Quarantined
from .cutoff import StoppedBeforeRun
from .evacuation.guard import EvacuationGuard
from .health import TargetHealth
from .model import Target
from .retries import NEVER_RUN, Ending, Step
from .retrycharger import RetryCharger
from .slotqueues import SlotQueues
from .target_selector import TargetSelector
from .waitqueue import (
    RETRY_AFTER_NO_GROUP_S,
    NoFreeSlot,
    keep_waiting,
    max_wait_s,
)

# A pause before each retry, so that a momentary fault of an engine or a
# connection does not use up all tries of a request.
RETRY_PAUSE_S = 0.02
# Another router takes the request at once.
RETRY_AFTER_STOP_S = 0.05


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
    """Assigns requests to engines, sends them and retries failed attempts.

    Parameters
    ==========
    is_closed : bool
        Whether this router stops and has closed its port to callers.
    """

    selector: TargetSelector
    runner: AttemptRunner
    clock: Clock
    slots: SlotQueues
    health: TargetHealth
    quarantine: Quarantine
    notes: AttemptLog
    charger: RetryCharger
    guard: EvacuationGuard
    is_closed: bool = False

    async def serve(self, call: Call, sink: StreamSink) -> AttemptResult:
        """Serve a request and return the result of its last attempt.

        Raises
        ======
        RudderError
            No response of an engine can be returned to the caller.
        """
        if not call.is_forwarded:
            self.charger.record_request(call)
        self._refuse_if_closed(call)
        self.quarantine.check(call)
        self.slots.costs.prepare(call)
        try:
            async with asyncio.timeout_at(call.deadline_at):
                return await self._serve(call, sink)
        except TimeoutError as error:
            raise self._timeout_error(call) from error
        except NoFreeSlot as error:
            raise self._no_slot_error(call, error) from None
        finally:
            self.slots.release_reserved(call)
            self.charger.release(call)

    def _timeout_error(self, call: Call) -> RudderError:
        if call.dispatch.ran is Ran.NO:
            return call.dispatch.close(
                NoFreeSlot('no slot became free before the deadline')
            )
        return call.dispatch.close(
            DeadlinePassed('the deadline of the request passed')
        )

    def _no_slot_error(self, call: Call, error: NoFreeSlot) -> RudderError:
        """Return what a request without a slot is told: whether it ran."""
        if call.dispatch.ran is Ran.NO:
            return call.dispatch.close(error)
        return call.dispatch.close(MayHaveRun(str(error)))

    async def _serve(self, call: Call, sink: StreamSink) -> AttemptResult:
        outcome: AttemptResult | None = None
        while True:
            target = await self._acquire_slot(call)
            self._check_before_send(call, target)
            if outcome is not None and not self.charger.try_send(call):
                self.slots.release(call, target)
                step = _step_without_retry(outcome, call, sink)
                return self._finish(step, call, outcome)
            call.retry_state.grant(is_router=target.is_router)
            self.quarantine.note_send(call, target)
            began_at = self.clock.monotonic()
            outcome = await self._attempt(call, target, sink)
            self._record_outcome(call, target, outcome, began_at)
            call.retry_state.record(outcome.ending, outcome.runs)
            step = call.retry_state.next_step(outcome.ending, call.remaining_s)
            if step is not Step.RETRY or not self._may_send_again(
                call, outcome
            ):
                step = _step_without_retry(outcome, call, sink)
                return self._finish(step, call, outcome)
            self.notes.note_retry(call, target, outcome)
            await asyncio.sleep(RETRY_PAUSE_S)

    def _refuse_if_closed(self, call: Call) -> None:
        """Refuse a request that would begin to run too late in a stop.

        Explanation
        ===========
        Its body or a slot came after the port was closed. An engine might still
        be at work on it as the process ends; another router has time.
        """
        if self.is_closed and not call.retry_state.runs:
            raise StoppedBeforeRun(
                'this router stops', retry_after=RETRY_AFTER_STOP_S
            )

    def _check_before_send(self, call: Call, target: Target) -> None:
        """Refuse a request that may not run since it arrived."""
        try:
            self._refuse_if_closed(call)
            self.quarantine.check(call)
        except (StoppedBeforeRun, Quarantined) as error:
            self.slots.release(call, target)
            if call.dispatch.ran is Ran.NO:
                raise call.dispatch.close(error) from None
            raise call.dispatch.close(MayHaveRun(str(error))) from error

    async def _acquire_slot(self, call: Call) -> Target:
        """Return a target with a slot, to which the request may go now.

        Explanation
        ===========
        A target that was reserved or granted before its failure domain was
        evacuated is given back.
        """
        while True:
            target = await self._take_slot(call)
            if self.guard.may_send(call, target):
                return target

    async def _take_slot(self, call: Call) -> Target:
        reserved = call.take_reserved_target()
        if reserved is not None:
            return reserved
        route = call.destination.route
        has_run = bool(call.retry_state.runs)
        wait_s = max_wait_s(route.objective_s, call.age_s, call.remaining_s)
        if has_run:
            # A request that may have run is retried up to its deadline.
            wait_s = call.remaining_s
        else:
            self._refuse_without_targets(call)
        if self.selector.is_forwarding(call):
            # The other router knows its engines better.
            return await self.slots.acquire(
                call, partial(self.selector.find, call), max(wait_s, 0)
            )
        back_off_s = self.selector.back_off_s(call, self.slots.waiting(call))
        if back_off_s > max(wait_s, 0):
            raise NoFreeSlot(
                'all engines of the pool take no requests now',
                retry_after=back_off_s,
            )
        return await self.slots.acquire(
            call,
            partial(self.selector.find, call),
            wait_s,
            keep_waiting if has_run else partial(self.guard.refusal, call),
        )

    def _refuse_without_targets(self, call: Call) -> None:
        """Refuse a request that no target is left for.

        Raises
        ======
        NoFreeSlot
            All targets are evacuated, in other regions or gone.
        """
        refusal = self.guard.refusal(call)
        if refusal is not None:
            raise refusal
        if self.selector.is_forwarding(call):
            reason = 'no router in the allowed regions reaches engines'
            is_possible = self.selector.has_routers(call)
        else:
            reason = 'no group serves the model'
            is_possible = self.selector.has_targets(call)
        if not is_possible:
            raise NoFreeSlot(reason, retry_after=RETRY_AFTER_NO_GROUP_S)

    async def _attempt(
        self,
        call: Call,
        target: Target,
        sink: StreamSink,
    ) -> AttemptResult:
        with self._held_slot(call, target):
            return await self.runner.run(call, target, sink)

    @contextmanager
    def _held_slot(self, call: Call, target: Target) -> Iterator[None]:
        """Free a slot however its attempt ends."""
        try:
            yield
        finally:
            self.slots.release(call, target)

    def _record_outcome(
        self,
        call: Call,
        target: Target,
        outcome: AttemptResult,
        began_at: float,
    ) -> None:
        call.tried_engines.add(target.engine_id)
        self.selector.forwarder.note(target, outcome.ending, began_at)
        if not target.is_router:
            self.health.note(target, outcome, self.clock.monotonic())
        self.quarantine.note_outcome(call, target, outcome)
        if outcome.is_broken:
            self.notes.note_broken(call, target, outcome)

    def _may_send_again(self, call: Call, outcome: AttemptResult) -> bool:
        """Return whether the retry budget allows a retry after an attempt.

        Explanation
        ===========
        A request that reached no engine is no retry when it reaches the first.
        A retry that reached none is charged once it does.
        """
        if outcome.has_arrived:
            return self.charger.try_reserve(call)
        self.charger.note_not_arrived(call)
        return True

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


def _step_without_retry(
    outcome: AttemptResult, call: Call, sink: StreamSink
) -> Step:
    """Return how a request ends after an attempt if none follows."""
    if outcome.ending is Ending.DELIVERED:
        return Step.FINISH
    if outcome.ending is Ending.FAILED and not sink.is_started:
        return Step.FORWARD_FAILURE
    if outcome.ending in NEVER_RUN and not call.retry_state.runs:
        return Step.REFUSE
    # A caller that has received events can't be told of a failure any more.
    return Step.GIVE_UP
