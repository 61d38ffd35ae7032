"""The lease that lets one controller act for a failure domain."""

from collections.abc import Callable
from dataclasses import dataclass, field

from .claimexpiry import CLOCK_DRIFT_SHARE, ClaimExpiry, tenure_id
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
# A sender gives up an unanswered order after this time.
ORDER_LIFETIME_S = 5


def _no_clock() -> None:
    """Return ``None``, for a platform that reports no time."""


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

    Parameters
    ==========
    platform_now_s : Callable
        Returns the platform's time in seconds, as of its last answer.
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
    failing_since: float | None = None
    given_up: str = ''
    _renewals: int = 0
    claim_expiry: ClaimExpiry = field(init=False)

    def __post_init__(self) -> None:
        """Create the expiry check, which has observed no claim yet."""
        self.claim_expiry = ClaimExpiry(
            self.clock, self.lifetime_s, self.platform_now_s
        )

    @property
    def key(self) -> str:
        """Return the key of the lease's row."""
        return f'leases/{self.failure_domain}'

    @property
    def tenure_key(self) -> str:
        """Return the key of the tenure's row."""
        return f'tenures/{self.failure_domain}'

    def is_held(self, for_s: float = 0) -> bool:
        """Return whether this process may act for the failure domain.

        Parameters
        ==========
        for_s : float
            Seconds from now for which the lease must still be held.
        """
        is_current = self.clock.monotonic() + for_s < self.held_until
        return is_current and self.tenure is not None

    def have_prior_orders_expired(self) -> bool:
        """Return whether no order of a former holder can be in flight."""
        return self.clock.monotonic() >= self.prior_orders_expire_at

    async def renew(self) -> bool:
        """Acquire or renew the lease and return whether it is held."""
        try:
            await self._try_renew()
        except (Conflict, OutcomeUnknown, PlatformUnavailable):
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
        if row is None or not _is_held_by(row, self.holder):
            return
        fields = {**row.fields, 'holder': ''}
        condition = Condition(self.key, row.revision)
        write = Write(self.key, fields)
        await self.platform.commit(Transaction((condition,), (write,)))

    async def _try_renew(self) -> None:
        requested_at = self.clock.monotonic()
        row = await self.platform.read(self.key)
        if not self._may_claim(row):
            return
        is_renewal = _is_held_by(row, self.holder) and self.is_held()
        fencing = _fencing(row) if is_renewal else _fencing(row) + 1
        claim = self._next_claim()
        await self._commit(row, claim, fencing, is_renewal=is_renewal)
        if not is_renewal:
            await self._begin_tenure(row, fencing)
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
        }
        lease = Write(self.key, fields)
        tenure = Write(self.tenure_key, fields)
        revision = 0 if row is None else row.revision
        transaction = Transaction(
            conditions=(Condition(self.key, revision),),
            writes=(lease,) if is_renewal else (lease, tenure),
        )
        try:
            await self.platform.commit(transaction)
        except OutcomeUnknown:
            written = await self.platform.read(self.key)
            if written is None or written.fields['claim'] != claim:
                raise

    async def _begin_tenure(self, before: Row | None, fencing: int) -> None:
        self.tenure = None
        row = await self.platform.read(self.tenure_key)
        if row is None or _fencing(row) != fencing:
            raise Conflict('another candidate took the lease in the meantime')
        self.fencing = fencing
        self.tenure = Condition(self.tenure_key, row.revision)
        wait_s = 0 if before is None else self.order_lifetime_s
        self.prior_orders_expire_at = self.clock.monotonic() + wait_s

    def _next_claim(self) -> str:
        self._renewals += 1
        return f'{self.holder}/{self._renewals}'

    def _may_claim(self, row: Row | None) -> bool:
        if (
            row is None
            or _is_held_by(row, self.holder)
            or not row.fields['holder']
        ):
            return True
        return self.claim_expiry.has_expired(row)


def _fencing(row: Row | None) -> int:
    return 0 if row is None else int(str(row.fields['fencing']))


def _is_held_by(row: Row | None, holder: str) -> bool:
    return row is not None and row.fields['holder'] == holder
