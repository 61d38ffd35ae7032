"""Plans which free engines form groups, and which models spares stage.

Explanation
===========
Engines may be lost all day long. Each fabric domain forms groups of the models
that the site has too few of. Its spare engines keep one model in memory and
another one on the host, so that any loss is repaired without a load of
weights.
"""

import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from .model import Engine, ModelSpec

# Time that the platform states for the join of an engine whose last group
# served the same model.
REJOIN_S = 0.2
# Cost of each second until a group is ready, in units of saturation: a load of
# weights outweighs a model that lacks a third of its groups.
SATURATION_PER_S = 0.03


@dataclass(frozen=True, slots=True)
class FreeEngine:
    """An unclaimed engine, its last model and the model it is loading."""

    engine: Engine
    last_model: str
    loading: str = ''

    @property
    def held_model(self) -> str:
        """Return the model in memory, or the one that is being loaded."""
        return self.loading or self.last_model

    def join_s(self, model: ModelSpec) -> float:
        """Return the seconds that it takes to join a group of a model."""
        if self.last_model == model.name:
            return REJOIN_S
        if model.name in self.engine.staged:
            return model.warm_s
        return model.load_s + model.warm_s

    def needs_load(self, model: ModelSpec) -> bool:
        """Return whether a join needs a load from the weight store."""
        return self.join_s(model) > max(model.warm_s, REJOIN_S)


@dataclass(frozen=True, slots=True)
class PlannedGroup:
    """Engines that will form a group; the first becomes the head."""

    model: ModelSpec
    members: tuple[Engine, ...]


@dataclass(slots=True)
class Balance:
    """The number of groups of each model, and the number wanted."""

    groups_by_model: Counter[str]
    wanted_by_model: Mapping[str, float]

    def saturation(self, model: ModelSpec) -> float:
        """Return existing groups over wanted groups, inf if none is wanted."""
        wanted = self.wanted_by_model.get(model.name, 0)
        groups = self.groups_by_model[model.name]
        return groups / wanted if wanted > 0 else math.inf

    def is_short(self, model: ModelSpec) -> bool:
        """Return whether another group of a model is wanted."""
        return self.saturation(model) < 1

    def add_group(self, model: ModelSpec) -> None:
        """Add a planned group to the count."""
        self.groups_by_model[model.name] += 1


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A group that could be formed, with its cost and remaining spares."""

    model: ModelSpec
    members: tuple[FreeEngine, ...]
    domain: str
    cost: float
    rooms_lost: int
    spares: int


def plan_groups(
    free: Iterable[FreeEngine],
    specs: Sequence[ModelSpec],
    balance: Balance,
    is_settled: Callable[[str], bool],
) -> list[PlannedGroup]:
    """Return the groups to form from the free engines of all domains.

    Explanation
    ===========
    Groups are chosen in the order of their cost, which grows with the
    model's saturation and with the time until the group is ready. Among
    groups of equal cost, one that leaves its domain room for as many groups
    of the largest model as before comes first, and then the domain with the
    most spare engines. Engines beyond the wanted groups stay spares. No group
    is formed of engines that would have to load weights first, because they
    would be occupied without serving.

    Parameters
    ==========
    is_settled : Callable
        Whether no more engines are expected to become free in a domain
        soon. In other domains only groups of the model with the lowest
        saturation are formed.
    """
    free_by_domain = {
        domain: list(group)
        for domain, group in itertools.groupby(
            sorted(free, key=domain_of), key=domain_of
        )
    }
    planned: list[PlannedGroup] = []
    while True:
        candidates = _candidates(free_by_domain, specs, balance, is_settled)
        best = min(candidates, key=_priority, default=None)
        if best is None:
            return planned
        for taken in best.members:
            free_by_domain[best.domain].remove(taken)
        balance.add_group(best.model)
        members = tuple(member.engine for member in best.members)
        planned.append(PlannedGroup(best.model, members))


def _priority(candidate: _Candidate) -> tuple[float, int, int]:
    return candidate.cost, candidate.rooms_lost, -candidate.spares


def _candidates(
    free_by_domain: Mapping[str, Sequence[FreeEngine]],
    specs: Sequence[ModelSpec],
    balance: Balance,
    is_settled: Callable[[str], bool],
) -> Iterator[_Candidate]:
    largest = max(model.group_size for model in specs)
    scarcest = min(specs, key=balance.saturation)
    short = [model for model in specs if balance.is_short(model)]
    for domain, remaining in free_by_domain.items():
        models = short if is_settled(domain) else [scarcest]
        for model in models:
            candidate = _candidate(domain, remaining, model, balance, largest)
            if candidate is not None and model in short:
                yield candidate


def _candidate(
    domain: str,
    remaining: Sequence[FreeEngine],
    model: ModelSpec,
    balance: Balance,
    largest: int,
) -> _Candidate | None:
    members = _fastest(remaining, model)
    if len(members) < model.group_size:
        return None
    ready_in_s = max(member.join_s(model) for member in members)
    cost = balance.saturation(model) + SATURATION_PER_S * ready_in_s
    spares = len(remaining) - len(members)
    rooms_lost = len(remaining) // largest - spares // largest
    if model.group_size == largest:
        rooms_lost -= 1
    return _Candidate(model, members, domain, cost, rooms_lost, spares)


def _fastest(
    remaining: Iterable[FreeEngine],
    model: ModelSpec,
) -> tuple[FreeEngine, ...]:
    """Return the engines that join fastest without a load of weights."""
    candidates = (
        free
        for free in remaining
        if not free.loading and not free.needs_load(model)
    )
    ordered = sorted(candidates, key=lambda free: free.join_s(model))
    return tuple(ordered[: model.group_size])


def plan_staging(
    spares: Iterable[FreeEngine],
    specs: Sequence[ModelSpec],
) -> list[tuple[Engine, ModelSpec]]:
    """Return which engines should load which model onto their hosts.

    Explanation
    ===========
    An engine with one model in memory keeps another one on its host, so that
    it can replace a member of a group of either model.
    """
    planned = []
    for spare in spares:
        others = [model for model in specs if model.name != spare.last_model]
        if not spare.last_model or not others:
            continue
        if not any(model.name in spare.engine.staged for model in others):
            planned.append((spare.engine, others[0]))
    return planned


def domain_of(free: FreeEngine) -> str:
    """Return the name of a free engine's fabric domain."""
    engine = free.engine
    return f'{engine.service}/{engine.fabric_domain}'
