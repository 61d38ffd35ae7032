"""Which free engine loads which model next.

Explanation
===========
Answers the scarcest means of a day of losses: the weight store carries a few
loads at once, each of which takes longer than all else in a repair. A load
goes first where it completes a group that is wanted with the fewest loads,
then where it gives a group a spare engine in its own fabric domain, so that
the next loss there costs a moment and not a load.
"""

import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass

from .model import Engine, ModelSpec
from .placement import Balance, FreeEngine, domain_of

# A spare beside a group weighs between a group that one load completes and
# one that takes two.
SPARE_RANK = 1.5
# Before traffic nothing is lost yet, and groups go before spares.
FIRST_SPARE_RANK = 50.0
SECOND_SPARE_RANK = 100.0
# A group that lacks engines yet waits for those that can be completed.
EARLY_RANK = 20.0


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """An engine and the model that it is to hold in memory."""

    engine: Engine
    model: ModelSpec


@dataclass(slots=True)
class DomainStock:
    """A fabric domain's free engines and what its groups need.

    Parameters
    ==========
    members : Counter
        Members of the domain's groups by model.
    """

    free: list[FreeEngine]
    members: Counter[str]

    def held(self, model: ModelSpec) -> int:
        """Return the free engines that hold a model or load it."""
        return sum(1 for one in self.free if one.held_model == model.name)

    def idle(self) -> list[FreeEngine]:
        """Return the free engines that hold no model."""
        return [one for one in self.free if not one.held_model]


@dataclass(frozen=True, slots=True)
class _Option:
    """Loads of a model in a domain, and when their turn is."""

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
    """Return the loads of weights to begin, the most useful first."""
    stocks = [
        DomainStock(list(group), members_of(domain))
        for domain, group in itertools.groupby(
            sorted(free, key=domain_of), key=domain_of
        )
    ]
    planned: list[PlannedLoad] = []
    while True:
        options = itertools.chain.from_iterable(
            _options(stock, specs, balance, has_traffic=has_traffic)
            for stock in stocks
        )
        best = min(options, key=lambda one: one.rank, default=None)
        if best is None:
            return planned
        _take(best, stocks, balance)
        planned.extend(
            PlannedLoad(one.engine, best.model) for one in best.engines
        )


def _options(
    stock: DomainStock,
    specs: Sequence[ModelSpec],
    balance: Balance,
    *,
    has_traffic: bool,
) -> Iterator[_Option]:
    for model in specs:
        yield from _completing(stock, model, balance, has_traffic=has_traffic)
        yield from _sparing(stock, model, has_traffic=has_traffic)


def _completing(
    stock: DomainStock,
    model: ModelSpec,
    balance: Balance,
    *,
    has_traffic: bool,
) -> Iterator[_Option]:
    """Return the loads that complete a group that is wanted.

    Explanation
    ===========
    Before traffic engines still appear. A group is begun with those that are
    there, so that the weight store is never idle.
    """
    missing = model.group_size - stock.held(model)
    if missing <= 0 or not balance.is_short(model):
        return
    takable = _cheapest(stock, model)
    if len(takable) >= missing:
        engines = tuple(takable[:missing])
        # Loads that are under way already leave less to be done.
        yield _Option(missing, model, engines, completes=True)
    elif takable and not has_traffic:
        rank = EARLY_RANK + missing - len(takable)
        yield _Option(rank, model, tuple(takable), completes=True)


def _cheapest(stock: DomainStock, model: ModelSpec) -> list[FreeEngine]:
    """Return the engines that may load, those with the model at hand first."""
    idle = stock.idle()
    idle.sort(key=lambda one: one.join_s(model))
    if stock.members[model.name] or len(idle) >= model.group_size:
        return idle
    others = [
        one
        for one in stock.free
        if one.held_model not in {'', model.name} and not one.loading
    ]
    return [*idle, *others]


def _sparing(
    stock: DomainStock,
    model: ModelSpec,
    *,
    has_traffic: bool,
) -> Iterator[_Option]:
    """Return a load that gives the domain a spare engine of a model."""
    idle = stock.idle()
    if not idle:
        return
    kept = [one for one in idle if not one.needs_load(model)]
    engine = kept[0] if kept else idle[0]
    is_bare = stock.members[model.name] > 0 and not stock.held(model)
    if is_bare:
        rank = SPARE_RANK if has_traffic else FIRST_SPARE_RANK
    else:
        per_member = stock.held(model) / max(stock.members[model.name], 0.5)
        rank = SECOND_SPARE_RANK + per_member
    # What is at hand on the host costs no load at all.
    yield _Option(0 if kept else rank, model, (engine,), completes=False)


def _take(
    option: _Option,
    stocks: Iterable[DomainStock],
    balance: Balance,
) -> None:
    """Count an option in, so that the next one builds on it."""
    taken = {one.engine.engine_id for one in option.engines}
    for stock in stocks:
        stock.free = [
            FreeEngine(one.engine, one.last_model, option.model.name)
            if one.engine.engine_id in taken
            else one
            for one in stock.free
        ]
    if option.completes:
        balance.count(option.model)
