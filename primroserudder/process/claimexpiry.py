"""Detects that the claim of another candidate on a lease has expired."""

from collections.abc import Callable
from dataclasses import dataclass, field

from .clock import Clock
from .platform import Row

CLOCK_DRIFT_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class _ObservedClaim:
    """A claim of another candidate and when it was first observed."""

    claim: str
    first_seen_at: float


@dataclass(slots=True)
class ClaimExpiry:
    """Decides for one candidate whether another claim has expired.

    Explanation
    ===========
    A claim has expired when it was given up by its holder, or one lifetime
    after the platform time that it carries, or one lifetime after this
    process first observed it. Both waits are extended by the bound on clock
    drift.

    Parameters
    ==========
    platform_now_s : Callable
        Returns the platform's time in seconds, as of its last answer.
    """

    clock: Clock
    lifetime_s: float
    platform_now_s: Callable[[], float | None]
    _observed: _ObservedClaim | None = field(default=None)
    _given_up_tenure: str = ''

    def note_claim(self, claim: str) -> None:
        """Record a claim that its holder announced to this process."""
        if self._observed is None or self._observed.claim != claim:
            self._observed = _ObservedClaim(claim, self.clock.monotonic())

    def note_given_up(self, tenure: str) -> None:
        """Record that a holder gave up the lease in the given tenure."""
        self._given_up_tenure = tenure

    def has_expired(self, row: Row) -> bool:
        """Return whether the claim in a lease's row has expired."""
        return (
            self._was_given_up(row)
            or self._has_expired_by_platform_time(row)
            or self._is_unrenewed(row)
        )

    def has_expired_since(self, row: Row | None, since: float) -> bool:
        """Return whether no claim was renewed for a lifetime after a time.

        Explanation
        ===========
        For a row that may not show the last claim: only what this process
        observed after ``since``, a monotonic time, counts.
        """
        self.note_claim('' if row is None else str(row.fields['claim']))
        if self._observed is None:
            return False
        began_at = max(self._observed.first_seen_at, since)
        return self.clock.monotonic() - began_at > self._max_age_s

    @property
    def _max_age_s(self) -> float:
        return self.lifetime_s * (1 + CLOCK_DRIFT_SHARE)

    def _was_given_up(self, row: Row) -> bool:
        fencing = int(str(row.fields['fencing']))
        tenure = tenure_id(str(row.fields['holder']), fencing)
        return tenure == self._given_up_tenure

    def _has_expired_by_platform_time(self, row: Row) -> bool:
        renewed_s = row.fields.get('renewed_s')
        now_s = self.platform_now_s()
        if now_s is None or not isinstance(renewed_s, int | float):
            return False
        return now_s - renewed_s > self._max_age_s

    def _is_unrenewed(self, row: Row) -> bool:
        self.note_claim(str(row.fields['claim']))
        if self._observed is None:
            return False
        observed_s = self.clock.monotonic() - self._observed.first_seen_at
        return observed_s > self._max_age_s


def tenure_id(holder: str, fencing: int) -> str:
    """Return the id of one tenure: the holder and its fencing token.

    Examples
    ========
    >>> tenure_id('vm-1/7', 3)
    'vm-1/7#3'
    """
    return f'{holder}#{fencing}'
