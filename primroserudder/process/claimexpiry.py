"""How a candidate for a lease knows that another's claim has ended."""

from collections.abc import Callable
from dataclasses import dataclass, field

from .clock import Clock
from .platform import Row

CLOCK_DRIFT_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class _Sighting:
    """A foreign claim and when this process first knew of it."""

    claim: str
    seen_at: float


@dataclass(slots=True)
class ClaimExpiry:
    """What one candidate knows of the ends of others' claims.

    Explanation
    ===========
    A claim has ended a lifetime after this process first knew of it, or
    after the platform's own time that the claim carries, or when its holder
    tells that it gave it up.

    Parameters
    ==========
    platform_now_s : Callable
        The platform's time in seconds, as of its last answer.
    """

    clock: Clock
    lifetime_s: float
    platform_now_s: Callable[[], float | None]
    _sighting: _Sighting | None = field(default=None)
    _given_up: str = ''

    def note_claim(self, claim: str) -> None:
        """Note a foreign claim that its holder told of by another way."""
        if self._sighting is None or self._sighting.claim != claim:
            self._sighting = _Sighting(claim, self.clock.monotonic())

    def note_given_up(self, mark: str) -> None:
        """Note that a holder told that it has stopped to act."""
        self._given_up = mark

    def has_expired(self, row: Row) -> bool:
        """Return whether the claim in a lease's row can't hold any more."""
        return (
            self._was_given_up(row)
            or self._has_lapsed(row)
            or self._was_seen_long_ago(row)
        )

    @property
    def _patience_s(self) -> float:
        return self.lifetime_s * (1 + CLOCK_DRIFT_SHARE)

    def _was_given_up(self, row: Row) -> bool:
        fencing = int(str(row.fields['fencing']))
        mark = tenure_id(str(row.fields['holder']), fencing)
        return mark == self._given_up

    def _has_lapsed(self, row: Row) -> bool:
        renewed_s = row.fields.get('renewed_s')
        now_s = self.platform_now_s()
        if now_s is None or not isinstance(renewed_s, int | float):
            return False
        return now_s - renewed_s > self._patience_s

    def _was_seen_long_ago(self, row: Row) -> bool:
        self.note_claim(str(row.fields['claim']))
        if self._sighting is None:
            return False
        waited_s = self.clock.monotonic() - self._sighting.seen_at
        return waited_s > self._patience_s


def tenure_id(holder: str, fencing: int) -> str:
    """Return how one tenure of one holder is named.

    Examples
    ========
    >>> tenure_mark('vm-1/7', 3)
    'vm-1/7#3'
    """
    return f'{holder}#{fencing}'
