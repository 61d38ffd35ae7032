"""Loads of weights stay within what the weight store carries."""

from ...testing.fleetdata import SMALL, SPEC, ManualClock
from ..load_limiter import NEWS_LAG_S, RATE_WINDOW_S, LoadLimiter


def test_loads_at_once_are_bounded() -> None:
    clock = ManualClock()
    gate = LoadLimiter(clock)
    begun = [
        gate.may_load(f'e{one}', SPEC, SMALL, has_traffic=True, is_urgent=True)
        for one in range(20)
    ]
    assert sum(begun) == SPEC.loads_at_once


def test_loads_a_window_stay_under_the_rate() -> None:
    clock = ManualClock()
    gate = LoadLimiter(clock)
    begun = 0
    for one in range(60):
        engine_id = f'e{one}'
        begun += gate.may_load(
            engine_id, SPEC, SMALL, has_traffic=True, is_urgent=True
        )
        gate.end(engine_id)
    assert begun <= SPEC.loads_per_s * RATE_WINDOW_S


def test_an_engine_loads_one_model_at_a_time() -> None:
    gate = LoadLimiter(ManualClock())
    assert gate.may_load('e', SPEC, SMALL, has_traffic=True)
    assert not gate.may_load('e', SPEC, SMALL, has_traffic=True)
    assert gate.loading('e') == 'small'


def test_load_that_never_showed_is_given_up() -> None:
    clock = ManualClock()
    gate = LoadLimiter(clock)
    gate.may_load('e', SPEC, SMALL, has_traffic=True)
    clock.advance(SMALL.load_s + 1)
    assert not gate.loading('e')
    assert gate.may_load('e', SPEC, SMALL, has_traffic=True)


def _begin_for(gate: LoadLimiter, clock: ManualClock, seconds: float) -> int:
    """Return how many loads of new engines begin before any request."""
    begun = 0
    until = clock.now + seconds
    while clock.now < until:
        begun += sum(
            gate.may_load(f'{clock.now}/{one}', SPEC, SMALL, has_traffic=False)
            for one in range(66)
        )
        clock.advance(0.1)
    return begun


def test_site_that_comes_up_late_loads_whole_before_the_first_request() -> None:
    clock = ManualClock()
    assert _begin_for(LoadLimiter(clock), clock, 0.9) >= 66


def test_loads_begun_as_the_first_request_came_stay_under_the_rate() -> None:
    # The holder hears of the request after the engines began to load.
    clock = ManualClock()
    gate = LoadLimiter(clock)
    begun = _begin_for(gate, clock, NEWS_LAG_S)
    for one in range(66):
        engine_id = f'late/{one}'
        begun += gate.may_load(
            engine_id, SPEC, SMALL, has_traffic=True, is_urgent=True
        )
        gate.end(engine_id)
    assert begun <= SPEC.loads_per_s * RATE_WINDOW_S
