"""The lease that lets one controller act for a failure domain."""

from collections.abc import Callable
from dataclasses import dataclass, field

from .claimexpiry import CLOCK_DRIFT_SHARE, ClaimExpiry, tenure_id
from .clock import Clock
from .leaserows import EraWatch, is_held_by, is_of_tenure, next_fencing
from .leasetable import LeaseTable
from .platform import (
    CallRefused,
    Condition,
    Conflict,
    JsonObject,
    OutcomeUnknown,
    PlatformClient,
    PlatformUnavailable,
    Row,
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


def _no_token() -> int:
    """Return zero, where only the platform's rows tell of tokens."""
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

    A claim of an earlier era that takes effect late may put its token into the
    lease's row. A renewal is therefore one of a row that has the holder's own
    token and era, and a new tenure's token is higher than all that are known:
    by that row, by the rows of tenures, by what this process held, and by
    ``known_fencing``. A holder that learns of a higher token than its own ends
    its tenure and begins one above it.

    Parameters
    ==========
    platform_now_s : Callable
        Returns the platform's time in seconds, as of its last answer.
    platform_era : Callable
        Returns how often the platform has come back from a copy, as of its
        last answer.
    known_fencing : Callable
        Returns the highest token that is known from elsewhere.
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
    known_fencing: Callable[[], int] = _no_token
    is_after_restore: bool = False
    has_survived_restore: bool = False
    failing_since: float | None = None
    given_up: str = ''
    _renewals: int = 0
    _min_fencing: int = 0
    _tenure_era: int = 0
    _eras: EraWatch = field(init=False)
    _table: LeaseTable = field(init=False)
    claim_expiry: ClaimExpiry = field(init=False)

    def __post_init__(self) -> None:
        """Create the checks, which have observed nothing yet."""
        self._eras = EraWatch(self.clock)
        self._table = LeaseTable(self.platform, self.failure_domain)
        self.claim_expiry = ClaimExpiry(
            self.clock, self.lifetime_s, self.platform_now_s
        )

    @property
    def key(self) -> str:
        """Return the key of the lease's row."""
        return self._table.key

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

    def surpass(self, fencing: int) -> None:
        """End the tenure; the next one's token is higher than ``fencing``."""
        self._min_fencing = max(self._min_fencing, fencing)

    @property
    def claim(self) -> str:
        """Return the claim of the last renewal, empty if not held."""
        return f'{self.holder}/{self._renewals}' if self.is_held() else ''

    async def release(self) -> None:
        """Clear the holder, so that a candidate can take the lease at once."""
        if not self.is_held() or self.tenure is None:
            return
        self.held_until = 0
        row = await self._table.read()
        era = self._tenure_era
        if row and is_of_tenure(row, self.holder, self.fencing, era):
            await self._table.release(row, self.tenure)

    def _was_held(self, for_s: float = 0) -> bool:
        """Return whether the lease is held, but for a restore."""
        if self.tenure is None or self.fencing <= self._min_fencing:
            return False
        return self.clock.monotonic() + for_s < self.held_until

    async def _try_renew(self) -> None:
        requested_at = self.clock.monotonic()
        row = await self._table.read()
        era = self.platform_era()
        self._eras.note(era)
        if not self._may_claim(row, era):
            return
        tenure = self.tenure
        is_own = is_of_tenure(row, self.holder, self.fencing, era)
        if row and tenure and is_own and self.is_held():
            fields = self._next_fields(self.fencing, era)
            await self._table.renew(row, tenure, fields)
        else:
            await self._begin_tenure(row, era)
        self.held_until = requested_at + self.lifetime_s * (
            1 - CLOCK_DRIFT_SHARE
        )
        self.given_up = ''

    async def _begin_tenure(self, before: Row | None, era: int) -> None:
        tokens = await self._table.read_tokens()
        if self.platform_era() != era:
            raise Conflict('the platform came back from a copy')
        known = (
            *tokens,
            self.fencing,
            self._min_fencing,
            self.known_fencing(),
        )
        fencing = max(next_fencing(before, era), max(known) + 1)
        fields = self._next_fields(fencing, era)
        await self._table.claim(before, tokens, fields)
        has_survived = self._was_held()
        self.tenure = None
        row = await self._table.read_tenure(fencing)
        if row is None or self.platform_era() != era:
            raise Conflict('another candidate took the lease in the meantime')
        self.is_after_restore = self._eras.is_outdated(before, era)
        self.has_survived_restore = self.is_after_restore and has_survived
        self.fencing = fencing
        self.tenure = Condition(row.key, row.revision)
        self._tenure_era = era
        wait_s = 0 if before is None else self.order_lifetime_s
        self.prior_orders_expire_at = self.clock.monotonic() + wait_s

    def _next_fields(self, fencing: int, era: int) -> JsonObject:
        """Return the fields of the lease's row for the next claim."""
        self._renewals += 1
        return {
            'holder': self.holder,
            'fencing': fencing,
            'claim': f'{self.holder}/{self._renewals}',
            'renewed_s': self.platform_now_s(),
            'era': era,
        }

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
