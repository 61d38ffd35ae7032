"""Choice of the target for a request.

Explanation
===========
Hundreds of VMs choose at once, on counts that are some 100 ms old. If all of
them took the target that seems least loaded, they would take the same one.
Each therefore draws a few targets at random and takes the best of these (the
power of two choices); this also costs the same however many targets there are.
Of targets with about equal load, one in the VM's own failure domain is
preferred.
"""

import itertools
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from .model import Target

# Share of in-use slots added to targets in other failure domains.
OTHER_DOMAIN_PENALTY = 0.05
# Targets that are compared, in this failure domain and in the others.
COMPARED = 2
# Targets that are drawn at most until enough of them can be used. All targets
# of a smaller pool are compared.
MAX_DRAWS = 6

InFlight = Callable[[str], int]


@dataclass(frozen=True, slots=True)
class TargetPool:
    """The targets of one service and model, split by failure domain."""

    targets: Sequence[Target] = ()
    own: Sequence[Target] = field(default=())
    others: Sequence[Target] = field(default=())


def split_pool(targets: Sequence[Target], failure_domain: str) -> TargetPool:
    """Return a pool as a VM of a failure domain sees it."""
    own = [
        target for target in targets if target.failure_domain == failure_domain
    ]
    others = [
        target for target in targets if target.failure_domain != failure_domain
    ]
    return TargetPool(targets, own, others)


@dataclass(frozen=True, slots=True)
class Balancer:
    """Chooses targets by their share of slots in use.

    Parameters
    ==========
    in_flight : Callable
        Returns the number of in-flight requests at an engine.
    """

    in_flight: InFlight
    rng: random.Random = field(default_factory=random.Random)

    def choose(
        self, pool: TargetPool, is_usable: Callable[[Target], bool]
    ) -> Target | None:
        """Return a target with a free slot, ``None`` if there is none.

        Parameters
        ==========
        is_usable : Callable
            Returns whether a target may get the request now.
        """
        best = self._best(
            self._drawn(pool.own, is_usable),
            self._drawn(pool.others, is_usable),
        )
        if best is not None:
            return best
        return self._any_free(pool.own, is_usable) or self._any_free(
            pool.others, is_usable
        )

    def _any_free(
        self, targets: Sequence[Target], is_usable: Callable[[Target], bool]
    ) -> Target | None:
        """Return any target with a free slot, after no drawn one had one.

        Explanation
        ===========
        Near the limit few targets seem to have a free slot, and all VMs see the
        same ones. The least loaded of these would get all of their requests.
        """
        free = [
            target
            for target in targets
            if self.in_flight(target.engine_id) < target.slots
            and is_usable(target)
        ]
        return self.rng.choice(free) if free else None

    def _drawn(
        self, targets: Sequence[Target], is_usable: Callable[[Target], bool]
    ) -> Iterator[Target]:
        """Yield a few usable targets, drawn at random."""
        drawn = filter(is_usable, _draw(targets, self.rng))
        is_small = len(targets) <= MAX_DRAWS
        return drawn if is_small else itertools.islice(drawn, COMPARED)

    def _best(
        self, own: Iterable[Target], others: Iterable[Target]
    ) -> Target | None:
        """Return the target with the smallest share of slots in use."""
        best: Target | None = None
        best_share = float('inf')
        for targets, penalty in ((own, 0), (others, OTHER_DOMAIN_PENALTY)):
            for target in targets:
                in_use = self.in_flight(target.engine_id)
                share = in_use / target.slots + penalty
                if in_use < target.slots and share < best_share:
                    best = target
                    best_share = share
        return best


def _draw(targets: Sequence[Target], rng: random.Random) -> Iterator[Target]:
    count = len(targets)
    first = int(rng.random() * count)
    if count <= MAX_DRAWS:
        # The first of several equally loaded targets is another one each time.
        return iter((*targets[first:], *targets[:first]))
    return (targets[int(rng.random() * count)] for _ in range(MAX_DRAWS))
