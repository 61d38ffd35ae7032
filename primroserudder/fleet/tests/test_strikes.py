"""Tests that content which loses groups is quarantined on every VM."""

from ...testing.fleetdata import call
from ..strikes import StrikeRegistry, content_digest


async def test_digest_of_a_content_ignores_the_request_id() -> None:
    first = call(headers={'X-Primroserudder-Attempt-Id': 'one'})
    second = call(headers={'X-Primroserudder-Attempt-Id': 'two'})
    assert content_digest(first) == content_digest(second)
    assert content_digest(call(body=b'other')) != content_digest(first)


def test_strikes_of_all_vms_add_up() -> None:
    registries = [StrikeRegistry() for _ in range(3)]
    for number, registry in enumerate(registries):
        registry.strike('digest', f'small.{number}')
    for source in registries:
        for registry in registries:
            registry.merge(source.recent())
    assert all(registry.is_quarantined('digest') for registry in registries)


def test_one_lost_group_is_one_strike_however_often_reported() -> None:
    registry = StrikeRegistry()
    for _ in range(5):
        registry.merge(('digest=small.1',))
    assert not registry.is_quarantined('digest')


def test_content_that_completed_once_is_never_quarantined() -> None:
    registry = StrikeRegistry()
    registry.strike('digest', 'small.1')
    registry.clear('digest')
    for number in range(2, 6):
        registry.strike('digest', f'small.{number}')
    assert not registry.is_quarantined('digest')
