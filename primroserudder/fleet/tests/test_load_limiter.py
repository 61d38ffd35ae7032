"""Tests that loads stay within the limits of the weight store."""

from ...testing.fleetdata import SMALL, SPEC, ManualClock
from ..load_limiter import RATE_WINDOW_S, TRAFFIC_NOTICE_LAG_S, LoadLimiter


def test_concurrent_loads_are_limited() -> None:
    clock = ManualClock()
    limiter = LoadLimiter(clock)
    begun = [
        limiter.try_begin_load(
            f'e{number}', SPEC, SMALL, has_traffic=True, is_urgent=True
        )
        for number in range(20)
    ]
    assert sum(begun) == SPEC.loads_at_once


def test_loads_per_window_stay_below_the_rate() -> None:
    clock = ManualClock()
    limiter = LoadLimiter(clock)
    begun = 0
    for number in range(60):
        engine_id = f'e{number}'
        begun += limiter.try_begin_load(
            engine_id, SPEC, SMALL, has_traffic=True, is_urgent=True
        )
        limiter.end(engine_id)
    assert begun <= SPEC.loads_per_s * RATE_WINDOW_S


def test_an_engine_loads_one_model_at_a_time() -> None:
    limiter = LoadLimiter(ManualClock())
    assert limiter.try_begin_load('e', SPEC, SMALL, has_traffic=True)
    assert not limiter.try_begin_load('e', SPEC, SMALL, has_traffic=True)
    assert limiter.loading('e') == 'small'


def test_load_that_never_finishes_expires() -> None:
    clock = ManualClock()
    limiter = LoadLimiter(clock)
    limiter.try_begin_load('e', SPEC, SMALL, has_traffic=True)
    clock.advance(SMALL.load_s + 1)
    assert not limiter.loading('e')
    assert limiter.try_begin_load('e', SPEC, SMALL, has_traffic=True)


def _begin_for(limiter: LoadLimiter, clock: ManualClock, seconds: float) -> int:
    """Return how many loads begin in some seconds before any request."""
    begun = 0
    until = clock.now + seconds
    while clock.now < until:
        begun += sum(
            limiter.try_begin_load(
                f'{clock.now}/{number}', SPEC, SMALL, has_traffic=False
            )
            for number in range(66)
        )
        clock.advance(0.1)
    return begun


def test_late_site_loads_all_engines_before_the_first_request() -> None:
    clock = ManualClock()
    assert _begin_for(LoadLimiter(clock), clock, 0.9) >= 66


def test_loads_around_the_first_request_stay_below_the_rate() -> None:
    # The notice of the request arrives after the engines began to load.
    clock = ManualClock()
    limiter = LoadLimiter(clock)
    begun = _begin_for(limiter, clock, TRAFFIC_NOTICE_LAG_S)
    for number in range(66):
        engine_id = f'late/{number}'
        begun += limiter.try_begin_load(
            engine_id, SPEC, SMALL, has_traffic=True, is_urgent=True
        )
        limiter.end(engine_id)
    assert begun <= SPEC.loads_per_s * RATE_WINDOW_S
