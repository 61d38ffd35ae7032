"""This entry's shares of site-wide limits, and what it lends and borrows."""

import enum
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from ..version.holder import VersionHolder

LEASE_S = 5.0
# The lender waits a little longer than the borrower, whatever their clocks.
LENDER_MARGIN = 1.02
RENEW_BEFORE_S = 2.0
DEMAND_WINDOW_S = 2.0
DEMAND_HEADROOM = 1.25


class LimitKind(enum.StrEnum):
    """What a limit counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'
    CONCURRENCY = 'concurrency'


class LimitKey(NamedTuple):
    """One limit of one service of a workspace."""

    workspace: str
    service: str
    kind: LimitKind


class Loan(NamedTuple):
    """A part of a limit that has moved until a time."""

    amount: float
    until: float


class LimitAmount(NamedTuple):
    """A part of a limit that an entry asks for or gets."""

    key: LimitKey
    amount: float


def no_limit(key: LimitKey) -> float:
    """Return no part of any limit, for an entry without a configuration."""
    return 0


def no_entries() -> Sequence[str]:
    """Return nobody, for an entry that is alone."""
    return ()


@dataclass(slots=True)
class LimitShare:
    """One limit as one entry holds it."""

    limit: float = 0
    running: int = 0
    lent: list[Loan] = field(default_factory=list)
    borrowed: list[Loan] = field(default_factory=list)
    offered: float = 0
    offered_before: float = 0
    counted_since: float = 0

    def lent_amount(self, now: float) -> float:
        """Return what others hold of this entry's own part."""
        self.lent = [loan for loan in self.lent if loan.until > now]
        return sum(loan.amount for loan in self.lent)

    def borrowed_amount(self, now: float) -> float:
        """Return what this entry holds of the others' parts."""
        self.borrowed = [loan for loan in self.borrowed if loan.until > now]
        return sum(loan.amount for loan in self.borrowed)

    def roll(self, now: float) -> None:
        """Begin a new window of the demand if the present one is over."""
        passed = now - self.counted_since
        if passed < DEMAND_WINDOW_S:
            return
        is_next = passed < 2 * DEMAND_WINDOW_S
        self.offered_before = self.offered if is_next else 0
        self.offered = 0
        self.counted_since = now


