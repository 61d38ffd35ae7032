"""Tests of limits, of their shares and loans, and of the retry budget."""

import random

import pytest

from ...testing.builders import DEPLOYMENT, SERVICE, WORKSPACE, caller_request
from ...testing.decisionbench import SteppedClock
from ...version.document import Limits, Service
from ..limits import Limiter, LimitReached
from ..limitshares import LEASE_S, LimitAmount, LimitKey, LimitKind, LimitShares
from ..retries import RetryBudget

KEYS = tuple(LimitKey(WORKSPACE, SERVICE, kind) for kind in LimitKind)
LIMIT = 30


def make_entries(count: int) -> list[LimitShares]:
    names = [f'e{index}' for index in range(count)]
    entries = names.copy
    return [LimitShares(name, entries, _limit_of) for name in names]


def _limit_of(key: LimitKey) -> float:
    return LIMIT


def make_limiter(limit_shares: LimitShares | None = None) -> Limiter:
    return Limiter(SteppedClock(), limit_shares or LimitShares('e0'))


def with_limits(**limits: object) -> dict[str, object]:
    validated = Limits.model_validate(limits)
    service = Service(deployment=DEPLOYMENT, limits=validated)
    return {'service': service}


@pytest.mark.parametrize('seed', range(20))
def test_shares_never_exceed_the_limit(seed: int) -> None:
    rng = random.Random(seed)
    entries = make_entries(6)
    now: float = 0
    total_borrowed: float = 0
    for _ in range(400):
        now += rng.choice((0, 0.1, 1, LEASE_S))
        key = rng.choice(KEYS)
        borrower, lender = rng.sample(entries, 2)
        borrower.note_demand(key, LIMIT, rng.choice((1, 20, 200)), now)
        requested_at = now
        now += rng.choice((0, 0.5, 2 * LEASE_S))
        granted = lender.lend(borrower.unmet_demand(requested_at), now)
        # A lost reply reduces the lender's share, but increases no other share.
        if rng.randrange(5):
            borrower.borrow(granted, requested_at)
            total_borrowed += sum(part.amount for part in granted)
        for checked_key in KEYS:
            shares = [entry.share(checked_key, LIMIT, now) for entry in entries]
            assert sum(shares) <= LIMIT + 1e-9
    assert total_borrowed > 0


def test_partitioned_entry_falls_back_to_its_own_share() -> None:
    busy, idle, _ = make_entries(3)
    key = KEYS[0]
    busy.note_demand(key, LIMIT, 1000, 0)
    busy.borrow(idle.lend(busy.unmet_demand(0), 0), 0)
    assert busy.share(key, LIMIT, 1) > LIMIT / 3
    assert busy.share(key, LIMIT, LEASE_S) == LIMIT / 3
    # The lender's lease ends later than the borrower's.
    assert idle.share(key, LIMIT, LEASE_S) < LIMIT / 3
    assert idle.share(key, LIMIT, LEASE_S * 1.1) == LIMIT / 3


def test_entry_lends_only_what_its_own_callers_do_not_need() -> None:
    busy, other = make_entries(2)
    key = KEYS[0]
    other.note_demand(key, LIMIT, 1000, 0)
    assert not other.lend([LimitAmount(key, 10)], 0)
    assert busy.lend([LimitAmount(key, 10)], 0) == [LimitAmount(key, 10)]


def test_admitted_rate_matches_limit_over_time() -> None:
    limiter = make_limiter()
    admitted = 0
    for step in range(1000):
        limiter.clock.now = step / 100  # type: ignore[attr-defined]
        try:
            limiter.acquire(caller_request(**with_limits(requests_per_s=5)))
        except LimitReached:
            continue
        admitted += 1
    assert 45 <= admitted <= 55


def test_refusal_at_token_limit_has_time_to_retry_after() -> None:
    limiter = make_limiter()
    request = caller_request(max_tokens=99, **with_limits(tokens_per_s=10))
    limiter.acquire(request)
    with pytest.raises(LimitReached, match='10.0 per second') as refused:
        limiter.acquire(request)
    assert refused.value.retry_after == 9
    limiter.clock.now = 10  # type: ignore[attr-defined]
    limiter.acquire(request)


def test_ended_request_releases_concurrency() -> None:
    limiter = make_limiter()
    request = caller_request(**with_limits(concurrency=2))
    for _ in range(2):
        limiter.acquire(request)
    with pytest.raises(LimitReached):
        limiter.acquire(request)
    limiter.release(request)
    limiter.acquire(request)


def test_refused_request_is_not_counted() -> None:
    limiter = make_limiter()
    request = caller_request(**with_limits(concurrency=1, requests_per_s=100))
    limiter.acquire(request)
    for _ in range(200):
        with pytest.raises(LimitReached):
            limiter.acquire(request)
    bucket = limiter.buckets_by_key[KEYS[0]]
    assert bucket.level == 99


def test_retry_budget_prevents_retry_storm() -> None:
    budget = RetryBudget()
    retries = sum(budget.take() for _ in range(10_000))
    assert retries == budget.burst
    for _ in range(100):
        budget.note_success()
    assert sum(budget.take() for _ in range(100)) == 100 * budget.per_success
