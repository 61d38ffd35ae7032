"""Chooses the group that takes a request."""

import random
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from ..errors import Ran, RudderError
from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory, GroupRecord
from .caller import CallerRequest


class NoGroupServes(RudderError):
    """No whole group can take the request now."""

    code = 'no_group_serves'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat after the time in Retry-After'


@dataclass(slots=True)
class Router:
    """Chooses among whole groups, own failure domain first."""

    failure_domain: str
    directory: GroupDirectory
    evidence: EvidenceBook
    rng: random.Random
    outstanding_by_group: Counter[str] = field(default_factory=Counter)

    def choose(
        self,
        request: CallerRequest,
        avoided: Collection[str] = (),
    ) -> GroupRecord:
        """Return the group for the next attempt.

        Raises
        ======
        NoGroupServes
            No group of the deployment is whole.
        """
        serving = self.serving(request.service.deployment)
        candidates = [
            group for group in serving if group.group_id not in avoided
        ] or serving
        if not candidates:
            raise NoGroupServes(
                f'no whole group serves {request.service_name}',
                retry_after=1,
            )
        near = [
            group
            for group in candidates
            if group.failure_domain == self.failure_domain
        ]
        return min(near or candidates, key=self._cost)

    def serving(self, deployment: str) -> Sequence[GroupRecord]:
        """Return the groups that may be given a request now."""
        return [
            group
            for group in self.directory.of_deployment(deployment)
            if self.evidence.is_serving(group)
        ]

    def _cost(self, group: GroupRecord) -> tuple[int, float]:
        return self.outstanding_by_group[group.group_id], self.rng.random()