@dataclass(slots=True)
class LimitShares:
    """All limits of which this entry holds a share.

    Explanation
    ===========
    Each known entry owns an equal part of a rate, and the units of a
    concurrency limit have their homes by rendezvous hash, so that nobody has
    to hand anything out. An entry lends what it doesn't need, for
    ``LEASE_S``; until then, and a little longer, it counts the part as gone.
    The borrower counts it from before it asked. An entry that is cut off falls
    back to its own part when its leases lapse. ``entries`` names all entries
    that may be alive, those that can't be reached included.
    """

    own_id: str = ''
    entries: Callable[[], Iterable[str]] = field(default=no_entries)
    limit_of: Callable[[LimitKey], float] = field(default=no_limit)
    by_key: dict[LimitKey, LimitShare] = field(default_factory=dict)

    def known_entries(self) -> int:
        """Return among how many entries a limit is divided."""
        return len({*self.entries(), self.own_id})

    def held(self, key: LimitKey, limit: float) -> LimitShare:
        """Return what this entry knows of a limit."""
        known = self.by_key.setdefault(key, LimitShare())
        known.limit = limit
        return known

    def share(self, key: LimitKey, limit: float, now: float) -> float:
        """Return what this entry may use now."""
        held = self.held(key, limit)
        owned = self._owned(key, limit)
        lent = held.lent_amount(now)
        return max(0, owned - lent) + held.borrowed_amount(now)

    def note_demand(
        self,
        key: LimitKey,
        limit: float,
        amount: float,
        now: float,
    ) -> None:
        """Count what callers ask for, admitted or not.

        Explanation
        ===========
        For a concurrency limit ``amount`` is what would run at once.
        """
        held = self.held(key, limit)
        held.roll(now)
        if key.kind is LimitKind.CONCURRENCY:
            held.offered = max(held.offered, amount)
        else:
            held.offered += amount

    def unmet_demand(self, now: float) -> Sequence[LimitAmount]:
        """Return what this entry lacks for the demand that it sees."""
        found = []
        for key, held in self.by_key.items():
            lasting = [
                loan.amount
                for loan in held.borrowed
                if loan.until > now + RENEW_BEFORE_S
            ]
            own = max(0, self._owned(key, held.limit) - held.lent_amount(now))
            lack = self._demand(key, held, now) - own - sum(lasting)
            if lack > 0:
                found.append(LimitAmount(key, min(lack, held.limit)))
        return found

    def lend(
        self, asks: Iterable[LimitAmount], now: float
    ) -> Sequence[LimitAmount]:
        """Give what can be spared of what a peer asks for."""
        return [
            LimitAmount(ask.key, amount)
            for ask in asks
            if (amount := self._lend(ask, now)) > 0
        ]

    def borrow(self, granted: Iterable[LimitAmount], asked_at: float) -> None:
        """Take over what a peer lends, from before it was asked."""
        for ask in granted:
            held = self.by_key.get(ask.key)
            if held is not None:
                loan = Loan(ask.amount, asked_at + LEASE_S)
                held.borrowed.append(loan)

    def dump(self, now: float) -> Mapping[str, object]:
        """Return all shares for the state dump."""
        return {
            '/'.join(key): {
                'limit': held.limit,
                'share': round(self.share(key, held.limit, now), 3),
                'lent': round(held.lent_amount(now), 3),
                'borrowed': round(held.borrowed_amount(now), 3),
            }
            for key, held in self.by_key.items()
        }

    def _owned(self, key: LimitKey, limit: float) -> float:
        entries = sorted({*self.entries(), self.own_id})
        if key.kind is not LimitKind.CONCURRENCY:
            return limit / len(entries)
        units = range(int(limit))
        return sum(
            1 for unit in units if _home(key, unit, entries) == self.own_id
        )

    def _lend(self, ask: LimitAmount, now: float) -> float:
        limit = self.limit_of(ask.key)
        held = self.held(ask.key, limit)
        owned = self._owned(ask.key, limit)
        demand = self._demand(ask.key, held, now)
        spare = owned - held.lent_amount(now) - demand
        amount = min(spare, ask.amount)
        if ask.key.kind is LimitKind.CONCURRENCY:
            amount = int(amount)
        if amount <= 0:
            return 0
        held.lent.append(Loan(amount, now + LEASE_S * LENDER_MARGIN))
        return amount

    def _demand(self, key: LimitKey, held: LimitShare, now: float) -> float:
        held.roll(now)
        peak = max(held.offered, held.offered_before, held.running)
        if key.kind is LimitKind.CONCURRENCY:
            return peak
        return DEMAND_HEADROOM * peak / DEMAND_WINDOW_S


def _home(key: LimitKey, unit: int, entries: Sequence[str]) -> str:
    name = '/'.join(key)
    return max(
        entries,
        key=lambda entry: xxhash.xxh3_64_intdigest(
            f'{name}/{unit}/{entry}'.encode(),
        ),
    )


def configured_limit(holder: VersionHolder, key: LimitKey) -> float:
    """Return a limit of the configuration in force; zero if there is none."""
    by_workspace = holder.current.rendered.services_by_workspace
    service = by_workspace.get(key.workspace, {}).get(key.service)
    if service is None:
        return 0
    limits_by_kind = {
        LimitKind.REQUESTS: service.limits.requests_per_s,
        LimitKind.TOKENS: service.limits.tokens_per_s,
        LimitKind.CONCURRENCY: service.limits.concurrency,
    }
    return limits_by_kind[key.kind] or 0
