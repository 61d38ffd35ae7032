"""Refuses contents and parts of prompts that crashed several engines.

Explanation
===========
A broken connection, or an engine that no longer answers, is a strike at once.
A request that ended in another way without a response, because its group was
reported lost, its caller left or its time was over, is a suspicion: it becomes
a strike if the engine's incarnation ends within a few seconds. A strike is
void if the engine's incarnation is still listed after the time within which
the list drops an engine that ended.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from ...errors import Ran, RudderError
from ...process.clock import Clock
from ...process.decisions import DecisionLog
from ...process.metrics import Metrics
from ..attempt import AttemptResult
from ..call import Call
from ..crashes.trials import Trials
from ..directory import Directory
from ..model import Target
from ..retries import Ending
from .strikes import STRIKE_LIFETIME_S, Strike, StrikeRegistry
from .suspectlog import SuspectLog

SETTLE_INTERVAL_S = 0.25
MAX_SUSPICIONS = 5000
NO_ANSWER = 'the engine does not answer probes'


class Quarantined(RudderError):
    """Requests with the same content or part crashed several engines."""

    code = 'quarantined'
    status = 503
    ran = Ran.NO
    default_remedy = 'change what is named; it seems to crash engines'


@dataclass(frozen=True, slots=True)
class _Suspicion:
    """A run without a response on an engine that may have ended."""

    strikes: tuple[Strike, ...]
    noted_at: float


@dataclass(slots=True)
class Quarantine:
    """Counts the crashes of each suspect and refuses those with too many.

    Parameters
    ==========
    unreachable : Callable
        Returns the ids of engines that did not answer probes of this VM.
    list_current_since : Callable
        Returns since when the engine list has been up to date, as a monotonic
        time; ``None`` while it is not.
    list_expiry_s : float
        Time within which an engine that ended leaves the list, in seconds.
    count_targets : Callable
        Returns how many engines and heads of groups take requests now.
    may_try : Callable
        Returns whether this VM may try a quarantined part, as one VM may.
    """

    clock: Clock
    log: DecisionLog
    metrics: Metrics
    directory: Directory
    unreachable: Callable[[], Collection[str]]
    list_current_since: Callable[[], float | None]
    list_expiry_s: float
    count_targets: Callable[[], int]
    may_try: Callable[[], bool]
    strikes: StrikeRegistry = field(init=False)
    trials: Trials = field(init=False)
    notes: SuspectLog = field(init=False)
    _suspicions: deque[_Suspicion] = field(
        default_factory=lambda: deque(maxlen=MAX_SUSPICIONS),
    )

    def __post_init__(self) -> None:
        """Create the registry, which knows no strikes yet, and its log."""
        self.strikes = StrikeRegistry(self.clock)
        self.trials = Trials(
            self.clock, self.strikes, self.count_targets, self.may_try
        )
        self.notes = SuspectLog(self.clock, self.log, self.metrics)

    def check(self, call: Call) -> None:
        """Raise ``Quarantined`` if a request must not run."""
        causes = list(filter(self.strikes.is_quarantined, call.suspects))
        if not causes:
            return
        if self.trials.permits(call, causes):
            self.notes.note_trial(call, causes)
            return
        self.notes.note_refusal(call, causes[0])
        raise Quarantined(
            f'{causes[0]} crashed several engines',
            retry_after=STRIKE_LIFETIME_S,
        )

    def is_refused(self, call: Call) -> bool:
        """Return whether a request must not run again."""
        causes = list(filter(self.strikes.is_quarantined, call.suspects))
        return bool(causes) and not self.trials.is_trial(call, causes)

    def note_send(self, call: Call, target: Target) -> None:
        """Log that a suspect with strikes is sent to an engine."""
        if target.is_router:
            return
        suspect = max(call.suspects, key=self.strikes.count)
        count = self.strikes.count(suspect)
        if count:
            self.notes.note_send(call, target, suspect, count)

    def note_outcome(
        self, call: Call, target: Target, outcome: AttemptResult
    ) -> None:
        """Record what the result of an attempt says about its suspects.

        Explanation
        ===========
        Another router records its attempts itself.
        """
        if target.is_router:
            return
        if outcome.ending is Ending.DELIVERED:
            self.strikes.part_counts.note(call.suspects[1:])
            for suspect in call.suspects:
                if self.strikes.complete(suspect):
                    self.log.note('strikes_cleared', suspect=suspect)
        elif outcome.may_have_crashed:
            self._strike_all(_strikes(call, target), outcome.reason)
        elif outcome.ending in {Ending.UNKNOWN, Ending.CUT}:
            self.note_abandoned(call, target)

    def note_abandoned(
        self, call: Call, target: Target, reason: str = ''
    ) -> None:
        """Suspect all that a run without a response held.

        Parameters
        ==========
        reason : str
            By what the engine seems to have ended, empty if that is unknown.
        """
        if target.is_router:
            return
        engine = self.directory.engines_by_id.get(target.engine_id)
        if engine is not None and engine.is_draining:
            # It leaves the list soon, whatever it runs.
            return
        strikes = _strikes(call, target)
        known_reason = reason or self._reason_of_end(strikes[0])
        if known_reason:
            # A retry must not wait for the next round.
            self._strike_all(strikes, known_reason)
        else:
            now = self.clock.monotonic()
            self._suspicions.append(_Suspicion(strikes, now))

    def merge(
        self,
        source: str,
        strike_ids: Iterable[str],
        void_ids: Iterable[str] = (),
    ) -> None:
        """Merge the strikes that another VM reported."""
        merged = self.strikes.merge(strike_ids, void_ids)
        if merged:
            self.log.note('strikes_merged', source=source, strikes=merged)

    def dump(self) -> Mapping[str, list[str]]:
        """Return the crashes of each quarantined suspect, for operators."""
        causes = self.strikes.attribution.crashes_by_cause
        return {
            cause: [f'{engine}@{born}' for engine, born in sorted(crashes)]
            for cause, crashes in causes.items()
        }

    async def run(self) -> None:
        """Settle suspicions and strikes until cancelled."""
        while True:
            await asyncio.sleep(SETTLE_INTERVAL_S)
            self.settle()

    def settle(self) -> None:
        """Decide on suspicions and strikes by the list of engines."""
        self._settle_suspicions()
        current_since = self.list_current_since()
        if current_since is not None:
            self._settle_strikes(current_since)
        self.strikes.drop_expired()
        self.trials.note_targets()
        self.notes.note_attribution(self.strikes.attribution)

    def _settle_suspicions(self) -> None:
        oldest = self.clock.monotonic() - self.list_expiry_s
        suspicions = tuple(self._suspicions)
        self._suspicions.clear()
        for suspicion in suspicions:
            reason = self._reason_of_end(suspicion.strikes[0])
            if reason:
                self._strike_all(suspicion.strikes, reason)
            elif suspicion.noted_at > oldest:
                self._suspicions.append(suspicion)

    def _settle_strikes(self, current_since: float) -> None:
        settled_before = self.clock.monotonic() - self.list_expiry_s
        if current_since > settled_before:
            return
        due = [
            (strike, record)
            for strike, record in self.strikes.records()
            if not record.is_confirmed and record.known_at <= settled_before
        ]
        for strike, record in due:
            record.is_confirmed = not self._is_listed(strike)
            if not record.is_confirmed:
                self.strikes.void(strike)
                self.log.note('strike_void', strike=strike.strike_id)

    def _reason_of_end(self, strike: Strike) -> str:
        """Return by what an engine is known to have ended, or ``''``."""
        if not self._is_listed(strike):
            return 'the engine ended without a response'
        if strike.engine_id in self.unreachable():
            return NO_ANSWER
        return ''

    def _is_listed(self, strike: Strike) -> bool:
        engine = self.directory.engines_by_id.get(strike.engine_id)
        return engine is not None and engine.born_ms == strike.born_ms

    def _strike_all(self, strikes: Iterable[Strike], reason: str) -> None:
        for strike in strikes:
            if self.strikes.add(strike, is_own=True):
                self.metrics.count('strikes')
                self.log.note(
                    'strike',
                    suspect=strike.digest,
                    engine=strike.engine_id,
                    born=strike.born_ms,
                    reason=reason,
                    count=self.strikes.count(strike.digest),
                )


def _strikes(call: Call, target: Target) -> tuple[Strike, ...]:
    return tuple(
        Strike(suspect, target.engine_id, target.born_ms)
        for suspect in call.suspects
    )
