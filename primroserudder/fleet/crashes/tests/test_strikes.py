"""Tests that content which crashes engines is quarantined on every VM."""

from collections.abc import Iterable

from ....testing.fleetdata import ManualClock, call
from ..strikes import (
    COMPLETION_LIFETIME_S,
    MAX_SHARED_STRIKES,
    STRIKE_LIFETIME_S,
    Strike,
    StrikeRegistry,
)


def _strikes(engine_ids: Iterable[str], digest: str = 'digest') -> list[Strike]:
    return [Strike(digest, engine_id, 1) for engine_id in engine_ids]


def _add_all(registry: StrikeRegistry, strikes: Iterable[Strike]) -> None:
    for strike in strikes:
        registry.add(strike)


async def test_digest_of_a_content_ignores_the_request_id() -> None:
    first = call(headers={'X-Primroserudder-Attempt-Id': 'one'})
    second = call(headers={'X-Primroserudder-Attempt-Id': 'two'})
    assert first.digest == second.digest
    assert call(body=b'other').digest != first.digest


async def test_digest_of_a_content_survives_a_change_of_the_api_key() -> None:
    first = call(headers={'Authorization': 'Bearer one'})
    second = call(headers={'Authorization': 'Bearer two'})
    assert first.digest == second.digest


def test_strikes_of_all_vms_add_up() -> None:
    registries = [StrikeRegistry(ManualClock()) for _ in range(3)]
    for registry, strike in zip(registries, _strikes('abc'), strict=True):
        registry.add(strike)
    for source in registries:
        for registry in registries:
            registry.merge(source.shared())
    assert all(registry.is_quarantined('digest') for registry in registries)


def test_one_lost_engine_is_one_strike_however_often_reported() -> None:
    registry = StrikeRegistry(ManualClock())
    for _ in range(5):
        registry.merge(('digest=a@1',))
    assert registry.count('digest') == 1


def test_engine_that_ends_twice_under_a_content_is_two_strikes() -> None:
    registry = StrikeRegistry(ManualClock())
    registry.merge(('digest=a@1', 'digest=a@2'))
    assert registry.count('digest') == 2


def test_completion_voids_all_earlier_strikes_on_every_vm() -> None:
    first, second = (StrikeRegistry(ManualClock()) for _ in range(2))
    _add_all(first, _strikes('abc'))
    second.merge(first.shared())
    assert second.is_quarantined('digest')
    assert first.complete('digest')
    second.merge((), first.shared_void())
    first.merge(second.shared())
    assert not first.count('digest')
    assert not second.count('digest')


def test_content_that_completed_moments_ago_gets_no_strikes() -> None:
    # All engines of a rack end at once, under a content that many send.
    registry = StrikeRegistry(ManualClock())
    registry.complete('digest')
    _add_all(registry, _strikes('abc'))
    assert not registry.is_quarantined('digest')
    assert len(registry.shared_void()) == 3


def test_completion_long_ago_does_not_excuse_crashes_now() -> None:
    clock = ManualClock()
    registry = StrikeRegistry(clock)
    registry.complete('digest')
    clock.advance(COMPLETION_LIFETIME_S)
    _add_all(registry, _strikes('abc'))
    assert registry.is_quarantined('digest')


def test_quarantine_ends_after_the_lifetime_of_its_strikes() -> None:
    clock = ManualClock()
    registry = StrikeRegistry(clock)
    _add_all(registry, _strikes('abc'))
    clock.advance(STRIKE_LIFETIME_S - 1)
    registry.drop_expired()
    assert registry.is_quarantined('digest')
    clock.advance(1)
    registry.drop_expired()
    assert not registry.is_quarantined('digest')


def test_contents_with_more_strikes_are_shared_before_all_others() -> None:
    # A whole fabric domain is lost beside the content that matters.
    registry = StrikeRegistry(ManualClock())
    crashing = _strikes('abc')
    _add_all(registry, crashing)
    for number in range(3 * MAX_SHARED_STRIKES):
        _add_all(registry, _strikes('x', digest=f'innocent-{number}'))
    shared = registry.shared()
    assert len(shared) == MAX_SHARED_STRIKES
    assert {strike.strike_id for strike in crashing} < set(shared)


def test_strike_of_an_older_build_is_ignored() -> None:
    registry = StrikeRegistry(ManualClock())
    assert not registry.merge(('digest=small.7', '', '=@1'))
