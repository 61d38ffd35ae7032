"""Chooses the groups to dissolve for a model that has too few.

Explanation
===========
Answers a load whose split between the models is unlike the configuration's
shares, or changes: groups of one model stand idle while those of another
answer late. A group is dissolved only if its model keeps what it needs, and
if its engines can join the other model without a load of weights.
"""

import itertools
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
        chosen: list[ServingGroup] = []
        missing = self._missing()
        while missing > 0:
            best = self._best(remaining, counts)
            if not best:
                break
            missing -= self._gain(best)
            counts.subtract(group.model for group in best)
            for group in best:
                remaining.remove(group)
                self._ready_by_domain[group.domain] += len(group.engines)
            chosen.extend(best)
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
    ) -> Sequence[ServingGroup]:
        """Return the groups of a fabric domain that make up most others."""
        by_domain = sorted(groups, key=_domain_of)
        options = [
            self._fewest(tuple(same), counts)
            for _, same in itertools.groupby(by_domain, key=_domain_of)
        ]
        return max(options, key=self._usefulness, default=())

    def _fewest(
        self, groups: Iterable[ServingGroup], counts: Mapping[str, int]
    ) -> Sequence[ServingGroup]:
        """Return the fewest groups of a domain that make up another one.

        Explanation
        ===========
        A large group takes the engines of several small ones.
        """
        left = Counter(counts)
        taken: list[ServingGroup] = []
        for group in sorted(groups, key=self._load):
            if self._is_surplus(group.model, left):
                left[group.model] -= 1
                taken.append(group)
            if self._gain(taken) > 0:
                return taken
        return ()

    def _usefulness(
        self, groups: Sequence[ServingGroup]
    ) -> tuple[int, int, int]:
        return self._gain(groups), -len(groups), -sum(map(self._load, groups))

    def _load(self, group: ServingGroup) -> int:
        return self.load_of(group.name)

    def _is_surplus(self, model: str, counts: Mapping[str, int]) -> bool:
        wanted = self.balance.wanted_by_model.get(model, 0)
        return counts[model] - 1 >= wanted

    def _gain(self, groups: Sequence[ServingGroup]) -> int:
        """Return how many more groups the engines of a domain make up."""
        if not groups:
            return 0
        before = self._ready_by_domain[groups[0].domain]
        engines = sum(len(group.engines) for group in groups)
        size = self.model.group_size
        return (before + engines) // size - before // size


def _domain_of(group: ServingGroup) -> str:
    return group.domain


def shortest_model(
    specs: Iterable[ModelSpec], balance: Balance
) -> ModelSpec | None:
    """Return the model that lacks the largest part of its groups, if any."""
    short = [model for model in specs if balance.is_short(model)]
    return min(short, key=balance.saturation, default=None)
