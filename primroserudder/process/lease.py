"""The lease that lets one controller act for a failure domain."""

from collections.abc import Callable
from dataclasses import dataclass, field

from .claimexpiry import CLOCK_DRIFT_SHARE, ClaimExpiry, tenure_id
from .clock import Clock
from .leaserows import (
    EraWatch,
    fencing_of,
    is_held_by,
    next_fencing,
    tenure_key,
    tenure_writes,
)
from .platform import (
    CallRefused,
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
# A sender gives up an unanswered order after this time.
ORDER_LIFETIME_S = 5
_FAILED_CALLS = (CallRefused, Conflict, OutcomeUnknown, PlatformUnavailable)


def _no_clock() -> None:
    """Return ``None``, for a platform that reports no time."""


def _no_era() -> int:
    """Return zero, for a platform that never comes back from a copy."""
    return 0


@dataclass(slots=True)
class Lease:
    """One candidate's view of the lease of a failure domain.

    Explanation
    ===========
    Clocks of two VMs are never compared. The holder counts its lease from
    before it read the row that it renews. A candidate waits a whole lifetime
    plus the bound on clock drift after it first observed the current claim.
    If the platform reports its own monotonic time with each answer, a
    renewal stores the time of that read, so that a candidate that has just
    started can detect an expired claim at once.

    A holder that the platform refuses may give up its lease. It then stops
    acting, and a candidate that it notifies need not wait.

    The tenure's row is written at each change of holder, but not at a
    renewal. All transactions of the holder are conditional on the revision
    of that row, so that a late transaction of a former holder has no effect.
    Orders to engines have no such condition. They carry the fencing token,
    and after ``prior_orders_expire_at`` no order of a former holder is in
    flight.

    A platform that comes back from a copy loses its last seconds: its era
    rises, and its revisions are given out again. A tenure then ends at once.
    What a row of an earlier era says of the holder may be outdated, so that
    only a process that held the lease until then may claim it without waiting
    for a whole lifetime. Fencing tokens skip those that may have been lost.
    The tenure's row has the token in its key, so that no revision that was
    given out again can fulfil the condition of an earlier tenure.

    Parameters
    ==========
    platform_now_s : Callable
        Returns the platform's time in seconds, as of its last answer.
    platform_era : Callable
        Returns how often the platform has come back from a copy, as of its
        last answer.
    is_after_restore : bool
        Whether the current tenure began on a row of an earlier era.
    has_survived_restore : bool
        Whether this process also held the lease when that era ended.
    failing_since : float or None
        When the current series of failed renewals began.
    given_up : str
        The id of the tenure that this process gave up, empty if none.
    """

    platform: PlatformClient
    clock: Clock
    failure_domain: str
    holder: str
    lifetime_s: float = LEASE_LIFETIME_S
    order_lifetime_s: float = ORDER_LIFETIME_S
    fencing: int = 0
    held_until: float = 0
    prior_orders_expire_at: float = 0
    tenure: Condition | None = None
    platform_now_s: Callable[[], float | None] = _no_clock
    platform_era: Callable[[], int] = _no_era
    is_after_restore: bool = False
    has_survived_restore: bool = False
    failing_since: float | None = None
    given_up: str = ''
    _renewals: int = 0
    _tenure_era: int = 0
    _eras: EraWatch = field(init=False)
    claim_expiry: ClaimExpiry = field(init=False)

    def __post_init__(self) -> None:
        """Create the checks, which have observed nothing yet."""
        self._eras = EraWatch(self.clock)
        self.claim_expiry = ClaimExpiry(
            self.clock, self.lifetime_s, self.platform_now_s
        )

    @property
    def key(self) -> str:
        """Return the key of the lease's row."""
        return f'leases/{self.failure_domain}'

    def is_held(self, for_s: float = 0) -> bool:
        """Return whether this process may act for the failure domain.

        Parameters
        ==========
        for_s : float
            Seconds from now for which the lease must still be held.
        """
        if self.platform_era() != self._tenure_era:
            return False
        return self._was_held(for_s)

    def have_prior_orders_expired(self) -> bool:
        """Return whether no order of a former holder can be in flight."""
        return self.clock.monotonic() >= self.prior_orders_expire_at

    async def renew(self) -> bool:
        """Acquire or renew the lease and return whether it is held."""
        try:
            await self._try_renew()
        except _FAILED_CALLS:
            # The next renewal reads the row again and finds what took effect.
            if self.failing_since is None:
                self.failing_since = self.clock.monotonic()
            return self.is_held()
        self.failing_since = None
        return self.is_held()

    def has_failed_for(self, seconds: float) -> bool:
        """Return whether renewals have failed for at least ``seconds``."""
        if self.failing_since is None:
            return False
        return self.clock.monotonic() - self.failing_since >= seconds

    def give_up(self) -> None:
        """Stop acting, so that another candidate may take the lease at once."""
        self.held_until = 0
        self.given_up = tenure_id(self.holder, self.fencing)

    @property
    def claim(self) -> str:
        """Return the claim of the last renewal, empty if not held."""
        return f'{self.holder}/{self._renewals}' if self.is_held() else ''

    async def release(self) -> None:
        """Clear the holder, so that a candidate can take the lease at once."""
        if not self.is_held():
            return
        self.held_until = 0
        row = await self.platform.read(self.key)
        if row is None or not is_held_by(row, self.holder):
            return
        fields = {**row.fields, 'holder': ''}
        condition = Condition(self.key, row.revision)
        write = Write(self.key, fields)
        await self.platform.commit(Transaction((condition,), (write,)))

    def _was_held(self, for_s: float = 0) -> bool:
        """Return whether the lease is held, but for a restore."""
        is_current = self.clock.monotonic() + for_s < self.held_until
        return is_current and self.tenure is not None

    async def _try_renew(self) -> None:
        requested_at = self.clock.monotonic()
        row = await self.platform.read(self.key)
        era = self.platform_era()
        self._eras.note(era)
        if not self._may_claim(row, era):
            return
        is_renewal = is_held_by(row, self.holder) and self.is_held()
        fencing = fencing_of(row) if is_renewal else next_fencing(row, era)
        claim = self._next_claim()
        await self._commit(row, claim, fencing, is_renewal=is_renewal)
        if not is_renewal:
            await self._begin_tenure(row, fencing, era)
        self.held_until = requested_at + self.lifetime_s * (
            1 - CLOCK_DRIFT_SHARE
        )
        self.given_up = ''

    async def _commit(
        self,
        row: Row | None,
        claim: str,
        fencing: int,
        *,
        is_renewal: bool,
    ) -> None:
        fields = {
            'holder': self.holder,
            'fencing': fencing,
            'claim': claim,
            'renewed_s': self.platform_now_s(),
            'era': self.platform_era(),
        }
        lease = Write(self.key, fields)
        revision = 0 if row is None else row.revision
        condition = Condition(self.key, revision)
        transaction = Transaction((condition,), (lease,))
        if not is_renewal:
            changed = tenure_writes(self.failure_domain, row, fields)
            transaction = Transaction((condition,), (lease, *changed))
        elif self.tenure is not None:
            transaction = Transaction((condition, self.tenure), (lease,))
        try:
            await self.platform.commit(transaction)
        except OutcomeUnknown:
            written = await self.platform.read(self.key)
            if written is None or written.fields['claim'] != claim:
                raise

    async def _begin_tenure(
        self, before: Row | None, fencing: int, era: int
    ) -> None:
        has_survived = self._was_held()
        self.tenure = None
        row = await self.platform.read(tenure_key(self.failure_domain, fencing))
        if row is None or self.platform_era() != era:
            raise Conflict('another candidate took the lease in the meantime')
        self.is_after_restore = self._eras.is_outdated(before, era)
        self.has_survived_restore = self.is_after_restore and has_survived
        self.fencing = fencing
        self.tenure = Condition(row.key, row.revision)
        self._tenure_era = era
        wait_s = 0 if before is None else self.order_lifetime_s
        self.prior_orders_expire_at = self.clock.monotonic() + wait_s

    def _next_claim(self) -> str:
        self._renewals += 1
        return f'{self.holder}/{self._renewals}'

    def _may_claim(self, row: Row | None, era: int) -> bool:
        if self._eras.is_outdated(row, era):
            if self._was_held():
                return True
            since = self._eras.restored_at
            return self.claim_expiry.has_expired_since(row, since)
        if (
            row is None
            or is_held_by(row, self.holder)
            or not row.fields['holder']
        ):
            return True
        return self.claim_expiry.has_expired(row)
