"""Tests when the lease holder moves engines between models."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from ....process.decisions import DecisionLog
from ....process.metrics import Metrics
from ....testing.fleetdata import (
    LARGE,
    SMALL,
    SPEC,
    ManualClock,
    engine,
    formation,
    group_progress,
)
from ....testing.rebalancingdata import balance
from ...group_lifecycle import GroupProgress
from ...membership import InFlightCounts
from ...model import Configuration, Engine, Service
from ...placement import Balance, FreeEngine
from ..rebalancer import OBSERVATION_S, REVERSAL_PAUSE_S, Rebalancer

SHORT_OF_SMALL = balance({'large': 2, 'small': 1}, {'large': 1, 'small': 3})
SHORT_OF_LARGE = balance({'large': 1, 'small': 3}, {'large': 2, 'small': 1})
CONFIGURATION = Configuration(
    1, {}, {'model': Service('model', 9, SPEC)}, {}, False
)


@dataclass(slots=True)
class _Inventory:
    """Engines whose hosts have both models, and what the load asks for."""

    wanted: Balance = field(default_factory=lambda: SHORT_OF_SMALL)
    engines_by_id: dict[str, Engine] = field(default_factory=dict)

    @property
    def directory(self) -> SimpleNamespace:
        return SimpleNamespace(engines_by_id=self.engines_by_id)

    def has_traffic(self) -> bool:
        return True

    def balance(self, *_arguments: object) -> Balance:
        return self.wanted

    def is_evacuated(self, failure_domain: str) -> bool:
        return failure_domain == 'evacuated'

    def as_free(self, listed: Engine) -> FreeEngine:
        return FreeEngine(listed, '')


@dataclass(slots=True)
class _Holder:
    """A lease holder with groups of large models."""

    clock: ManualClock = field(default_factory=ManualClock)
    inventory: _Inventory = field(default_factory=_Inventory)
    groups: list[GroupProgress] = field(default_factory=list)
    rebalancer: Rebalancer = field(init=False)

    def __post_init__(self) -> None:
        inventory: Any = self.inventory
        self.rebalancer = Rebalancer(
            inventory,
            InFlightCounts(),
            SimpleNamespace(),  # type: ignore[arg-type]
            self.clock,
            DecisionLog('vm', self.clock),
            Metrics(),
        )

    def add_group(self, name: str, size: int, domain: str = 'fd-1') -> None:
        """Add a group whose engines may serve either model."""
        members = [f'{name}-{number}' for number in range(size)]
        for member in members:
            self.inventory.engines_by_id[member] = engine(
                member,
                staged=(LARGE.name, SMALL.name),
                failure_domain=domain,
            )
        model = name.partition('.')[0]
        self.groups.append(group_progress(formation(name, members, model)))

    def run(self, after_s: float = 0) -> list[str]:
        """Return the groups that dissolve after some more seconds."""
        self.clock.advance(after_s)
        free: Mapping[str, list[FreeEngine]] = {}
        self.rebalancer.run(self.groups, free, CONFIGURATION)
        return [
            group.formation.name for group in self.groups if group.is_dissolving
        ]


def _holder(domain: str = 'fd-1') -> _Holder:
    holder = _Holder()
    for name in ('large.1', 'large.2'):
        holder.add_group(name, LARGE.group_size, domain)
    holder.run()
    return holder


def test_nothing_moves_before_the_load_shows() -> None:
    """The first requests alone don't tell how the load is split."""
    holder = _holder()
    assert not holder.run(OBSERVATION_S / 2)
    assert holder.run(OBSERVATION_S) == ['large.1']


def test_streams_of_a_converted_group_may_end() -> None:
    """No member is lost, so that none of its streams has to move."""
    holder = _holder()
    holder.run(OBSERVATION_S)
    now = holder.clock.now
    assert not holder.groups[0].is_broken(now + 1)
    assert holder.groups[0].may_finish_streams(now + 1)


def test_model_that_got_groups_gives_none_away_soon() -> None:
    """A load that swings must not move engines back and forth."""
    holder = _holder()
    holder.run(OBSERVATION_S)
    holder.groups.clear()
    for name in ('small.3', 'small.4', 'small.5'):
        holder.add_group(name, SMALL.group_size)
    holder.inventory.wanted = SHORT_OF_LARGE
    assert not holder.run(REVERSAL_PAUSE_S / 2)
    assert holder.run(REVERSAL_PAUSE_S)


def test_groups_of_evacuated_domains_are_not_converted() -> None:
    """Engines of an evacuated domain would form a group that doesn't serve."""
    holder = _holder('evacuated')
    assert not holder.run(OBSERVATION_S)
