"""Simple routing policies as baselines for the router."""

import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field

from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory, GroupRecord
from ..request.caller import CallerRequest

Groups = Sequence[GroupRecord]


@dataclass(slots=True)
class Baseline:
    """A policy that uses only the record of its own choices."""

    directory: GroupDirectory
    evidence: EvidenceBook
    rng: random.Random
    pick: Callable[['Baseline', Groups], GroupRecord]
    turns: int = 0
    outstanding_by_group: Counter[str] = field(default_factory=Counter)

    def choose(self, request: CallerRequest) -> GroupRecord:
        """Return one of the groups of the deployment that serve."""
        groups = [
            group
            for group in self.directory.of_deployment(
                request.service.deployment,
            )
            if self.evidence.is_serving(group)
        ]
        return self.pick(self, groups)

    @contextmanager
    def dispatched(
        self,
        request: CallerRequest,
        group: GroupRecord,
    ) -> Iterator[None]:
        """Count a request while it is outstanding."""
        self.outstanding_by_group[group.group_id] += 1
        with ExitStack() as stack:
            stack.callback(self._end, group.group_id)
            yield

    def _end(self, group_id: str) -> None:
        self.outstanding_by_group[group_id] -= 1


def pick_random(policy: Baseline, groups: Groups) -> GroupRecord:
    """Pick a group at random."""
    return policy.rng.choice(groups)


def pick_next(policy: Baseline, groups: Groups) -> GroupRecord:
    """Pick the groups by round robin."""
    policy.turns += 1
    return groups[policy.turns % len(groups)]


def pick_least(policy: Baseline, groups: Groups) -> GroupRecord:
    """Pick the group with the fewest requests outstanding from here."""
    return min(
        groups,
        key=lambda group: (
            policy.outstanding_by_group[group.group_id],
            policy.rng.random(),
        ),
    )
