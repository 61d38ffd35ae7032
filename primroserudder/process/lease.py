"""The lease by which one controller acts for a failure domain."""

from dataclasses import dataclass, field

from .clock import Clock
from .platform import (
    Condition,
    Conflict,
    OutcomeUnknown,
    PlatformClient,
    PlatformUnavailable,
    Row,
    Transaction,
    Write,
)

LEASE_LIFETIME_S = 10
LEASE_RENEWAL_S = 3
CLOCK_DRIFT_SHARE = 0.01


@dataclass(slots=True)
class _Sighting:
    """A foreign lease row and when this process first saw it."""

    claim: str
    seen_at: float


@dataclass(slots=True)
class Lease:
    """One failure domain's lease, as one candidate sees it.

    Explanation
    ===========
    Clocks of two machines are never compared. The holder counts its lease
    from before it sent the renewal; a candidate waits a whole lifetime plus
    the bound on drift after it first saw the current claim.
    """

    platform: PlatformClient
    clock: Clock
    failure_domain: str
    holder: str
    fencing: int = 0
    held_until: float = 0
    _renewals: int = 0
    _sighting: _Sighting | None = field(default=None)

    @property
    def key(self) -> str:
        """Return the key of the lease's row."""
        return f'leases/{self.failure_domain}'

    def is_held(self) -> bool:
        """Return whether this process may act for the failure domain."""
        return self.clock.monotonic() < self.held_until

    async def renew(self) -> bool:
        """Take or renew the lease and return whether it is held."""
        try:
            await self._try_renew()
        except (Conflict, OutcomeUnknown, PlatformUnavailable):
            # The next renewal reads the row and sees what took effect.
            return self.is_held()
        return self.is_held()

    async def _try_renew(self) -> None:
        row = await self.platform.read(self.key)
        if not self._may_claim(row):
            return
        asked_at = self.clock.monotonic()
        fencing = self._next_fencing(row)
        await self.platform.commit(self._claim(row, fencing))
        self.fencing = fencing
        self.held_until = asked_at + LEASE_LIFETIME_S * (1 - CLOCK_DRIFT_SHARE)

    def _next_fencing(self, row: Row | None) -> int:
        if row is None:
            return 1
        fencing = int(str(row.fields['fencing']))
        is_own = row.fields['holder'] == self.holder and self.is_held()
        return fencing if is_own else fencing + 1

    def _claim(self, row: Row | None, fencing: int) -> Transaction:
        self._renewals += 1
        fields = {
            'holder': self.holder,
            'fencing': fencing,
            'claim': f'{self.holder}/{self._renewals}',
        }
        revision = 0 if row is None else row.revision
        return Transaction(
            conditions=(Condition(self.key, revision),),
            writes=(Write(self.key, fields),),
        )

    def _may_claim(self, row: Row | None) -> bool:
        if row is None or row.fields['holder'] == self.holder:
            return True
        claim = str(row.fields['claim'])
        now = self.clock.monotonic()
        if self._sighting is None or self._sighting.claim != claim:
            self._sighting = _Sighting(claim, now)
        waited = now - self._sighting.seen_at
        return waited > LEASE_LIFETIME_S * (1 + CLOCK_DRIFT_SHARE)
