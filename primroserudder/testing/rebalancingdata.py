"""Builders of serving groups for tests of rebalancing."""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from types import MappingProxyType

from ..fleet.model import ModelSpec
from ..fleet.placement import Balance
from ..fleet.rebalancing.conversions import ServingGroup
from .fleetdata import LARGE, SMALL, free

OTHER_MODEL = MappingProxyType({LARGE.name: SMALL.name, SMALL.name: LARGE.name})


def serving_group(
    name: str,
    model: ModelSpec = LARGE,
    domain: str = 'd0',
    *,
    is_prepared: bool = True,
) -> ServingGroup:
    """Return a group; the hosts of a prepared one have the other model."""
    staged = OTHER_MODEL[model.name] if is_prepared else model.name
    engines = tuple(
        free(f'{name}-{number}', model.name, domain, (staged,))
        for number in range(model.group_size)
    )
    return ServingGroup(name, model.name, engines)


def serving_groups(
    model: ModelSpec, domains: Iterable[str]
) -> list[ServingGroup]:
    """Return a prepared group in each of some fabric domains."""
    return [
        serving_group(f'{model.name}.{number}', model, domain)
        for number, domain in enumerate(domains)
    ]


def balance(groups: Mapping[str, int], wanted: Mapping[str, float]) -> Balance:
    """Return a balance of existing and wanted groups."""
    return Balance(Counter(groups), wanted)


def domain_names(count: int) -> list[str]:
    """Return names of fabric domains."""
    return [
        f'd{number}' for number in itertools.islice(itertools.count(), count)
    ]
