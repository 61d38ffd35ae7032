"""Tests which hosts load another model before traffic."""

from ....testing.fleetdata import LARGE, SMALL, SPECS
from ....testing.rebalancingdata import (
    domain_names,
    serving_group,
    serving_groups,
)
from ..alternates import plan_alternates


def test_half_of_the_groups_of_a_large_site_are_prepared() -> None:
    groups = serving_groups(LARGE, domain_names(12))
    unprepared = [
        serving_group(group.name, LARGE, group.domain, is_prepared=False)
        for group in groups
    ]
    planned = list(plan_alternates(unprepared, SPECS, {'large': 12}))
    assert {model for _, model in planned} == {SMALL}
    assert len(planned) == 6 * LARGE.group_size


def test_hosts_that_have_the_model_already_load_nothing() -> None:
    groups = serving_groups(LARGE, domain_names(12))
    assert not list(plan_alternates(groups, SPECS, {'large': 12}))


def test_model_of_few_groups_keeps_its_hosts_for_repairs() -> None:
    """A dark domain returns with the models that its hosts have."""
    groups = [
        serving_group(f'large.{number}', LARGE, f'd{number}', is_prepared=False)
        for number in range(9)
    ]
    assert not list(plan_alternates(groups, SPECS, {'large': 9}))


def test_prepared_groups_are_spread_over_the_fabric_domains() -> None:
    """The loss of one domain must leave groups that can be converted."""
    groups = [
        serving_group(f'{domain}.{number}', LARGE, domain, is_prepared=False)
        for domain in domain_names(6)
        for number in range(2)
    ]
    planned = plan_alternates(groups, SPECS, {'large': 12})
    domains = {engine.fabric_domain for engine, _ in planned}
    assert len(domains) == 6
