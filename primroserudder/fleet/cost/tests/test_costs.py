"""Requests are followed from their slot to their end."""

import pytest

from ....testing.costdata import (
    POOL,
    RecordingLog,
    costed,
    costed_spec,
    request_costs,
    size,
)
from ....testing.fleetdata import ManualClock, target
from ...membership import InFlightCounts, short_key
from ...model import EngineSpec, EngineTimes
from ..costs import StreamTimes
from ..estimate import RequestSize, Work, WorkEstimator

ENGINE = target('i-1')


class _FailingEstimator(WorkEstimator):
    """Fails for each request."""

    def estimate(
        self, request: RequestSize, spec: EngineSpec, times: EngineTimes
    ) -> Work:
        """Fail as arithmetic does on absurd sizes."""
        raise OverflowError('too large')


def test_services_without_times_and_unknown_models_have_no_cost() -> None:
    # They are chosen for by the share of slots, as before.
    costs = request_costs()
    assert costs.request(POOL, None, size()) is None
    assert costs.request(POOL, costed_spec(times=None), size()) is None
    assert costs.request(POOL, costed_spec(), size(model='other')) is None


def test_estimate_that_fails_is_none_and_counted() -> None:
    costs = request_costs()
    costs.estimator = _FailingEstimator()
    assert costs.request(POOL, costed_spec(), size()) is None
    assert costs.metrics.value('cost_estimates_failed') == 1


@pytest.mark.parametrize('has_event', [True, False])
def test_nothing_remains_of_a_request_that_ended(has_event: bool) -> None:
    # Attempts end in many ways; work that stays would repel requests for ever.
    counts = InFlightCounts()
    costs = request_costs(counts)
    request = costed(costs, size(prompt=50_000))
    costs.begin(request, ENGINE)
    assert counts.own_reading()
    assert counts.own_held()
    if has_event:
        costs.first_event(request, ENGINE)
    costs.end(request, ENGINE)
    costs.end(request, ENGINE)
    costs.first_event(request, ENGINE)
    assert not counts.own_reading()
    assert not counts.own_held()
    assert not costs.outstanding.reading_s('i-1', short_key('i-1'), 1)
    assert costs.outstanding.held_tokens('i-1', short_key('i-1'), 1) == 0


def test_stream_that_moves_counts_at_both_engines_until_it_left() -> None:
    costs = request_costs()
    request = costed(costs)
    costs.begin(request, ENGINE)
    costs.begin(request, target('i-2'))
    costs.end(request, ENGINE)
    assert not costs.outstanding.reading_s('i-1', short_key('i-1'), 1)
    assert costs.outstanding.reading_s('i-2', short_key('i-2'), 1) > 0


def test_predicted_and_observed_times_are_shown() -> None:
    clock = ManualClock()
    costs = request_costs(clock=clock)
    request = costed(costs)
    costs.begin(request, ENGINE)
    clock.advance(0.3)
    costs.first_event(request, ENGINE)
    observed = costs.metrics.latency('first_event_observed')
    predicted = costs.metrics.latency('first_event_predicted')
    assert observed.percentile_s(50) == pytest.approx(0.3, rel=0.01)
    assert 0 < 1000 * predicted.percentile_s(50) < 100
    assert 1000 * costs.errors.error_s(POOL, 0) > 50


def test_slow_engine_is_logged_once_until_it_recovers() -> None:
    costs = request_costs()
    log = costs.log
    assert isinstance(log, RecordingLog)

    def stream(engine: str, step_s: float) -> None:
        request = costed(costs)
        used = target(engine)
        costs.begin(request, used)
        times = StreamTimes(1, 1 + 40 * step_s, 41, 1)
        costs.learn_pace(request, used, times)
        costs.end(request, used)

    for _ in range(20):
        for number in range(9):
            stream(str(number), 0.005)
        stream('slow', 0.012)
    assert log.names == ['engine_slow']
    assert costs.dump()['slow_engines'] == ['slow']
    for _ in range(40):
        for number in range(9):
            stream(str(number), 0.005)
        stream('slow', 0.005)
    assert log.names == ['engine_slow', 'engine_slow_ended']


def test_short_streams_teach_no_pace() -> None:
    assert StreamTimes(1, 2, events=9, first_events=5).event_s() is None
    assert StreamTimes(1, 1, events=50, first_events=50).event_s() is None
    assert StreamTimes().event_s() is None


def test_number_of_traits_is_bounded_and_preferences_stay() -> None:
    traits = request_costs().traits
    first = traits.add('i-0')
    for number in range(10_000):
        traits.add(f'i-{number}')
    assert len(traits) <= 4096
    assert traits.add('i-0') == first
