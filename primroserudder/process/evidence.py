"""Evidence that VMs are alive and hold the order of their group."""

from dataclasses import dataclass, field

from .digest import NEVER, RoutingRight
from .engines import EngineStatus
from .evidencestore import EVIDENCE_LIFETIME_S, EvidenceStore
from .groups import GroupRecord, GroupState, Member


@dataclass(frozen=True, slots=True)
class _Granted:
    """A group's right to be sent to, as worked out at one state."""

    group: GroupRecord
    changes: int
    until: float


@dataclass(slots=True)
class EvidenceBook(EvidenceStore):
    """Judges groups by the evidence of their members."""

    _granted_by_group: dict[str, _Granted] = field(default_factory=dict)

    def is_whole(self, group: GroupRecord) -> bool:
        """Return whether all members hold the order and were seen lately."""
        now = self.clock.monotonic()
        granted = self._granted_by_group.get(group.group_id)
        if granted is not None and granted.group is group:
            if granted.changes == self.changes and now <= granted.until:
                return True
        granted = _Granted(group, self.changes, self.whole_until(group))
        self._granted_by_group[group.group_id] = granted
        return now <= granted.until

    def whole_until(self, group: GroupRecord) -> float:
        """Return the time until which the evidence holds a group whole."""
        seen = [self._confirmed_at(group, each) for each in group.members]
        seen_at = min(seen, default=NEVER)
        right = self.evidence(right_name(group.group_id))
        if right is not None and right.observation == RoutingRight(
            group.generation
        ):
            seen_at = max(seen_at, right.seen_at)
        return seen_at + EVIDENCE_LIFETIME_S

    def is_serving(self, group: GroupRecord) -> bool:
        """Return whether the group may be given a request now."""
        return group.state is GroupState.SERVING and self.is_whole(group)

    def is_draining(self, group: GroupRecord) -> bool:
        """Return whether the group leaves, by its record or by a member."""
        if group.state in {GroupState.DRAINING, GroupState.RETIRED}:
            return True
        found = (self.evidence(member.vm_id) for member in group.members)
        return any(
            known is not None
            and isinstance(known.observation, EngineStatus)
            and known.observation.draining
            for known in found
        )

    def _confirmed_at(self, group: GroupRecord, member: Member) -> float:
        known = self.evidence(member.vm_id)
        if known is None or not isinstance(known.observation, EngineStatus):
            return NEVER
        is_held = holds_order(known.observation, group, member)
        return known.seen_at if is_held else NEVER


def right_name(group_id: str) -> str:
    """Return the name under which the right to a group is told."""
    return f'right/{group_id}'


def holds_order(
    status: EngineStatus,
    group: GroupRecord,
    member: Member,
) -> bool:
    """Return whether a status confirms the member's place in the group."""
    if not status.ready or status.draining:
        return False
    found = (status.vm_id, status.incarnation)
    if found != (member.vm_id, member.incarnation):
        return False
    held = (status.group_id, status.generation, status.model_version)
    wanted = (group.group_id, group.generation, group.model_version)
    members = [member.vm_id for member in group.members]
    return held == wanted and list(status.members) == members
