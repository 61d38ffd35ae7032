"""Which free engines form which group, and what the others hold ready.

Explanation
===========
Answers losses that go on all day: each fabric domain keeps groups of the
models that the site has too few of, and its engines left over hold a model
in memory and another one on the host, so that any loss is mended without a
load of weights.
"""

import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from .model import Engine, ModelSpec

# Joins of an engine whose last group served the same model, by the platform.
REJOIN_S = 0.2
# A second until a group stands weighs like this part of what is due to its
# model: a load of weights outweighs a model that is short by a third.
SATURATION_PER_S = 0.03


@dataclass(frozen=True, slots=True)
class FreeEngine:
    """An engine that may be taken, and what it holds."""

    engine: Engine
    last_model: str
    loading: str = ''

    @property
    def held_model(self) -> str:
        """Return the model that it holds or is about to hold."""
        return self.loading or self.last_model

    def join_s(self, model: ModelSpec) -> float:
        """Return the time that it takes to join a group of a model."""
        if self.last_model == model.name:
            return REJOIN_S
        if model.name in self.engine.staged:
            return model.warm_s
        return model.load_s + model.warm_s

    def needs_load(self, model: ModelSpec) -> bool:
        """Return whether joining takes a load from the weight store."""
        return self.join_s(model) > max(model.warm_s, REJOIN_S)


@dataclass(frozen=True, slots=True)
class PlannedGroup:
    """Engines that are to form a group; the first becomes the head."""

    model: ModelSpec
    members: tuple[Engine, ...]


@dataclass(slots=True)
class Balance:
    """Groups of each model, against the number that the load asks for."""

    groups_by_model: Counter[str]
    wanted_by_model: Mapping[str, float]

    def saturation(self, model: ModelSpec) -> float:
        """Return a model's groups as a part of those wanted."""
        wanted = self.wanted_by_model.get(model.name, 0)
        groups = self.groups_by_model[model.name]
        return groups / wanted if wanted > 0 else math.inf

    def is_short(self, model: ModelSpec) -> bool:
        """Return whether another group of a model is wanted."""
        return self.saturation(model) < 1

    def count(self, model: ModelSpec) -> None:
        """Count a planned group in."""
        self.groups_by_model[model.name] += 1


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A group that could be formed, and how good a choice it is."""

    model: ModelSpec
    members: tuple[FreeEngine, ...]
    domain: str
    cost: float
    spares: int


def plan_groups(
    free: Iterable[FreeEngine],
    specs: Sequence[ModelSpec],
    balance: Balance,
    is_settled: Callable[[str], bool],
) -> list[PlannedGroup]:
    """Return the groups to form from free engines of all domains.

    Explanation
    ===========
    The group that helps most goes first: one of the model that is shortest
    of groups, where it stands soonest, and among equals in the domain with
    the most spare engines. Engines beyond what is wanted stay spares. No
    group is formed of engines that would have to load weights first: they
    would only be tied up.

    Parameters
    ==========
    is_settled : Callable
        Whether a domain's engines are all there that can be expected soon;
        in others only the model that is shortest of groups is formed.
    """
    left_by_domain = {
        domain: list(group)
        for domain, group in itertools.groupby(
            sorted(free, key=domain_of), key=domain_of
        )
    }
    planned: list[PlannedGroup] = []
    while True:
        candidates = _candidates(left_by_domain, specs, balance, is_settled)
        best = min(candidates, key=_order, default=None)
        if best is None:
            return planned
        for taken in best.members:
            left_by_domain[best.domain].remove(taken)
        balance.count(best.model)
        members = tuple(one.engine for one in best.members)
        planned.append(PlannedGroup(best.model, members))


def _order(candidate: _Candidate) -> tuple[float, int]:
    return candidate.cost, -candidate.spares


def _candidates(
    left_by_domain: Mapping[str, Sequence[FreeEngine]],
    specs: Sequence[ModelSpec],
    balance: Balance,
    is_settled: Callable[[str], bool],
) -> Iterator[_Candidate]:
    shortest = min(specs, key=balance.saturation)
    short = [model for model in specs if balance.is_short(model)]
    for domain, left in left_by_domain.items():
        models = short if is_settled(domain) else [shortest]
        for model in models:
            candidate = _candidate(domain, left, model, balance)
            if candidate is not None and model in short:
                yield candidate


def _candidate(
    domain: str,
    left: Sequence[FreeEngine],
    model: ModelSpec,
    balance: Balance,
) -> _Candidate | None:
    members = _fastest(left, model)
    if len(members) < model.group_size:
        return None
    stands_in_s = max(one.join_s(model) for one in members)
    cost = balance.saturation(model) + SATURATION_PER_S * stands_in_s
    return _Candidate(model, members, domain, cost, len(left) - len(members))


def _fastest(
    left: Iterable[FreeEngine],
    model: ModelSpec,
) -> tuple[FreeEngine, ...]:
    """Return the engines that can join soonest, without a load of weights."""
    ready = (
        one for one in left if not one.loading and not one.needs_load(model)
    )
    ordered = sorted(ready, key=lambda one: one.join_s(model))
    return tuple(ordered[: model.group_size])


def plan_staging(
    spares: Iterable[FreeEngine],
    specs: Sequence[ModelSpec],
) -> list[tuple[Engine, ModelSpec]]:
    """Return which engines load which model onto their hosts.

    Explanation
    ===========
    An engine that holds one model in memory keeps another on its host, so
    that it can replace members of both.
    """
    planned = []
    for spare in spares:
        others = [one for one in specs if one.name != spare.last_model]
        if not spare.last_model or not others:
            continue
        if not any(one.name in spare.engine.staged for one in others):
            planned.append((spare.engine, others[0]))
    return planned


def domain_of(free: FreeEngine) -> str:
    """Return the name of a free engine's fabric domain."""
    engine = free.engine
    return f'{engine.service}/{engine.fabric_domain}'
