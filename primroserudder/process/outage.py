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
    """Sums of group downtime and stranded accelerator time by deployment.

    Explanation
    ===========
    A group that is not retired is down unless it is in state serving and all
    members confirm its order. The accelerators of its reachable members are
    stranded: they are reserved and serve no requests. The whole time since
    the last poll counts with the state that the current poll finds.
    """

    clock: Clock
    metrics: Metrics
    failure_domain: str
    down_s: dict[str, float] = field(default_factory=dict)
    stranded_s: dict[str, float] = field(default_factory=dict)
    _polled_at: float | None = None

    def step(
        self,
        groups: Iterable[GroupRecord],
        statuses_by_group: StatusesByGroup,
    ) -> None:
        """Add the time since the last poll to the sums."""
        now = self.clock.monotonic()
        elapsed_s = 0 if self._polled_at is None else now - self._polled_at
        self._polled_at = now
        for group in groups:
            statuses = statuses_by_group.get(group.group_id, ())
            if group.state is GroupState.RETIRED or _serves(group, statuses):
                continue
            reachable = sum(status is not None for status in statuses)
            stranded_s = reachable * ACCELERATORS_PER_VM * elapsed_s
            self._count(group.deployment, elapsed_s, stranded_s)

    def dump(self) -> Mapping[str, object]:
        """Return the sums for the state dump, in seconds."""
        return {
            'group_downtime_s': self.down_s,
            'stranded_accelerator_s': self.stranded_s,
        }

    def _count(self, deployment: str, down_s: float, stranded_s: float) -> None:
        down = self.down_s.get(deployment, 0)
        self.down_s[deployment] = down + down_s
        stranded = self.stranded_s.get(deployment, 0)
        self.stranded_s[deployment] = stranded + stranded_s
        labels = {
            'deployment': deployment,
            'failure_domain': self.failure_domain,
        }
        self.metrics.count('group_downtime_seconds', down_s, **labels)
        self.metrics.count('stranded_accelerator_seconds', stranded_s, **labels)


def _serves(group: GroupRecord, statuses: Sequence[MemberStatus]) -> bool:
    should_serve = group.state is GroupState.SERVING
    return should_serve and is_confirmed(group, statuses)
