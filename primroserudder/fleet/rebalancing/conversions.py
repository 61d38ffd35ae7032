"""Chooses the groups to dissolve for a model that has too few.

Explanation
===========
Answers a load whose split between the models is unlike the configuration's
shares, or changes: groups of one model stand idle while those of another
answer late. A group is dissolved only if its model keeps what it needs, and
if its engines can join the other model without a load of weights.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..model import ModelSpec
from ..placement import Balance, FreeEngine, domain_of


@dataclass(frozen=True, slots=True)
class ServingGroup:
    """A group that serves a model, and its engines as if they were free."""

    name: str
    model: str
    engines: tuple[FreeEngine, ...]

    @property
    def domain(self) -> str:
        """Return the name of the group's fabric domain."""
        return domain_of(self.engines[0])

    def can_serve(self, model: ModelSpec) -> bool:
        """Return whether all engines join a model without a load."""
        return all(not engine.needs_load(model) for engine in self.engines)


@dataclass(slots=True)
class ConversionPlanner:
    """Plans conversions towards one model that is short of groups.

    Parameters
    ==========
    ready : Iterable
        Engines that are free or become free soon.
    load_of : Callable
        Returns the number of requests that a group runs.
    """

    model: ModelSpec
    balance: Balance
    ready: Iterable[FreeEngine]
    load_of: Callable[[str], int]
    _ready_by_domain: Counter[str] = field(init=False)

    def __post_init__(self) -> None:
        """Count the engines that can join the model, by fabric domain."""
        self._ready_by_domain = Counter(
            domain_of(engine)
            for engine in self.ready
            if not engine.needs_load(self.model)
        )

    def plan(self, groups: Sequence[ServingGroup]) -> list[ServingGroup]:
        """Return the groups to dissolve, those that run least first."""
        counts = Counter(self.balance.groups_by_model)
        remaining = [
            group
            for group in groups
            if group.model != self.model.name and group.can_serve(self.model)
        ]
        remaining.sort(key=lambda group: self.load_of(group.name))
        chosen: list[ServingGroup] = []
        missing = self._missing()
        while missing > 0:
            best = self._best(remaining, counts)
            if best is None:
                break
            missing -= self._gain(best)
            remaining.remove(best)
            counts[best.model] -= 1
            self._ready_by_domain[best.domain] += len(best.engines)
            chosen.append(best)
        return chosen

    def _missing(self) -> int:
        """Return the groups that the engines which are ready don't form."""
        wanted = self.balance.wanted_by_model.get(self.model.name, 0)
        formed = sum(
            count // self.model.group_size
            for count in self._ready_by_domain.values()
        )
        existing = self.balance.groups_by_model[self.model.name]
        return math.ceil(wanted) - existing - formed

    def _best(
        self, groups: Iterable[ServingGroup], counts: Mapping[str, int]
    ) -> ServingGroup | None:
        """Return the first of the groups that give the most others."""
        candidates = [
            group
            for group in groups
            if self._is_surplus(group.model, counts) and self._gain(group) > 0
        ]
        return max(candidates, key=self._gain, default=None)

    def _is_surplus(self, model: str, counts: Mapping[str, int]) -> bool:
        wanted = self.balance.wanted_by_model.get(model, 0)
        return counts[model] - 1 >= wanted

    def _gain(self, group: ServingGroup) -> int:
        """Return how many more groups the engines of a group make up."""
        before = self._ready_by_domain[group.domain]
        size = self.model.group_size
        return (before + len(group.engines)) // size - before // size


def shortest_model(
    specs: Iterable[ModelSpec], balance: Balance
) -> ModelSpec | None:
    """Return the model that lacks the largest part of its groups, if any."""
    short = [model for model in specs if balance.is_short(model)]
    return min(short, key=balance.saturation, default=None)
