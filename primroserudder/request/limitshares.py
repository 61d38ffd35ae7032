"""Shares of site-wide limits that this entry owns, lends and borrows."""

import enum
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from ..version.holder import VersionHolder

LEASE_S = 5.0
# The lender's lease outlasts the borrower's even if their clocks run at
# slightly different rates, so that no share is used twice.
LENDER_MARGIN = 1.02
RENEW_BEFORE_S = 2.0
DEMAND_WINDOW_S = 2.0
DEMAND_HEADROOM = 1.25


class LimitKind(enum.StrEnum):
    """Quantity that a limit applies to."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'
    CONCURRENCY = 'concurrency'


class LimitKey(NamedTuple):
    """Key of one limit of one service of a workspace."""

    workspace: str
    service: str
    kind: LimitKind


class Loan(NamedTuple):
    """Part of a limit that is on loan until a monotonic time in seconds."""

    amount: float
    expires_at: float


class LimitAmount(NamedTuple):
    """Part of a limit that an entry requests or is lent."""

    key: LimitKey
    amount: float


def zero_limit(key: LimitKey) -> float:
    """Return a limit of zero, for an entry without a configuration."""
    return 0


def no_peers() -> Sequence[str]:
    """Return no other entries, for an entry that runs alone."""
    return ()


@dataclass(slots=True)
class LimitShare:
    """State of one limit at one entry: loans and measured demand."""

    limit: float = 0
    running: int = 0
    lent: list[Loan] = field(default_factory=list)
    borrowed: list[Loan] = field(default_factory=list)
    current_demand: float = 0
    previous_demand: float = 0
    window_start: float = 0

    def lent_amount(self, now: float) -> float:
        """Return how much of this entry's own share is lent to others."""
        self.lent = [loan for loan in self.lent if loan.expires_at > now]
        return sum(loan.amount for loan in self.lent)

    def borrowed_amount(self, now: float) -> float:
        """Return how much this entry has borrowed from others."""
        self.borrowed = [
            loan for loan in self.borrowed if loan.expires_at > now
        ]
        return sum(loan.amount for loan in self.borrowed)

    def roll_window(self, now: float) -> None:
        """Start a new demand window if the current one has ended."""
        elapsed = now - self.window_start
        if elapsed < DEMAND_WINDOW_S:
            return
        is_consecutive = elapsed < 2 * DEMAND_WINDOW_S
        self.previous_demand = self.current_demand if is_consecutive else 0
        self.current_demand = 0
        self.window_start = now


