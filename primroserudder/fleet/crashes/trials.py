"""Tries a quarantined part once more if it may be no cause of crashes.

Explanation
===========
Engines that crash under a part end one by one, as requests with it come. If
most engines end at the same moment, as after a loss of power, all parts that
prompts share have strikes, and since no request with them runs, no answer can
clear them. A part that most prompts share may also have been on three engines
that ended for other reasons, while no answer told so, as just after all routers
have started. Once the engines had time to come back, one router, the lease
holder, lets a single request with such a part run. A whole answer clears the
part; a crash is one of its own, and the part is not tried again.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from ...process.clock import Clock
from ..call import Call
from .explaining import STRIKES_TO_QUARANTINE, Incarnation
from .strikes import StrikeRegistry
from .suspects import is_part

# Engines that end within this time of each other end together.
TOGETHER_S = 1.0
# Ends that are so many, or that share of all targets, have a common cause.
MASS_END_SHARE = 0.75
MASS_END_TARGETS = 20
# Time for engines to come back before a part is tried.
FIRST_TRIAL_S = 6.0
# Time for a trial to end its engine or to be answered.
TRIAL_S = 6.0
ENDS_LIFETIME_S = 1.0


@dataclass(frozen=True, slots=True)
class _Trial:
    call: Call
    began_at: float


@dataclass(slots=True)
class Trials:
    """Chooses the requests that may run although parts are quarantined.

    Parameters
    ==========
    count_targets : Callable
        Returns how many engines and heads of groups take requests now.
    may_try : Callable
        Returns whether this VM is the one that tries parts.
    """

    clock: Clock
    strikes: StrikeRegistry
    count_targets: Callable[[], int]
    may_try: Callable[[], bool]
    _trial_by_part: dict[str, _Trial] = field(default_factory=dict)
    _most_targets: int = 0
    _ended_at: Mapping[Incarnation, float] = field(default_factory=dict)
    _ended_as_of: float = float('-inf')

    def permits(self, call: Call, causes: Collection[str]) -> bool:
        """Return whether a request may run although it has these causes."""
        if not self.may_try():
            return False
        now = self.clock.monotonic()
        if self.is_trial(call, causes):
            return all(self._is_doubtful(cause, now) for cause in causes)
        if not all(map(self._is_due, causes)):
            return False
        self._trial_by_part.update(
            dict.fromkeys(causes, _Trial(call, now)),
        )
        return True

    def is_trial(self, call: Call, causes: Collection[str]) -> bool:
        """Return whether a request is the trial of all these parts."""
        trials = [self._trial_by_part.get(cause) for cause in causes]
        return all(trial is not None and trial.call is call for trial in trials)

    def note_targets(self) -> None:
        """Note how many targets there are, and forget what is not refused."""
        self._most_targets = max(self._most_targets, self.count_targets())
        self._trial_by_part = {
            part: trial
            for part, trial in self._trial_by_part.items()
            if self.strikes.is_quarantined(part)
        }

    def _is_due(self, cause: str) -> bool:
        if not is_part(cause):
            return False
        trial = self._trial_by_part.get(cause)
        now = self.clock.monotonic()
        if trial is not None and now - trial.began_at < TRIAL_S:
            return False
        return self._is_doubtful(cause, now - FIRST_TRIAL_S)

    def _is_doubtful(self, cause: str, before: float) -> bool:
        """Return whether a part may be no cause of the ends under it.

        Explanation
        ===========
        It is if they are the fewest for a quarantine, none of them in a trial,
        or if all are among mass ends.

        Parameters
        ==========
        before : float
            Monotonic time in seconds; later ends don't count as such.
        """
        incarnations = self.strikes.attribution.crashes_by_cause.get(cause, ())
        if not self._ended_at.keys() >= set(incarnations):
            # An engine ended since they were read.
            self._ended_as_of = float('-inf')
        ended_at = self._ends()
        times = {ended_at[incarnation] for incarnation in incarnations}
        if any(time > before for time in times):
            return False
        is_barely_quarantined = len(incarnations) <= STRIKES_TO_QUARANTINE
        return is_barely_quarantined or all(map(self._is_mass_end, times))

    def _is_mass_end(self, time: float) -> bool:
        together = sum(
            abs(other - time) <= TOGETHER_S for other in self._ends().values()
        )
        most = min(self._most_targets * MASS_END_SHARE, MASS_END_TARGETS)
        return together >= max(most, 1)

    def _ends(self) -> Mapping[Incarnation, float]:
        """Return when each struck engine ended, as far as this VM knows."""
        now = self.clock.monotonic()
        if now - self._ended_as_of >= ENDS_LIFETIME_S:
            ended_at: dict[Incarnation, float] = {}
            for strike, record in self.strikes.records():
                known_at = ended_at.get(strike.incarnation, record.known_at)
                ended_at[strike.incarnation] = min(known_at, record.known_at)
            self._ended_at = ended_at
            self._ended_as_of = now
        return self._ended_at
