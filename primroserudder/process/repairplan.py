"""Plans repairs from the platform's rows and the VMs' statuses."""

from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from ..version.document import ModelDeployment
from .claims import DomainView
from .clock import Clock
from .groups import GroupRecord, GroupState, Member
from .memberstatus import MemberStatus, StatusesByGroup
from .platform import VmListing, VmState
from .repair import Action, BrokenGroup, Choice, Costs, Hazards, RepairPolicy

# A group counts as broken only after this time, so that one or two failed
# polls of a member do not start a repair.
MISSING_AFTER_S = 6
# No group is rebuilt while more than this share of the deployment's VMs is
# missing at the same time.
MASS_OUTAGE_SHARE = 0.5
Repair = tuple[GroupRecord, Sequence[Member]]


@dataclass(slots=True)
class RepairPlanner:
    """Tracks since when VMs are missing and applies the repair policy."""

    clock: Clock
    hazards: Hazards = field(default_factory=Hazards)
    missing_since_by_vm: dict[str, float] = field(default_factory=dict)
    flaps_by_vm: dict[str, int] = field(default_factory=dict)

    def plan(
        self,
        name: str,
        deployment: ModelDeployment,
        view: DomainView,
        statuses_by_group: StatusesByGroup,
        excluded: Collection[str] = (),
    ) -> Iterator[Repair]:
        """Yield the groups to form again and their new members.

        Explanation
        ===========
        Empty members mean that the group releases its VMs.
        """
        groups = [
            group
            for group in view.groups
            if group.deployment == name
            and group.state in {GroupState.FORMING, GroupState.SERVING}
        ]
        broken = [
            self._find_missing(group, statuses_by_group[group.group_id], view)
            for group in groups
        ]
        policy = RepairPolicy(
            costs_of(deployment),
            self.hazards,
            is_rebuild_allowed=not _is_mass_outage(groups, broken),
        )
        policy.flaps_by_vm.update(self.flaps_by_vm)
        spares = _spares_by_fabric(
            view.without(excluded),
            deployment.pool,
        )
        choices = policy.choose(
            [each for each in broken if each.missing_s_by_vm],
            spares,
            sum(group.state is GroupState.FORMING for group in groups),
        )
        return self._members(choices, groups, view)

    def _find_missing(
        self,
        group: GroupRecord,
        statuses: Sequence[MemberStatus],
        view: DomainView,
    ) -> BrokenGroup:
        now = self.clock.monotonic()
        listed = view.listed_vm_ids()
        missing = {}
        for member, status in zip(group.members, statuses, strict=True):
            is_present = status is not None and status.vm_id == member.vm_id
            if is_present and member.vm_id in listed:
                self._note_return(member.vm_id)
                continue
            since = self.missing_since_by_vm.setdefault(member.vm_id, now)
            missing[member.vm_id] = now - since
        is_too_early = max(missing.values(), default=0) < MISSING_AFTER_S
        return BrokenGroup(
            group.group_id,
            group.fabric_domain,
            [vm for vm in _vm_ids(group) if vm not in missing],
            {} if is_too_early else missing,
        )

    def _note_return(self, vm_id: str) -> None:
        if self.missing_since_by_vm.pop(vm_id, None) is not None:
            self.flaps_by_vm[vm_id] = self.flaps_by_vm.get(vm_id, 0) + 1

    def _members(
        self,
        choices: Sequence[Choice],
        groups: Sequence[GroupRecord],
        view: DomainView,
    ) -> Iterator[Repair]:
        by_id = {group.group_id: group for group in groups}
        members_by_vm = {
            member.vm_id: member for group in groups for member in group.members
        }
        listed = {vm.vm_id: Member(vm.vm_id, vm.address) for vm in view.vms}
        for choice in choices:
            group = by_id[choice.group_id]
            if choice.action is Action.RELEASE:
                yield group, ()
            elif choice.action is Action.REPLACE:
                kept = [
                    member
                    for member in group.members
                    if member.vm_id not in self.missing_since_by_vm
                ]
                taken = [{**members_by_vm, **listed}[vm] for vm in choice.taken]
                yield group, (*kept, *taken)


def costs_of(deployment: ModelDeployment) -> Costs:
    """Return the outage costs of a deployment."""
    return Costs(
        deployment.costs.downtime_per_group_minute,
        deployment.costs.stranded_per_accelerator_minute,
    )


def _vm_ids(group: GroupRecord) -> Sequence[str]:
    return [member.vm_id for member in group.members]


def _is_mass_outage(
    groups: Sequence[GroupRecord],
    broken: Sequence[BrokenGroup],
) -> bool:
    held = sum(len(group.members) for group in groups)
    missing = sum(len(each.missing_s_by_vm) for each in broken)
    return missing > held * MASS_OUTAGE_SHARE


def _spares_by_fabric(
    view: DomainView,
    pool: str,
) -> Mapping[str, Collection[str]]:
    spares: dict[str, list[str]] = defaultdict(list)
    for vm in view.vms:
        if _is_spare(vm, view) and vm.pool == pool:
            spares[vm.fabric_domain].append(vm.vm_id)
    return spares


def _is_spare(vm: VmListing, view: DomainView) -> bool:
    return vm.state is VmState.LIVE and vm.vm_id not in view.claims_by_vm
