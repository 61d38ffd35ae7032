"""Selects the target of a request among those that may take it now."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from .balancing import Balancer, TargetPool, slots_in_use, split_pool
from .call import Call
from .cost.calls import CallCosts
from .directory import Directory
from .enginelimits import LimitGate
from .evacuation import Evacuations
from .forwarding import Forwarder
from .health import TargetHealth
from .membership import short_key
from .model import Target
from .regions import RegionMap
from .regions.rules import Regions

# Name of the pool of other routers; pools of engines have a slash.
ROUTERS = 'routers'
PoolKey = tuple[str, Regions | None]


@dataclass(frozen=True, slots=True)
class _UsableTargets:
    """Tells which targets may get a request now."""

    health: TargetHealth
    limits: LimitGate
    broken: Collection[int]
    cut_off: Collection[str]
    tried: Collection[str] = ()

    def __call__(self, target: Target) -> bool:
        """Return whether a target may get the request."""
        is_wanted = (
            target.engine_id not in self.tried
            and _is_intact(target, self.broken)
            and target.failure_domain not in self.cut_off
        )
        return (
            is_wanted
            and self.health.is_usable(target)
            and self.limits.may_send(target)
        )


@dataclass(frozen=True, slots=True)
class _SplitPool:
    """A pool, and the lists from which it was made."""

    listed: Sequence[Target]
    evacuated: frozenset[str]
    pool: TargetPool


@dataclass(slots=True)
class TargetSelector:
    """Selects targets by cost or load and by what is known of their health.

    Parameters
    ==========
    broken_groups : Callable
        Returns the keys of the groups that the lease holder found broken.
    """

    failure_domain: str
    directory: Directory
    balancer: Balancer
    health: TargetHealth
    limits: LimitGate
    forwarder: Forwarder
    broken_groups: Callable[[], Collection[int]]
    evacuations: Evacuations
    regions: RegionMap
    costs: CallCosts
    _pools: dict[PoolKey, _SplitPool] = field(default_factory=dict)

    def has_targets(self, call: Call) -> bool:
        """Return whether an intact target serves a request's model."""
        broken = self.broken_groups()
        targets = self._pool(call).targets
        return any(_is_intact(target, broken) for target in targets)

    def is_evacuated(self, call: Call) -> bool:
        """Return whether evacuations leave a request no target."""
        if not self.evacuations.domains or self.has_targets(call):
            return False
        broken = self.broken_groups()
        return any(_is_intact(target, broken) for target in self._listed(call))

    def has_routers(self, call: Call) -> bool:
        """Return whether a request may be forwarded to any other router."""
        return bool(self._routers(call).targets)

    def is_forwarding(self, call: Call) -> bool:
        """Return whether a request goes to another router now."""
        return self.forwarder.is_active and not call.is_forwarded

    def find(self, call: Call, leaving: str = '') -> Target | None:
        """Return a target with a free slot, ``None`` if there is none.

        Parameters
        ==========
        leaving : str
            Id of an engine that the request leaves, empty if there is none.

        Explanation
        ===========
        Engines that the request has tried are used again only if no other one
        has a free slot, those of an unreachable domain only if there are no
        others.
        """
        is_forwarding = self.is_forwarding(call)
        pool = self._routers(call) if is_forwarding else self._pool(call)
        broken = self.broken_groups()
        cut_off = self._cut_off_domains(pool, broken)
        tried = {leaving, *call.tried_engines}
        untried = _UsableTargets(
            self.health, self.limits, broken, cut_off, tried
        )
        # Other routers have no engine times.
        rate = slots_in_use if is_forwarding else self.costs.rating(call)
        chosen = self.balancer.choose(pool, untried, rate)
        if chosen is None and call.tried_engines:
            any_usable = _UsableTargets(
                self.health, self.limits, broken, cut_off, (leaving,)
            )
            chosen = self.balancer.choose(pool, any_usable, rate)
        return chosen

    def back_off_s(self, call: Call, waiting: int) -> float:
        """Return for how long no target takes a request, in seconds.

        Parameters
        ==========
        waiting : int
            How many requests wait for the same targets already.

        Explanation
        ===========
        Targets ask for a pause, or are at limits that they named or that hold
        while they are cold.
        """
        if not self.health.backing_off_until and not self.limits.has_limits():
            return 0
        broken = self.broken_groups()
        intact = [
            target
            for target in self._pool(call).targets
            if _is_intact(target, broken)
        ]
        back_offs_s = [self.health.back_off_s(target) for target in intact]
        ready = [
            target
            for target, back_off_s in zip(intact, back_offs_s, strict=True)
            if not back_off_s
        ]
        if ready:
            return self.limits.wait_s(ready, waiting)
        return min(back_offs_s, default=0)

    def _pool(self, call: Call) -> TargetPool:
        """Return the targets that a request is not barred from."""
        return self._split(call.pool, self._listed(call), call.regions)

    def _listed(self, call: Call) -> Sequence[Target]:
        return self.directory.targets(
            call.destination.service, call.metadata.model
        )

    def _routers(self, call: Call) -> TargetPool:
        """Return the routers that may get a request's body."""
        pool = self.forwarder.pool()
        if call.regions is None:
            return pool
        return self._split(ROUTERS, pool.targets, call.regions)

    def _split(
        self, name: str, targets: Sequence[Target], regions: Regions | None
    ) -> TargetPool:
        """Return a pool without evacuated domains and other regions.

        Explanation
        ===========
        It is split once for each list of targets, set of evacuated domains and
        list of regions, so that they cost a request two comparisons.
        """
        evacuated = self.evacuations.domains
        known = self._pools.get((name, regions))
        if (
            known is None
            or known.listed is not targets
            or known.evacuated is not evacuated
        ):
            usable = self.evacuations.usable(targets)
            inside = self.regions.inside(usable, regions)
            pool = split_pool(inside, self.failure_domain)
            known = _SplitPool(targets, evacuated, pool)
            self._pools[name, regions] = known
        return known.pool

    def _cut_off_domains(
        self, pool: TargetPool, broken: Collection[int]
    ) -> Collection[str]:
        """Return the unreachable domains, none if no target is elsewhere."""
        cut_off = self.health.cut_off_domains()
        if not cut_off:
            return ()
        is_any_elsewhere = any(
            target.failure_domain not in cut_off and _is_intact(target, broken)
            for target in pool.targets
        )
        return cut_off if is_any_elsewhere else ()


def _is_intact(target: Target, broken: Collection[int]) -> bool:
    return not (broken and target.group and short_key(target.group) in broken)
