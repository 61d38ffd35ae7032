"""Ways to choose a target: the router's and simple baselines."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Protocol

import xxhash

from ..fleet.balancing import Balancer, InFlight, TargetPool
from ..fleet.model import Target

# Targets of each VM where every VM has a subset of its own.
SUBSET_SIZE = 8

IsUsable = Callable[[Target], bool]


class Chooser(Protocol):
    """Chooses a target for a request of one VM."""

    def choose(self, pool: TargetPool, is_usable: IsUsable) -> Target | None:
        """Return a target with a free slot, ``None`` if there is none."""


@dataclass(frozen=True, slots=True)
class LeastOfAll:
    """Takes the target that seems least loaded, the first of equal ones."""

    in_flight: InFlight

    def choose(self, pool: TargetPool, is_usable: IsUsable) -> Target | None:
        """Return a target with a free slot, ``None`` if there is none."""
        free = [
            target
            for target in pool.targets
            if is_usable(target)
            and self.in_flight(target.engine_id) < target.slots
        ]
        return min(
            free,
            key=lambda target: self.in_flight(target.engine_id),
            default=None,
        )


@dataclass(frozen=True, slots=True)
class OneOfTheLeast:
    """Draws from the targets within one request of the least loaded."""

    in_flight: InFlight
    rng: random.Random = field(default_factory=random.Random)

    def choose(self, pool: TargetPool, is_usable: IsUsable) -> Target | None:
        """Return a target with a free slot, ``None`` if there is none."""
        loads = {
            target: load
            for target in pool.targets
            if is_usable(target)
            and (load := self.in_flight(target.engine_id)) < target.slots
        }
        least = min(loads.values(), default=0)
        near = [target for target, load in loads.items() if load <= least + 1]
        return self.rng.choice(near) if near else None


@dataclass(frozen=True, slots=True)
class LeastOfSubset:
    """Takes the least loaded target of a fixed subset, a VM's own."""

    in_flight: InFlight
    vm: str

    def choose(self, pool: TargetPool, is_usable: IsUsable) -> Target | None:
        """Return a target with a free slot, ``None`` if there is none."""
        subset = sorted(pool.targets, key=self._weight)[:SUBSET_SIZE]
        chosen = LeastOfAll(self.in_flight).choose(
            TargetPool(subset), is_usable
        )
        return chosen or LeastOfAll(self.in_flight).choose(pool, is_usable)

    def _weight(self, target: Target) -> int:
        return xxhash.xxh32_intdigest(f'{self.vm} {target.engine_id}'.encode())


MakeChooser = Callable[[InFlight, str], Chooser]


def _balancer(in_flight: InFlight, vm: str) -> Chooser:
    return Balancer(in_flight, random.Random(vm))


def _least_of_all(in_flight: InFlight, _vm: str) -> Chooser:
    return LeastOfAll(in_flight)


def _one_of_the_least(in_flight: InFlight, vm: str) -> Chooser:
    return OneOfTheLeast(in_flight, random.Random(vm))


CHOOSERS: Mapping[str, MakeChooser] = MappingProxyType(
    {
        'router': _balancer,
        'least of all': _least_of_all,
        'one of the least': _one_of_the_least,
        'least of a subset': LeastOfSubset,
    }
)