@dataclass(slots=True)
class LimitShares:
    """Shares of all limits that this entry enforces.

    Explanation
    ===========
    Each known entry owns an equal part of a rate limit. The units of a
    concurrency limit are assigned to entries by rendezvous hashing. Neither
    needs a coordinator. An entry lends the part that it doesn't need for
    ``LEASE_S``, and deducts it from its own share for ``LENDER_MARGIN`` times
    as long. The borrower's lease starts at the time before it sent its
    request, so that it ends first. An entry that is partitioned from the
    others falls back to its own share when its leases expire. ``entries``
    returns all entries that may be alive, including unreachable ones.
    """

    own_id: str = ''
    entries: Callable[[], Iterable[str]] = field(default=no_peers)
    limit_of: Callable[[LimitKey], float] = field(default=zero_limit)
    by_key: dict[LimitKey, LimitShare] = field(default_factory=dict)

    def entry_count(self) -> int:
        """Return the number of entries that a limit is divided among."""
        return len({*self.entries(), self.own_id})

    def get_or_add(self, key: LimitKey, limit: float) -> LimitShare:
        """Return this entry's state of a limit; create it if necessary."""
        state = self.by_key.setdefault(key, LimitShare())
        state.limit = limit
        return state

    def share(self, key: LimitKey, limit: float, now: float) -> float:
        """Return how much of a limit this entry may use now."""
        state = self.get_or_add(key, limit)
        owned = self._owned(key, limit)
        lent = state.lent_amount(now)
        return max(0, owned - lent) + state.borrowed_amount(now)

    def note_demand(
        self,
        key: LimitKey,
        limit: float,
        amount: float,
        now: float,
    ) -> None:
        """Record the demand of callers, whether it is admitted or not.

        Explanation
        ===========
        For a concurrency limit, ``amount`` is the number of requests that
        would run at the same time.
        """
        state = self.get_or_add(key, limit)
        state.roll_window(now)
        if key.kind is LimitKind.CONCURRENCY:
            state.current_demand = max(state.current_demand, amount)
        else:
            state.current_demand += amount

    def unmet_demand(self, now: float) -> Sequence[LimitAmount]:
        """Return by how much the measured demand exceeds the share."""
        unmet = []
        for key, state in self.by_key.items():
            unexpired = [
                loan.amount
                for loan in state.borrowed
                if loan.expires_at > now + RENEW_BEFORE_S
            ]
            own = max(0, self._owned(key, state.limit) - state.lent_amount(now))
            deficit = self._demand(key, state, now) - own - sum(unexpired)
            if deficit > 0:
                unmet.append(LimitAmount(key, min(deficit, state.limit)))
        return unmet

    def lend(
        self, requested: Iterable[LimitAmount], now: float
    ) -> Sequence[LimitAmount]:
        """Lend a peer what it requests, up to the unused part of the share."""
        return [
            LimitAmount(request.key, amount)
            for request in requested
            if (amount := self._lend(request, now)) > 0
        ]

    def borrow(
        self, granted: Iterable[LimitAmount], requested_at: float
    ) -> None:
        """Record what a peer lends; the lease starts at the request time."""
        for part in granted:
            state = self.by_key.get(part.key)
            if state is not None:
                loan = Loan(part.amount, requested_at + LEASE_S)
                state.borrowed.append(loan)

    def dump(self, now: float) -> Mapping[str, object]:
        """Return all shares for the state dump."""
        return {
            '/'.join(key): {
                'limit': state.limit,
                'share': round(self.share(key, state.limit, now), 3),
                'lent': round(state.lent_amount(now), 3),
                'borrowed': round(state.borrowed_amount(now), 3),
            }
            for key, state in self.by_key.items()
        }

    def _owned(self, key: LimitKey, limit: float) -> float:
        entries = sorted({*self.entries(), self.own_id})
        if key.kind is not LimitKind.CONCURRENCY:
            return limit / len(entries)
        units = range(int(limit))
        return sum(
            1
            for unit in units
            if _home_entry(key, unit, entries) == self.own_id
        )

    def _lend(self, request: LimitAmount, now: float) -> float:
        limit = self.limit_of(request.key)
        state = self.get_or_add(request.key, limit)
        owned = self._owned(request.key, limit)
        demand = self._demand(request.key, state, now)
        spare = owned - state.lent_amount(now) - demand
        amount = min(spare, request.amount)
        if request.key.kind is LimitKind.CONCURRENCY:
            amount = int(amount)
        if amount <= 0:
            return 0
        state.lent.append(Loan(amount, now + LEASE_S * LENDER_MARGIN))
        return amount

    def _demand(self, key: LimitKey, state: LimitShare, now: float) -> float:
        state.roll_window(now)
        peak = max(state.current_demand, state.previous_demand, state.running)
        if key.kind is LimitKind.CONCURRENCY:
            return peak
        return DEMAND_HEADROOM * peak / DEMAND_WINDOW_S


def _home_entry(key: LimitKey, unit: int, entries: Sequence[str]) -> str:
    name = '/'.join(key)
    return max(
        entries,
        key=lambda entry: xxhash.xxh3_64_intdigest(
            f'{name}/{unit}/{entry}'.encode(),
        ),
    )


def configured_limit(holder: VersionHolder, key: LimitKey) -> float:
    """Return a limit of the active configuration, or 0 if it has none."""
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
