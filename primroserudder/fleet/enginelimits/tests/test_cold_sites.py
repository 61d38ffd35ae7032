"""Sites of many VMs keep to what a cold engine takes, in virtual time.

Explanation
===========
The bound is that of the users: in any second no more than one and a half times
what a cold engine takes, and five requests more.
"""

import statistics
from dataclasses import replace

import pytest

from ....testing.coldsite import ColdPattern, ColdSite
from ..coldlimit import ColdLimit
from ..coldlooks import ColdLooks
from ..window import SentLately

SITES = (1, 7, 63, 106, 195)
LARGEST = 195
SEEDS = (1, 2, 3)
# Share of what a cold engine takes that it must get.
LEAST_USED = 0.8


def _pattern(vms: int, **changes: object) -> ColdPattern:
    """Return a load of several requests a second at each VM."""
    pattern = ColdPattern(
        vms=vms,
        demand_per_s=36 + 8 * vms,
        delay_s=0.1 if vms <= 7 else 0.3,
    )
    return replace(pattern, **changes)  # type: ignore[arg-type]


def _played(pattern: ColdPattern, seed: int = 1) -> ColdSite:
    site = ColdSite(pattern, seed)
    site.play()
    return site


def _most_allowed(pattern: ColdPattern) -> float:
    return 1.5 * pattern.limit_per_s + 5


def _assert_kept(pattern: ColdPattern, seed: int = 1) -> ColdSite:
    site = _played(pattern, seed)
    assert site.most_in_a_second <= _most_allowed(pattern)
    return site


@pytest.mark.parametrize('vms', SITES)
def test_all_vms_keep_to_the_limit_and_use_it(vms: int) -> None:
    used = [_assert_kept(_pattern(vms), seed).used_share for seed in SEEDS]
    assert statistics.mean(used) >= LEAST_USED


@pytest.mark.parametrize('vms', SITES)
def test_vms_learn_at_different_times(vms: int) -> None:
    _assert_kept(_pattern(vms, list_spread_s=1.0))


@pytest.mark.parametrize('vms', SITES)
@pytest.mark.parametrize('cut_at_s', [0, 1.2, 2])
def test_two_halves_of_a_cut_share_the_limit(vms: int, cut_at_s: float) -> None:
    sides = vms // 2, vms - vms // 2
    _assert_kept(_pattern(vms, sides=sides, cut_at_s=cut_at_s))


@pytest.mark.parametrize('vms', SITES)
def test_vms_that_hear_nobody_share_the_limit(vms: int) -> None:
    _assert_kept(_pattern(vms, sides=(1,) * vms))


@pytest.mark.parametrize('vms', SITES)
@pytest.mark.parametrize('part', [0.25, 1])
def test_vms_that_just_started_share_the_limit(vms: int, part: float) -> None:
    restarted = max(1, round(part * vms))
    _assert_kept(_pattern(vms, restarted=restarted, restart_at_s=2))


@pytest.mark.parametrize('vms', SITES)
def test_vms_that_start_while_cut_off_share_the_limit(vms: int) -> None:
    pattern = _pattern(vms, restarted=vms // 2, restart_at_s=1.5)
    _assert_kept(replace(pattern, sides=(vms // 2, vms - vms // 2)))


@pytest.mark.parametrize('vms', SITES)
def test_surge_at_all_vms_at_once_keeps_to_the_limit(vms: int) -> None:
    surge = {'surge': 2, 'surge_at_s': 2.5, 'cold_s': 4}
    _assert_kept(_pattern(vms, demand_per_s=20, **surge))


@pytest.mark.parametrize('vms', [4, 7, 63])
def test_uneven_demand_keeps_to_the_limit_and_uses_it(vms: int) -> None:
    pattern = _pattern(vms, weights=(8, 4, 2, 1))
    used = [_assert_kept(pattern, seed).used_share for seed in SEEDS]
    assert statistics.mean(used) >= LEAST_USED


@pytest.mark.parametrize('limit_per_s', [0.5, 3.0, 400.0])
def test_other_limits_are_kept(limit_per_s: float) -> None:
    pattern = _pattern(7, limit_per_s=limit_per_s, demand_per_s=1000)
    _assert_kept(pattern)


def _exceeds(pattern: ColdPattern) -> bool:
    return any(
        _played(pattern, seed).most_in_a_second > _most_allowed(pattern)
        for seed in SEEDS
    )


def _whole(_limit: ColdLimit, _key: int) -> float:
    return 1


def _nobody(limit: ColdLimit, key: int, now: float) -> float:
    return limit._looks.rate(key, now)


def _no_rise(_looks: ColdLooks, _key: int, _now: float) -> float:
    return 0


def _none_sent(_sent: SentLately, _key: int, _since: float) -> int:
    return 0


def _nothing_told(_sent: SentLately, _since: object) -> dict[int, int]:
    return {}


def test_model_finds_vms_that_use_the_whole_limit_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ColdLimit, '_share', _whole)
    assert _exceeds(_pattern(7, sides=(3, 4)))
    assert _exceeds(_pattern(63))


def test_model_finds_vms_that_all_take_the_same_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ColdLimit, '_looks_per_s', _nobody)
    assert _exceeds(_pattern(63))


def test_model_finds_vms_that_don_t_expect_a_surge(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ColdLooks, 'unheard_rise', _no_rise)
    surge = {'surge': 2, 'surge_at_s': 2.5, 'cold_s': 4}
    assert _exceeds(_pattern(63, demand_per_s=20, **surge))


def test_model_finds_vms_that_don_t_count_what_was_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SentLately, 'count', _none_sent)
    monkeypatch.setattr(SentLately, 'counts', _nothing_told)
    assert _exceeds(_pattern(1))
    assert _exceeds(_pattern(7, cold_s=10))
