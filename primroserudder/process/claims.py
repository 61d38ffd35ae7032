"""Builds the transactions with which a controller claims VMs for groups.

Explanation
===========
A group's VMs are claimed and released in one transaction with the group's
row, on the condition that the controller's tenure has not ended. A VM is
therefore never in two groups, even when other processes write at the same
time or when the answer to a commit is lost.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from .groups import (
    GROUP_PREFIX,
    GroupDirectory,
    GroupRecord,
    GroupState,
    group_from_fields,
    group_to_fields,
)
from .invariants import Invariants
from .platform import (
    Condition,
    JsonObject,
    PlatformClient,
    Row,
    Transaction,
    VmListing,
    Write,
)

CLAIM_PREFIX = 'claims/'
# The rows hold the highest generation that any group of a failure domain ever
# had. They are needed because the id of a removed group may be used again.
GENERATION_PREFIX = 'generations/'


@dataclass(frozen=True, slots=True)
class DomainView:
    """The rows and VMs of one failure domain, as read from the platform."""

    failure_domain: str
    rows: Sequence[Row]
    groups: Sequence[GroupRecord]
    highest_generation: int
    revisions_by_group: Mapping[str, int]
    claims_by_vm: Mapping[str, Row]
    vms: Sequence[VmListing]

    def group(self, group_id: str) -> GroupRecord | None:
        """Return a group's record, or ``None`` if it has no row."""
        matches = (each for each in self.groups if each.group_id == group_id)
        return next(matches, None)

    def is_id_in_use(self, group_id: str) -> bool:
        """Return whether a group with this id exists and is not retired."""
        group = self.group(group_id)
        return group is not None and group.state is not GroupState.RETIRED

    def next_generation(self) -> int:
        """Return a generation higher than any that was used in the domain."""
        generations = (group.generation for group in self.groups)
        return max(self.highest_generation, *generations, 0) + 1

    def without(self, excluded: Collection[str]) -> 'DomainView':
        """Return a copy of the view without the excluded VMs."""
        kept = [vm for vm in self.vms if vm.vm_id not in excluded]
        return replace(self, vms=kept)

    def listed_vm_ids(self) -> Collection[str]:
        """Return the ids of the VMs that the platform lists."""
        return {vm.vm_id for vm in self.vms}


async def read_domain(platform: PlatformClient, domain: str) -> DomainView:
    """Read the current rows and VMs of a failure domain."""
    claims = await platform.scan(f'{CLAIM_PREFIX}{domain}/')
    rows = await platform.scan(f'{GROUP_PREFIX}{domain}/')
    listed = await platform.list_vms()
    generation_row = await platform.read(f'{GENERATION_PREFIX}{domain}')
    groups = [group_from_fields(row.fields) for row in rows]
    return DomainView(
        failure_domain=domain,
        rows=rows,
        groups=groups,
        highest_generation=_generation(generation_row),
        revisions_by_group={
            group.group_id: row.revision
            for group, row in zip(groups, rows, strict=True)
        },
        claims_by_vm={_vm_id(row): row for row in claims},
        vms=[vm for vm in listed if vm.failure_domain == domain],
    )


def claim(
    view: DomainView,
    tenure: Condition,
    group: GroupRecord,
) -> Transaction:
    """Return the transaction that writes a group and claims its members.

    Explanation
    ===========
    The same transaction releases the VMs that the group had before and no
    longer has. The row of a group without members is deleted.
    """
    before = view.group(group.group_id)
    old = () if before is None else _vms(before)
    new = _vms(group)
    changed = {*old, *new}
    fields = {'group_id': group.group_id, 'generation': group.generation}
    return Transaction(
        conditions=(
            tenure,
            _group_condition(view, group),
            *(_claim_condition(view, vm_id) for vm_id in changed),
        ),
        writes=(
            Write(group.key, group_to_fields(group) if new else None),
            Write(
                f'{GENERATION_PREFIX}{view.failure_domain}',
                {'generation': group.generation},
            ),
            *_claim_writes(view, set(old) - set(new), None),
            *_claim_writes(view, new, fields),
        ),
    )


def change_state(
    view: DomainView,
    tenure: Condition,
    group: GroupRecord,
) -> Transaction:
    """Return the transaction that writes only a group's row."""
    return Transaction(
        (tenure, _group_condition(view, group)),
        (Write(group.key, group_to_fields(group)),),
    )


def check_view(
    view: DomainView,
    directory: GroupDirectory,
    invariants: Invariants,
) -> None:
    """Raise ``InvariantViolation`` if the rows break an invariant."""
    members = Counter(
        member.vm_id for group in view.groups for member in group.members
    )
    duplicates = [vm_id for vm_id, count in members.items() if count > 1]
    invariants.require(
        not duplicates,
        'vm_in_one_group',
        f'VMs that are in more than one group: {duplicates}',
    )
    regressed = [
        group.group_id
        for group in view.groups
        if directory.generation(group.group_id) > group.generation
    ]
    invariants.require(
        not regressed,
        'generation_rises',
        f'groups whose generation decreased: {regressed}',
    )


def _generation(row: Row | None) -> int:
    return 0 if row is None else int(str(row.fields['generation']))


def _vms(group: GroupRecord) -> Sequence[str]:
    return [member.vm_id for member in group.members]


def _vm_id(row: Row) -> str:
    return row.key.rsplit('/', maxsplit=1)[-1]


def _group_condition(view: DomainView, group: GroupRecord) -> Condition:
    revision = view.revisions_by_group.get(group.group_id, 0)
    return Condition(group.key, revision)


def _claim_key(view: DomainView, vm_id: str) -> str:
    return f'{CLAIM_PREFIX}{view.failure_domain}/{vm_id}'


def _claim_condition(view: DomainView, vm_id: str) -> Condition:
    row = view.claims_by_vm.get(vm_id)
    return Condition(_claim_key(view, vm_id), row.revision if row else 0)


def _claim_writes(
    view: DomainView,
    vms: Iterable[str],
    fields: JsonObject | None,
) -> Iterable[Write]:
    return (Write(_claim_key(view, vm_id), fields) for vm_id in vms)
