"""Chooses the groups whose hosts get another model beforehand.

Explanation
===========
Answers the first seconds of traffic: only then does the load show how it is
split between the models, and a load of weights takes half a minute of a busy
store's time. Before the first request loads are quick. Half of a model's
groups are kept whatever the load is, and keep their own model on their hosts,
from which they are repaired; the hosts of the others get the model that their
engines may be asked to serve instead.
"""

import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence

from ..demand import MIN_INITIAL_SHARE
from ..model import Engine, ModelSpec
from .conversions import ServingGroup

# A model with fewer groups needs the hosts of all of them for repairs: the
# loss of one takes a tenth of its slots or more.
MIN_GROUPS_TO_CONVERT = 10


def plan_alternates(
    groups: Iterable[ServingGroup],
    specs: Sequence[ModelSpec],
    initial_by_model: Mapping[str, float],
) -> Iterator[tuple[Engine, ModelSpec]]:
    """Yield engines, and the model that their hosts should load.

    Parameters
    ==========
    initial_by_model : Mapping
        The groups that each model gets before traffic.
    """
    by_name = sorted(groups, key=lambda group: (group.model, group.name))
    for model, same in itertools.groupby(
        by_name, key=lambda group: group.model
    ):
        alternate = _alternate(model, specs)
        initial = initial_by_model.get(model, 0)
        if alternate is None or initial < MIN_GROUPS_TO_CONVERT:
            continue
        count = int(initial * (1 - MIN_INITIAL_SHARE))
        for group in _spread(tuple(same))[:count]:
            yield from (
                (free.engine, alternate)
                for free in group.engines
                if alternate.name not in free.engine.staged
            )


def _model_of(group: ServingGroup) -> str:
    return group.model


def _domain_of(group: ServingGroup) -> str:
    return group.domain


def _place_of(group: ServingGroup) -> tuple[str, str]:
    return group.domain, group.name


def _alternate(model: str, specs: Iterable[ModelSpec]) -> ModelSpec | None:
    """Return the smallest other model: it is formed most easily."""
    others = [spec for spec in specs if spec.name != model]
    return min(others, key=lambda spec: spec.group_size, default=None)


def _spread(groups: Sequence[ServingGroup]) -> list[ServingGroup]:
    """Return groups in an order that takes one of each fabric domain in turn.

    Explanation
    ===========
    The loss of a domain then takes few of those that can be converted.
    """
    ordered = sorted(groups, key=_place_of)
    numbered = [
        (number, group)
        for _, same in itertools.groupby(ordered, key=_domain_of)
        for number, group in enumerate(same)
    ]
    numbered.sort(key=lambda entry: (entry[0], entry[1].domain))
    return [group for _, group in numbered]
