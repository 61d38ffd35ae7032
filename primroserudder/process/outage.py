"""Counts group downtime and stranded accelerators."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from .clock import Clock
from .groups import GroupRecord, GroupState
from .memberstatus import MemberStatus, StatusesByGroup, is_confirmed
from .metrics import Metrics

ACCELERATORS_PER_VM = 8


@dataclass(slots=True)
class OutageCosts:
    """Group downtime and stranded accelerators, by deployment.

    Explanation
    ===========
    A group that should serve and is not whole is down; the accelerators of
    its living members are held and serve nobody. The time since the last
    look counts as the look finds it.
    """

    clock: Clock
    metrics: Metrics
    failure_domain: str
    down_s: dict[str, float] = field(default_factory=dict)
    stranded_s: dict[str, float] = field(default_factory=dict)
    _looked_at: float | None = None

    def step(
        self,
        groups: Iterable[GroupRecord],
        statuses_by_group: StatusesByGroup,
    ) -> None:
        """Count the time since the last look."""
        now = self.clock.monotonic()
        passed = 0 if self._looked_at is None else now - self._looked_at
        self._looked_at = now
        for group in groups:
            statuses = statuses_by_group.get(group.group_id, ())
            if group.state is GroupState.RETIRED or _serves(group, statuses):
                continue
            living = sum(status is not None for status in statuses)
            stranded_s = living * ACCELERATORS_PER_VM * passed
            self._count(group.deployment, passed, stranded_s)

    def dump(self) -> Mapping[str, object]:
        """Return the sums for the state dump."""
        return {
            'group_downtime_s': self.down_s,
            'stranded_accelerator_s': self.stranded_s,
        }

    def _count(self, deployment: str, down_s: float, held_s: float) -> None:
        down = self.down_s.get(deployment, 0)
        self.down_s[deployment] = down + down_s
        stranded = self.stranded_s.get(deployment, 0)
        self.stranded_s[deployment] = stranded + held_s
        labels = {
            'deployment': deployment,
            'failure_domain': self.failure_domain,
        }
        self.metrics.count('group_downtime_seconds', down_s, **labels)
        self.metrics.count('stranded_accelerator_seconds', held_s, **labels)


def _serves(group: GroupRecord, statuses: Sequence[MemberStatus]) -> bool:
    is_meant_to = group.state is GroupState.SERVING
    return is_meant_to and is_confirmed(group, statuses)
