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
# Rates a target with a number of requests in flight, in another failure domain
# or not; the least rating is the best, an infinite one excludes the target.
Rating = Callable[[Target, int, bool], float]


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


def slots_in_use(target: Target, in_flight: int, is_elsewhere: bool) -> float:
    """Return the share of a target's slots in use.

    Examples
    ========
    >>> slots_in_use(Target('i-1', '10.0.0.1:1', 'fd-1', 10), 4, False)
    0.4
    """
    penalty = OTHER_DOMAIN_PENALTY if is_elsewhere else 0
    return in_flight / target.slots + penalty


@dataclass(frozen=True, slots=True)
class Balancer:
    """Chooses targets by their share of slots in use, or by another rating.

    Parameters
    ==========
    in_flight : Callable
        Returns the number of in-flight requests at an engine.
    """

    in_flight: InFlight
    rng: random.Random = field(default_factory=random.Random)

    def choose(
        self,
        pool: TargetPool,
        is_usable: Callable[[Target], bool],
        rate: Rating = slots_in_use,
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
            rate,
        )
        if best is not None:
            return best
        own = self._any_free(pool.own, is_usable, rate)
        return own or self._any_free(pool.others, is_usable, rate)

    def _any_free(
        self,
        targets: Sequence[Target],
        is_usable: Callable[[Target], bool],
        rate: Rating,
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
            if (in_use := self.in_flight(target.engine_id)) < target.slots
            and is_usable(target)
            and rate(target, in_use, False) < float('inf')
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
        self, own: Iterable[Target], others: Iterable[Target], rate: Rating
    ) -> Target | None:
        """Return the target with the smallest rating."""
        best: Target | None = None
        least = float('inf')
        for targets, is_elsewhere in ((own, False), (others, True)):
            for target in targets:
                in_use = self.in_flight(target.engine_id)
                if in_use >= target.slots:
                    continue
                rating = rate(target, in_use, is_elsewhere)
                if rating < least:
                    best = target
                    least = rating
        return best


def _draw(targets: Sequence[Target], rng: random.Random) -> Iterator[Target]:
    count = len(targets)
    first = int(rng.random() * count)
    if count <= MAX_DRAWS:
        # The first of several equally loaded targets is another one each time.
        return iter((*targets[first:], *targets[:first]))
    return (targets[int(rng.random() * count)] for _ in range(MAX_DRAWS))
