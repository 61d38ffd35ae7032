"""Watches attempts for silence, a lost group and a stalled caller.

Explanation
===========
One step for all attempts, a few times a second, takes the place of a timer
for each read: a timer that is set anew for each token costs more than all
else that an entry does for it.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass, field

from ..errors import RudderError
from ..process.clock import Clock
from ..process.engines import UpstreamLost
from ..process.evidence import EvidenceBook
from ..process.groups import GroupRecord
from ..process.metrics import Metrics
from .relay import StreamRelay

WATCH_INTERVAL_S = 0.25
SILENCE_WITHOUT_EVIDENCE_S = 1
SILENCE_BETWEEN_TOKENS_S = 5
SILENCE_UNREPEATABLE_S = 30
CALLER_STALL_TIMEOUT_S = 30


class DeadlinePassed(RudderError):
    """The caller's deadline passed before the answer was complete."""

    code = 'deadline_passed'
    status = 504
    default_remedy = 'set a later deadline or ask for fewer tokens'


class CallerStalled(RudderError):
    """The caller took none of its answer for a long time."""

    code = 'caller_stalled'
    status = 408
    default_remedy = 'read the answer as it arrives'


@dataclass(slots=True, eq=False)
class WatchedAttempt:
    """One attempt and when it was last seen to advance."""

    group: GroupRecord
    relay: StreamRelay
    can_repeat: bool
    task: asyncio.Task[object]
    since: float
    reason: RudderError | None = None
    seen: tuple[int, bool] = (0, False)

    def advance(self, now: float) -> float:
        """Note progress and return the seconds since the last."""
        seen = (self.relay.position, self.relay.is_sending)
        if seen != self.seen:
            self.seen = seen
            self.since = now
        return now - self.since

    def end(self, reason: RudderError) -> None:
        """End the attempt with an error.

        Explanation
        ===========
        The task is cancelled at once and not by a timer, so that it stops
        where it was seen to wait: never between the count of a token and
        its delivery.
        """
        self.reason = reason
        self.task.cancel()

    def is_ended(self) -> bool:
        """Return whether a cancellation came from here and nowhere else."""
        return self.reason is not None and not self.task.uncancel()


@dataclass(slots=True)
class AttemptWatchdog:
    """All attempts that run in this process."""

    clock: Clock
    evidence: EvidenceBook
    metrics: Metrics
    attempts: set[WatchedAttempt] = field(default_factory=set)

    @asynccontextmanager
    async def attempt(
        self,
        group: GroupRecord,
        relay: StreamRelay,
        deadline: float,
        *,
        can_repeat: bool,
    ) -> AsyncIterator[None]:
        """Watch what runs inside of the context.

        Raises
        ======
        UpstreamLost
            The upstream is silent or its group is no longer whole.
        CallerStalled
            The caller does not read.
        DeadlinePassed
            The deadline passed.
        """
        now = self.clock.monotonic()
        watched = WatchedAttempt(group, relay, can_repeat, _own_task(), now)
        watched.seen = (relay.position, False)
        with ExitStack() as stack:
            stack.callback(self.attempts.discard, watched)
            self.attempts.add(watched)
            try:
                async with asyncio.timeout(max(0, deadline - now)):
                    yield
            except TimeoutError as late:
                raise DeadlinePassed('the deadline passed') from late
            except asyncio.CancelledError:
                if watched.is_ended() and watched.reason is not None:
                    raise watched.reason from None
                raise

    async def step(self) -> None:
        """End the attempts that no longer advance."""
        now = self.clock.monotonic()
        for watched in tuple(self.attempts):
            silent_s = watched.advance(now)
            reason = self._fault(watched, silent_s)
            if reason is not None and watched.reason is None:
                self.metrics.count('attempts_cut', code=reason.code)
                watched.end(reason)

    def _fault(
        self,
        watched: WatchedAttempt,
        silent_s: float,
    ) -> RudderError | None:
        if watched.relay.is_sending:
            if silent_s < CALLER_STALL_TIMEOUT_S:
                return None
            return CallerStalled(f'the caller took nothing for {silent_s:.0f}s')
        if silent_s < self._allowed_s(watched):
            return None
        group_id = watched.group.group_id
        return UpstreamSilent(f'{group_id} was silent for {silent_s:.1f} s')

    def _allowed_s(self, watched: WatchedAttempt) -> float:
        if not watched.can_repeat:
            return SILENCE_UNREPEATABLE_S
        if not self.evidence.is_whole(watched.group):
            return SILENCE_WITHOUT_EVIDENCE_S
        if watched.relay.position == 0:
            # The request may wait in the engine's queue or be prefilled.
            return float('inf')
        return SILENCE_BETWEEN_TOKENS_S


class UpstreamSilent(UpstreamLost):
    """The upstream sent nothing for too long."""

    code = 'upstream_silent'


def _own_task() -> asyncio.Task[object]:
    task = asyncio.current_task()
    assert task is not None
    return task
