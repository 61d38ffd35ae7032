"""Watchdog for silent upstreams, lost groups and stalled callers.

Explanation
===========
One periodic step checks all attempts a few times a second. A timer for each
read would be reset for each token, which costs more than all other work that
an entry does for the token.
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
SILENCE_NON_IDEMPOTENT_S = 30
CALLER_STALL_TIMEOUT_S = 30


class DeadlinePassed(RudderError):
    """The caller's deadline passed before the answer was complete."""

    code = 'deadline_passed'
    status = 504
    default_remedy = 'set a later deadline or ask for fewer tokens'


class CallerStalled(RudderError):
    """The caller read nothing of its answer for too long."""

    code = 'caller_stalled'
    status = 408
    default_remedy = 'read the answer as it arrives'


@dataclass(slots=True, eq=False)
class WatchedAttempt:
    """One attempt and the time of its last progress."""

    group: GroupRecord
    relay: StreamRelay
    is_idempotent: bool
    task: asyncio.Task[object]
    progressed_at: float
    error: RudderError | None = None
    progress: tuple[int, bool] = (0, False)

    def note_progress(self, now: float) -> float:
        """Update the progress and return the seconds since the last change."""
        progress = (self.relay.position, self.relay.is_sending)
        if progress != self.progress:
            self.progress = progress
            self.progressed_at = now
        return now - self.progressed_at

    def abort(self, error: RudderError) -> None:
        """Cancel the attempt with an error.

        Explanation
        ===========
        The task is cancelled immediately and not by a timer, so that it stops
        at the point where it was observed to wait, and never between the
        counting of a token and its delivery.
        """
        self.error = error
        self.task.cancel()

    def is_own_cancellation(self) -> bool:
        """Undo the watchdog's cancellation; return whether none remains."""
        return self.error is not None and not self.task.uncancel()


@dataclass(slots=True)
class AttemptWatchdog:
    """Watches all attempts of this process."""

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
        is_idempotent: bool,
    ) -> AsyncIterator[None]:
        """Watch the current task while the context is open.

        Raises
        ======
        UpstreamLost
            The upstream sent nothing for too long. The limit is shorter if
            there is no evidence that its group is whole.
        CallerStalled
            The caller read nothing for too long.
        DeadlinePassed
            The deadline passed before the answer was complete.
        """
        now = self.clock.monotonic()
        watched = WatchedAttempt(
            group, relay, is_idempotent, _current_task(), now
        )
        watched.progress = (relay.position, False)
        with ExitStack() as stack:
            stack.callback(self.attempts.discard, watched)
            self.attempts.add(watched)
            try:
                async with asyncio.timeout(max(0, deadline - now)):
                    yield
            except TimeoutError as timeout_error:
                raise DeadlinePassed(
                    'the deadline passed before the answer was complete',
                ) from timeout_error
            except asyncio.CancelledError:
                if watched.is_own_cancellation() and watched.error is not None:
                    raise watched.error from None
                raise

    async def step(self) -> None:
        """Cancel the attempts that make no progress."""
        now = self.clock.monotonic()
        for watched in tuple(self.attempts):
            silent_s = watched.note_progress(now)
            error = self._stall_error(watched, silent_s)
            if error is not None and watched.error is None:
                self.metrics.count('attempts_cut', code=error.code)
                watched.abort(error)

    def _stall_error(
        self,
        watched: WatchedAttempt,
        silent_s: float,
    ) -> RudderError | None:
        if watched.relay.is_sending:
            if silent_s < CALLER_STALL_TIMEOUT_S:
                return None
            return CallerStalled(f'the caller read nothing for {silent_s:.0f}s')
        if silent_s < self._max_silence_s(watched):
            return None
        group_id = watched.group.group_id
        return UpstreamSilent(f'{group_id} sent nothing for {silent_s:.1f} s')

    def _max_silence_s(self, watched: WatchedAttempt) -> float:
        if not watched.is_idempotent:
            return SILENCE_NON_IDEMPOTENT_S
        if not self.evidence.is_whole(watched.group):
            return SILENCE_WITHOUT_EVIDENCE_S
        if watched.relay.position == 0:
            # The request may still be queued or in prefill on the engine.
            return float('inf')
        return SILENCE_BETWEEN_TOKENS_S


class UpstreamSilent(UpstreamLost):
    """The upstream sent nothing for too long."""

    code = 'upstream_silent'


def _current_task() -> asyncio.Task[object]:
    task = asyncio.current_task()
    assert task is not None
    return task
