"""Plans which free engine loads which model next.

Explanation
===========
Loads are the bottleneck of repairs: the weight store serves only a few at
once, and each takes longer than all other steps of a repair. Loads that
complete a wanted group come first, the fewest loads before others. Next are
loads that give a group a spare engine in its own fabric domain, so that the
next loss there is repaired without a load.
"""

import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass

from .model import Engine, ModelSpec
from .placement import Balance, FreeEngine, domain_of

# Lower ranks are loaded first. A spare for a group ranks between a group that
# needs one load and a group that needs two.
SPARE_RANK = 1.5
# Before traffic no losses are expected, and groups come before spares.
FIRST_SPARE_RANK = 50.0
SECOND_SPARE_RANK = 100.0
# Added to the rank of a group that lacks engines, so that it comes after those
# that can be completed.
PARTIAL_GROUP_RANK = 20.0


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """An engine and the model that it should load into memory."""

    engine: Engine
    model: ModelSpec


@dataclass(slots=True)
class DomainEngines:
    """A fabric domain's free engines and the members of its groups.

    Parameters
    ==========
    members : Counter
        The number of members of the domain's groups by model.
    """

    free: list[FreeEngine]
    members: Counter[str]

    def held(self, model: ModelSpec) -> int:
        """Return the number of free engines that hold or load a model."""
        return sum(1 for free in self.free if free.held_model == model.name)

    def idle(self) -> list[FreeEngine]:
        """Return the free engines that hold and load no model."""
        return [free for free in self.free if not free.held_model]


@dataclass(frozen=True, slots=True)
class _Option:
    """Loads of one model in a domain; the lowest rank comes first."""

    rank: float
    model: ModelSpec
    engines: tuple[FreeEngine, ...]
    completes: bool


def plan_loads(
    free: Iterable[FreeEngine],
    members_of: Callable[[str], Counter[str]],
    specs: Sequence[ModelSpec],
    balance: Balance,
    *,
    has_traffic: bool,
) -> list[PlannedLoad]:
    """Return the loads of weights to start, the most useful first.

    Explanation
    ===========
    ``members_of`` returns the members of a domain's groups by model.
    """
    domains = [
        DomainEngines(list(group), members_of(domain))
        for domain, group in itertools.groupby(
            sorted(free, key=domain_of), key=domain_of
        )
    ]
    planned: list[PlannedLoad] = []
    while True:
        options = itertools.chain.from_iterable(
            _options(domain, specs, balance, has_traffic=has_traffic)
            for domain in domains
        )
        best = min(options, key=lambda option: option.rank, default=None)
        if best is None:
            return planned
        _apply(best, domains, balance)
        planned.extend(
            PlannedLoad(free.engine, best.model) for free in best.engines
        )


def _options(
    domain: DomainEngines,
    specs: Sequence[ModelSpec],
    balance: Balance,
    *,
    has_traffic: bool,
) -> Iterator[_Option]:
    for model in specs:
        yield from _completing_loads(
            domain, model, balance, has_traffic=has_traffic
        )
        yield from _spare_loads(domain, model, has_traffic=has_traffic)


def _completing_loads(
    domain: DomainEngines,
    model: ModelSpec,
    balance: Balance,
    *,
    has_traffic: bool,
) -> Iterator[_Option]:
    """Yield the loads that complete a wanted group.

    Explanation
    ===========
    Before traffic, engines are still being started. Loads for a group begin
    with the engines that are listed, so that the weight store is never idle.
    """
    missing = model.group_size - domain.held(model)
    if missing <= 0 or not balance.is_short(model):
        return
    eligible = _load_candidates(domain, model)
    if len(eligible) >= missing:
        engines = tuple(eligible[:missing])
        # ``missing`` excludes the loads that are already in progress.
        yield _Option(missing, model, engines, completes=True)
    elif eligible and not has_traffic:
        rank = PARTIAL_GROUP_RANK + missing - len(eligible)
        yield _Option(rank, model, tuple(eligible), completes=True)


def _load_candidates(
    domain: DomainEngines, model: ModelSpec
) -> list[FreeEngine]:
    """Return the engines that may load, the fastest to join first."""
    idle = domain.idle()
    idle.sort(key=lambda free: free.join_s(model))
    if domain.members[model.name] or len(idle) >= model.group_size:
        return idle
    others = [
        free
        for free in domain.free
        if free.held_model not in {'', model.name} and not free.loading
    ]
    return [*idle, *others]


def _spare_loads(
    domain: DomainEngines,
    model: ModelSpec,
    *,
    has_traffic: bool,
) -> Iterator[_Option]:
    """Yield a load that gives the domain a spare engine of a model."""
    idle = domain.idle()
    if not idle:
        return
    already_staged = [free for free in idle if not free.needs_load(model)]
    engine = already_staged[0] if already_staged else idle[0]
    lacks_spare = domain.members[model.name] > 0 and not domain.held(model)
    if lacks_spare:
        rank = SPARE_RANK if has_traffic else FIRST_SPARE_RANK
    else:
        spares_per_member = domain.held(model) / max(
            domain.members[model.name], 0.5
        )
        rank = SECOND_SPARE_RANK + spares_per_member
    # A model on the host needs no load from the weight store.
    yield _Option(
        0 if already_staged else rank, model, (engine,), completes=False
    )


def _apply(
    option: _Option,
    domains: Iterable[DomainEngines],
    balance: Balance,
) -> None:
    """Apply an option, so that the next one is chosen on its result."""
    taken = {free.engine.engine_id for free in option.engines}
    for domain in domains:
        domain.free = [
            FreeEngine(free.engine, free.last_model, option.model.name)
            if free.engine.engine_id in taken
            else free
            for free in domain.free
        ]
    if option.completes:
        balance.add_group(option.model)
