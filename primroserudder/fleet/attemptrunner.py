"""Runs attempts and watches the engines that they run on."""

import asyncio
import functools
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import aiohttp

from ..process.loops import cancel_on_exit
from .attempt import Attempt, AttemptResult, StreamActivity, StreamSink
from .call import Call
from .cost import StreamTimes
from .cost.calls import CallCosts
from .crashes.quarantine import Quarantine
from .engine_signals import EngineSignalHandler
from .health import TargetHealth
from .model import RequestKind, Target
from .retries import NEVER_RUN, Ending
from .streammoves import StreamMoves

# A stream that may not leave a lost target is asked again at this interval.
MOVE_RETRY_INTERVAL_S = 0.1


@dataclass(slots=True)
class AttemptRunner:
    """Runs attempts, and ends streams whose group is lost.

    Parameters
    ==========
    streams_by_head : defaultdict
        Activity of the running attempts at each group's head.
    """

    session: aiohttp.ClientSession
    health: TargetHealth
    quarantine: Quarantine
    signals: EngineSignalHandler
    moves: StreamMoves
    costs: CallCosts
    streams_by_head: defaultdict[str, dict[int, StreamActivity]] = field(
        default_factory=lambda: defaultdict(dict),
    )

    async def run(
        self, call: Call, target: Target, sink: StreamSink
    ) -> AttemptResult:
        """Run one attempt and return how it ended."""
        number = call.retry_state.next_number
        call.dispatch.open(number)
        with self._tracked_attempt(call, target) as activity:
            attempt = Attempt(
                self.session, call, target, sink, self.signals.note, activity
            )
            with self._noted_if_abandoned(attempt):
                outcome = await self._run_until_lost(attempt)
            self._learn(call, target, activity, outcome)
        call.dispatch.has_arrived |= outcome.has_arrived
        if outcome.ending in NEVER_RUN:
            call.dispatch.note_refused(number)
        return outcome

    def _learn(
        self,
        call: Call,
        target: Target,
        activity: StreamActivity,
        outcome: AttemptResult,
    ) -> None:
        """Learn from an attempt's events, or its time if it is no stream."""
        is_whole = outcome.ending is Ending.DELIVERED
        stream = StreamTimes(
            activity.first_at,
            activity.active_at,
            activity.events,
            activity.first_events,
        )
        self.costs.learn(call, target, stream, is_whole=is_whole)
        if is_whole:
            now = asyncio.get_running_loop().time()
            self.costs.learn_plain(call, now - activity.active_at)

    @contextmanager
    def _tracked_attempt(
        self, call: Call, target: Target
    ) -> Iterator[StreamActivity]:
        """Track an attempt's activity until it ends in any way."""
        activity = StreamActivity(
            asyncio.get_running_loop().time(),
            on_first_event=functools.partial(
                self.costs.first_event, call, target
            ),
        )
        activities: dict[int, StreamActivity] = {}
        if target.group:
            activities = self.streams_by_head[target.engine_id]
        activities[id(activity)] = activity
        try:
            yield activity
        finally:
            activities.pop(id(activity))

    @contextmanager
    def _noted_if_abandoned(self, attempt: Attempt) -> Iterator[None]:
        """Note an attempt that the caller or the deadline ends."""
        try:
            yield
        except BaseException:
            self.quarantine.note_abandoned(attempt.call, attempt.target)
            raise

    async def _run_until_lost(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt; end a stream that moves away from a lost target.

        Explanation
        ===========
        A target seems lost if its group is broken, or if its head can't be
        reached from this VM.
        """
        if attempt.call.destination.route.kind is not RequestKind.STREAM:
            return await attempt.run()
        running = asyncio.ensure_future(attempt.run())
        async with cancel_on_exit(running):
            is_unreachable = await self._wait_until_moving(attempt, running)
        if not running.cancelled():
            return running.result()
        ending_kind = Ending.CUT if attempt.sink.is_started else Ending.UNKNOWN
        return AttemptResult(
            ending_kind,
            'group is broken or unreachable',
            may_have_crashed=is_unreachable,
        )

    async def _wait_until_moving(
        self, attempt: Attempt, running: asyncio.Task[AttemptResult]
    ) -> bool:
        """Wait until a stream has ended or may move away from its target.

        Explanation
        ===========
        Returns whether it moves because its head is unreachable.
        """
        call, target = attempt.call, attempt.target
        is_noted = False
        while True:
            is_unreachable = await self._wait_for_loss(target, running)
            if running.done():
                return False
            if is_unreachable or not is_noted:
                is_noted = True
                self.moves.note_loss(
                    call, target, is_unreachable=is_unreachable
                )
            if await self.moves.try_reserve(call, target, running):
                return is_unreachable
            await asyncio.wait((running,), timeout=MOVE_RETRY_INTERVAL_S)

    async def _wait_for_loss(
        self, target: Target, running: asyncio.Task[AttemptResult]
    ) -> bool:
        """Wait until a stream has ended or its target seems lost."""
        unreachable = self.health.unreachable_event(target.engine_id)
        waits = [
            asyncio.ensure_future(event.wait())
            for event in (self.health.lost_event(target.group), unreachable)
        ]
        async with cancel_on_exit(*waits):
            await asyncio.wait(
                (running, *waits), return_when=asyncio.FIRST_COMPLETED
            )
        return unreachable.is_set()
