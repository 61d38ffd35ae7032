"""Tests of limits and of how entries share them."""

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


def site(count: int) -> list[LimitShares]:
    names = [f'e{index}' for index in range(count)]
    entries = names.copy
    return [LimitShares(name, entries, _limit_of) for name in names]


def _limit_of(key: LimitKey) -> float:
    return LIMIT


def limiter(allotments: LimitShares | None = None) -> Limiter:
    return Limiter(SteppedClock(), allotments or LimitShares('e0'))


def limited(**limits: object) -> dict[str, object]:
    checked = Limits.model_validate(limits)
    service = Service(deployment=DEPLOYMENT, limits=checked)
    return {'service': service}


@pytest.mark.parametrize('seed', range(20))
def test_shares_never_exceed_the_limit(seed: int) -> None:
    rng = random.Random(seed)
    entries = site(6)
    now: float = 0
    borrowed: float = 0
    for _ in range(400):
        now += rng.choice((0, 0.1, 1, LEASE_S))
        key = rng.choice(KEYS)
        borrower, lender = rng.sample(entries, 2)
        borrower.note_demand(key, LIMIT, rng.choice((1, 20, 200)), now)
        asked_at = now
        now += rng.choice((0, 0.5, 2 * LEASE_S))
        granted = lender.lend(borrower.unmet_demand(asked_at), now)
        # A reply that is lost leaves the lender with less, nobody with more.
        if rng.randrange(5):
            borrower.borrow(granted, asked_at)
            borrowed += sum(part.amount for part in granted)
        for each in KEYS:
            shares = [entry.share(each, LIMIT, now) for entry in entries]
            assert sum(shares) <= LIMIT + 1e-9
    assert borrowed > 0


def test_entry_that_is_cut_off_falls_back_to_its_part() -> None:
    busy, idle, _ = site(3)
    key = KEYS[0]
    busy.note_demand(key, LIMIT, 1000, 0)
    busy.borrow(idle.lend(busy.unmet_demand(0), 0), 0)
    assert busy.share(key, LIMIT, 1) > LIMIT / 3
    assert busy.share(key, LIMIT, LEASE_S) == LIMIT / 3
    # The lender waits longer than the borrower.
    assert idle.share(key, LIMIT, LEASE_S) < LIMIT / 3
    assert idle.share(key, LIMIT, LEASE_S * 1.1) == LIMIT / 3


def test_lender_keeps_what_its_own_callers_need() -> None:
    busy, other = site(2)
    key = KEYS[0]
    other.note_demand(key, LIMIT, 1000, 0)
    assert not other.lend([LimitAmount(key, 10)], 0)
    assert busy.lend([LimitAmount(key, 10)], 0) == [LimitAmount(key, 10)]


def test_rate_is_kept_over_time() -> None:
    checked = limiter()
    admitted = 0
    for step in range(1000):
        checked.clock.now = step / 100  # type: ignore[attr-defined]
        try:
            checked.take(caller_request(**limited(requests_per_s=5)))
        except LimitReached:
            continue
        admitted += 1
    assert 45 <= admitted <= 55


def test_refusal_at_a_token_limit_tells_when_to_come_back() -> None:
    checked = limiter()
    request = caller_request(max_tokens=99, **limited(tokens_per_s=10))
    checked.take(request)
    with pytest.raises(LimitReached, match='10.0 a second') as refused:
        checked.take(request)
    assert refused.value.retry_after == 9
    checked.clock.now = 10  # type: ignore[attr-defined]
    checked.take(request)


def test_concurrency_is_given_back() -> None:
    checked = limiter()
    request = caller_request(**limited(concurrency=2))
    for _ in range(2):
        checked.take(request)
    with pytest.raises(LimitReached):
        checked.take(request)
    checked.give_back(request)
    checked.take(request)


def test_refused_request_uses_up_nothing() -> None:
    checked = limiter()
    request = caller_request(**limited(concurrency=1, requests_per_s=100))
    checked.take(request)
    for _ in range(200):
        with pytest.raises(LimitReached):
            checked.take(request)
    bucket = checked.buckets_by_key[KEYS[0]]
    assert bucket.level == 99


def test_sick_fleet_sees_no_retry_storm() -> None:
    budget = RetryBudget()
    retries = sum(budget.take() for _ in range(10_000))
    assert retries == budget.burst
    for _ in range(100):
        budget.note_success()
    assert sum(budget.take() for _ in range(100)) == 100 * budget.per_success
