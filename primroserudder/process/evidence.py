"""Evidence that VMs are alive and hold their group's current order."""

from dataclasses import dataclass, field

from .digest import NEVER, RoutingRight
from .engines import EngineStatus
from .evidencestore import EVIDENCE_LIFETIME_S, EvidenceStore
from .groups import GroupRecord, GroupState, Member


@dataclass(frozen=True, slots=True)
class _CachedExpiry:
    """The cached expiry of a group's evidence, valid for one change count."""

    group: GroupRecord
    changes: int
    until: float


@dataclass(slots=True)
class EvidenceBook(EvidenceStore):
    """Decides from the members' evidence which groups may get requests."""

    _cached_by_group: dict[str, _CachedExpiry] = field(default_factory=dict)

    def is_whole(self, group: GroupRecord) -> bool:
        """Return whether fresh evidence shows all members holding the order."""
        now = self.clock.monotonic()
        cached = self._cached_by_group.get(group.group_id)
        if cached is not None and cached.group is group:
            if cached.changes == self.changes and now <= cached.until:
                return True
        cached = _CachedExpiry(group, self.changes, self.whole_until(group))
        self._cached_by_group[group.group_id] = cached
        return now <= cached.until

    def whole_until(self, group: GroupRecord) -> float:
        """Return the time until which the evidence shows a group as whole."""
        seen_times = [
            self._confirmed_at(group, member) for member in group.members
        ]
        seen_at = min(seen_times, default=NEVER)
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
        """Return whether the record or a member shows the group as leaving."""
        if group.state in {GroupState.DRAINING, GroupState.RETIRED}:
            return True
        member_evidence = (
            self.evidence(member.vm_id) for member in group.members
        )
        return any(
            evidence is not None
            and isinstance(evidence.observation, EngineStatus)
            and evidence.observation.draining
            for evidence in member_evidence
        )

    def _confirmed_at(self, group: GroupRecord, member: Member) -> float:
        evidence = self.evidence(member.vm_id)
        if evidence is None or not isinstance(
            evidence.observation, EngineStatus
        ):
            return NEVER
        is_held = holds_order(evidence.observation, group, member)
        return evidence.seen_at if is_held else NEVER


def right_name(group_id: str) -> str:
    """Return the item name of the routing right to a group."""
    return f'right/{group_id}'


def holds_order(
    status: EngineStatus,
    group: GroupRecord,
    member: Member,
) -> bool:
    """Return whether a status shows that a member holds the group's order."""
    if not status.ready or status.draining:
        return False
    identity = (status.vm_id, status.incarnation)
    if identity != (member.vm_id, member.incarnation):
        return False
    held = (status.group_id, status.generation, status.model_version)
    wanted = (group.group_id, group.generation, group.model_version)
    members = [member.vm_id for member in group.members]
    return held == wanted and list(status.members) == members
