"""Sites of many VMs keep to limits and use them, in virtual time.

Explanation
===========
The bound is that of the users: in four seconds no more than one and a half
times what the limit allows, and five requests more, from three seconds after
an engine first named its limit.
"""

from dataclasses import replace

import pytest

from ....testing.limitsite import LimitPattern, LimitSite
from ..gate import LimitGate

WINDOW_S = 4.0
REACTION_S = 3.0
# Share of the limits, or of a lower demand, that must be used.
LEAST_USED = 0.75

LOADS = {
    'one engine': LimitPattern(demand_per_s=20),
    'below the limit': LimitPattern(demand_per_s=1.6),
    'twice the limits': LimitPattern(engines=8, demand_per_s=50),
    'many times the limits': LimitPattern(
        engines=8, limit_per_s=1.5, demand_per_s=300
    ),
    'less than one a second': LimitPattern(
        engines=3, limit_per_s=0.4, demand_per_s=5
    ),
}


def _played(pattern: LimitPattern, seed: int = 1) -> LimitSite:
    site = LimitSite(pattern, seed)
    site.play()
    return site


def _most_allowed(pattern: LimitPattern) -> float:
    return 1.5 * pattern.limit_per_s * WINDOW_S + 5


def _pattern(vms: int, load: str = 'twice the limits') -> LimitPattern:
    delay_s = 0.1 if vms <= 7 else 0.3
    return replace(LOADS[load], vms=vms, delay_s=delay_s)


@pytest.mark.parametrize('vms', [1, 2, 7, 40])
@pytest.mark.parametrize('load', LOADS)
def test_limits_are_kept_and_used(vms: int, load: str) -> None:
    pattern = _pattern(vms, load)
    site = _played(pattern)
    assert site.most_sent(WINDOW_S, REACTION_S) <= _most_allowed(pattern)
    assert site.used_share >= LEAST_USED


@pytest.mark.parametrize('vms', [86, 195])
def test_large_sites_keep_to_limits(vms: int) -> None:
    pattern = LimitPattern(
        vms=vms, engines=4, demand_per_s=60, delay_s=0.3, duration_s=12
    )
    site = _played(pattern)
    assert site.most_sent(WINDOW_S, REACTION_S) <= _most_allowed(pattern)
    assert site.used_share >= LEAST_USED


@pytest.mark.parametrize('cut_off', [1, 2, 3])
def test_two_sides_of_a_cut_share_the_limits(cut_off: int) -> None:
    pattern = LimitPattern(
        vms=7, engines=4, demand_per_s=60, cut_off=cut_off, cut_at_s=8
    )
    site = _played(pattern)
    assert site.most_sent(WINDOW_S, REACTION_S) <= _most_allowed(pattern)


def _hear_nobody(gate: LimitGate, _key: int, _now: float) -> float:
    return 0


def _hear_all(_gate: LimitGate) -> float:
    return 1


def test_model_finds_vms_that_all_take_the_same_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LimitGate, '_competing_looks', _hear_nobody)
    pattern = _pattern(40)
    site = _played(pattern)
    assert site.most_sent(WINDOW_S, REACTION_S) > _most_allowed(pattern)


def test_model_finds_limits_used_once_on_each_side_of_a_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LimitGate, '_heard_share', _hear_all)
    pattern = LimitPattern(
        vms=7, engines=1, demand_per_s=60, cut_off=3, cut_at_s=8
    )
    site = _played(pattern)
    assert site.most_sent(WINDOW_S, REACTION_S) > _most_allowed(pattern)


def test_model_finds_vms_that_keep_to_the_limit_alone() -> None:
    pattern = LimitPattern(
        vms=7, engines=1, demand_per_s=60, delay_s=100, duration_s=20
    )
    site = _played(pattern)
    assert site.most_sent(WINDOW_S, REACTION_S) > _most_allowed(pattern)
