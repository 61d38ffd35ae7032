"""Groups of VMs and the directory of groups in a process."""

import enum
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from .platform import JsonObject

GROUP_PREFIX = 'groups/'


class GroupState(enum.StrEnum):
    """The lifecycle state of a group."""

    FORMING = 'forming'
    SERVING = 'serving'
    DRAINING = 'draining'
    RETIRED = 'retired'


@dataclass(frozen=True, slots=True)
class Member:
    """A VM of a group and its engine's incarnation at the last order."""

    vm_id: str
    address: str
    incarnation: str = ''


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """A group as its controller stored it; the first member is the leader."""

    group_id: str
    deployment: str
    failure_domain: str
    fabric_domain: str
    generation: int
    members: Sequence[Member]
    model: str
    model_version: str
    state: GroupState
    adapters: Sequence[str] = ()

    @property
    def leader(self) -> Member:
        """Return the member that receives requests."""
        return self.members[0]

    @property
    def key(self) -> str:
        """Return the key of the group's row."""
        return group_key(self.failure_domain, self.group_id)


def group_key(failure_domain: str, group_id: str) -> str:
    """Return the key of a group's row.

    Examples
    ========
    >>> group_key('ub-1', 'g7')
    'groups/ub-1/g7'
    """
    return f'{GROUP_PREFIX}{failure_domain}/{group_id}'


def group_to_fields(group: GroupRecord) -> JsonObject:
    """Return a group as the fields of its row."""
    return {
        'group_id': group.group_id,
        'deployment': group.deployment,
        'failure_domain': group.failure_domain,
        'fabric_domain': group.fabric_domain,
        'generation': group.generation,
        'members': [
            [member.vm_id, member.address, member.incarnation]
            for member in group.members
        ],
        'model': group.model,
        'model_version': group.model_version,
        'state': group.state.value,
        'adapters': list(group.adapters),
    }


def group_from_fields(fields: JsonObject) -> GroupRecord:
    """Return the group that a row's fields describe."""
    rest = dict(fields)
    members = rest.pop('members')
    adapters = rest.pop('adapters', ())
    state = GroupState(str(rest.pop('state')))
    return GroupRecord(
        members=tuple(Member(*member) for member in _sequence(members)),
        adapters=tuple(_sequence(adapters)),
        state=state,
        **rest,  # type: ignore[arg-type]
    )


def _sequence(field_value: object) -> Sequence[str]:
    return field_value if isinstance(field_value, Sequence) else ()


@dataclass(slots=True)
class GroupDirectory:
    """The groups known to a process; a group's generation never decreases."""

    by_id: dict[str, GroupRecord] = field(default_factory=dict)

    def replace_domain(
        self,
        failure_domain: str,
        groups: Iterable[GroupRecord],
    ) -> None:
        """Replace all groups of one failure domain with a full listing."""
        listed = {group.group_id: group for group in groups}
        removed = {
            group.group_id
            for group in self.by_id.values()
            if group.failure_domain == failure_domain
        } - listed.keys()
        for group_id in removed:
            self.by_id.pop(group_id)
        for group in listed.values():
            self.update(group)

    def update(self, group: GroupRecord) -> None:
        """Store a record unless a newer generation is stored."""
        stored = self.by_id.get(group.group_id)
        if stored is None or stored.generation <= group.generation:
            self.by_id[group.group_id] = group

    def generation(self, group_id: str) -> int:
        """Return the stored generation of a group, zero if there is none."""
        stored = self.by_id.get(group_id)
        return 0 if stored is None else stored.generation

    def of_deployment(self, deployment: str) -> Iterable[GroupRecord]:
        """Yield the groups of one deployment."""
        return (
            group
            for group in self.by_id.values()
            if group.deployment == deployment
        )

    def of_domain(self, failure_domain: str) -> Iterable[GroupRecord]:
        """Yield the groups of one failure domain."""
        return (
            group
            for group in self.by_id.values()
            if group.failure_domain == failure_domain
        )

    def members_of_domain(self, failure_domain: str) -> Iterable[Member]:
        """Yield the VMs of one failure domain's groups."""
        return (
            member
            for group in self.of_domain(failure_domain)
            for member in group.members
        )

    def dump(self) -> Mapping[str, object]:
        """Return the directory for the state dump."""
        return {
            group_id: group_to_fields(group)
            for group_id, group in self.by_id.items()
        }
