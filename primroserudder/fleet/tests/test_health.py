"""Which engines get no new requests for a while, and for how long."""

from ...testing.fleetdata import ManualClock
from ..attempt import AttemptResult
from ..health import AVOID_UNREACHABLE_S, MAX_AVOID_BROKEN_S, TargetHealth
from ..model import Target
from ..retries import Ending

TARGET = Target('i-1', '127.0.0.1:9', 'fd-1', 4)
BROKEN = AttemptResult(Ending.UNKNOWN, 'broken', is_broken=True)
LOST = AttemptResult(Ending.UNKNOWN, 'lost')
WHOLE = AttemptResult(Ending.DELIVERED)
ROUNDS = 6


def _avoided_s(
    health: TargetHealth, clock: ManualClock, outcome: AttemptResult
) -> float:
    """Fail until the engine is avoided, and return for how long it is."""
    while health.is_usable(TARGET):
        health.note(TARGET, outcome, clock.monotonic())
    until = health.avoided_until[TARGET.engine_id]
    avoided_s = until - clock.monotonic()
    # An attempt that began before may end later.
    clock.now += avoided_s / 2
    health.note(TARGET, outcome, clock.monotonic())
    clock.now = max(until, health.avoided_until[TARGET.engine_id])
    return avoided_s


def test_engine_that_goes_on_sending_broken_responses_is_avoided_longer() -> (
    None
):
    clock = ManualClock()
    health = TargetHealth(clock)
    times = [_avoided_s(health, clock, BROKEN) for _ in range(ROUNDS)]
    assert times[0] == AVOID_UNREACHABLE_S
    assert times == sorted(times)
    assert times[-1] == MAX_AVOID_BROKEN_S


def test_whole_response_ends_the_avoidance_of_an_engine_that_broke() -> None:
    clock = ManualClock()
    health = TargetHealth(clock)
    for _ in range(ROUNDS):
        _avoided_s(health, clock, BROKEN)
    health.note(TARGET, WHOLE, clock.monotonic())
    assert _avoided_s(health, clock, BROKEN) == AVOID_UNREACHABLE_S


def test_engine_that_loses_connections_is_avoided_no_longer_than_before() -> (
    None
):
    clock = ManualClock()
    health = TargetHealth(clock)
    times = {_avoided_s(health, clock, LOST) for _ in range(ROUNDS)}
    assert times == {AVOID_UNREACHABLE_S}
