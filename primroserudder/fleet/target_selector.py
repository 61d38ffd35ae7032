"""Selects the target of a request among those that may take it now."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from .balancing import choose_target
from .call import Call
from .directory import Directory
from .health import TargetHealth
from .in_flight import InFlightCounts
from .model import Target


@dataclass(slots=True)
class TargetSelector:
    """Selects targets by their load and by what is known of their health.

    Parameters
    ==========
    broken_groups : Callable
        Returns the groups that the lease holder found broken.
    """

    failure_domain: str
    directory: Directory
    in_flight_counts: InFlightCounts
    health: TargetHealth
    broken_groups: Callable[[], Collection[str]]

    def targets(self, call: Call) -> list[Target]:
        """Return the intact targets of a request, reachable ones if any."""
        service = call.destination.service
        broken = self.broken_groups()
        intact = [
            target
            for target in self.directory.targets(service, call.metadata.model)
            if target.group not in broken or not target.group
        ]
        reachable = [
            target
            for target in intact
            if not self.health.is_domain_avoided(target.failure_domain)
        ]
        return reachable or intact

    def find(self, call: Call) -> Target | None:
        """Return a target with a free slot, ``None`` if there is none."""
        targets = [
            target
            for target in self.targets(call)
            if not self.health.back_off_s(target)
        ]
        avoided = self.health.avoided()
        chosen = self._choose(targets, avoided | call.tried_engines)
        if chosen is None and call.tried_engines:
            chosen = self._choose(targets, avoided)
        return chosen

    def back_off_s(self, call: Call) -> float:
        """Return for how long no target wants a request, in seconds."""
        return min(map(self.health.back_off_s, self.targets(call)), default=0)

    def _choose(
        self, targets: Collection[Target], avoided: Collection[str]
    ) -> Target | None:
        return choose_target(
            targets, self.in_flight_counts.running, self.failure_domain, avoided
        )
