"""Planned stops, their rows in the platform's table and their effect."""

import enum
import itertools
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, replace

from .groups import GroupRecord, GroupState
from .platform import JsonObject, Row, VmListing, VmState

STOP_PREFIX = 'stops/'
ACTIVE_STATES = frozenset((GroupState.FORMING, GroupState.SERVING))


class StopKind(enum.StrEnum):
    """The kind of target that a stop has."""

    VM = 'vm'
    GROUP = 'group'
    FABRIC_DOMAIN = 'fabric-domain'
    FAILURE_DOMAIN = 'failure-domain'
    ENTRY = 'entry'


class StopState(enum.StrEnum):
    """The progress of a stop."""

    # Earlier stops use up the budget of groups that may be taken out at once.
    WAITING = 'waiting'
    # Replacement groups are formed before the affected groups are drained.
    REPLACING = 'replacing'
    DRAINING = 'draining'
    SAFE = 'safe'


@dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop; ``sequence`` orders the stops of a failure domain.

    Parameters
    ==========
    vms : sequence of str
        The ids of the VMs that the stop covered when it was planned.
    accepts_loss : bool
        The operator accepts that groups are drained without a replacement.
    """

    stop_id: str
    kind: StopKind
    target: str
    failure_domain: str
    sequence: int
    vms: Sequence[str] = ()
    accepts_loss: bool = False
    state: StopState = StopState.WAITING
    note: str = ''

    @property
    def key(self) -> str:
        """Return the key of the stop's row."""
        return f'{STOP_PREFIX}{self.failure_domain}/{self.stop_id}'

    def covered(self, listed: Iterable[VmListing]) -> frozenset[str]:
        """Return the ids of the covered VMs, including newly listed ones."""
        now = (vm.vm_id for vm in listed if covers(self.kind, self.target, vm))
        return frozenset((*self.vms, *now))


def covers(kind: StopKind, target: str, vm: VmListing) -> bool:
    """Return whether a stop of this kind and target covers a VM."""
    id_by_kind = {
        StopKind.VM: vm.vm_id,
        StopKind.FABRIC_DOMAIN: vm.fabric_domain,
        StopKind.FAILURE_DOMAIN: vm.failure_domain,
    }
    return id_by_kind.get(kind) == target


def stop_to_fields(stop: Stop) -> JsonObject:
    """Return a stop as the fields of its row."""
    return {**asdict(stop), 'vms': list(stop.vms)}


def stop_from_row(row: Row) -> Stop:
    """Return the stop that a row describes."""
    fields = dict(row.fields)
    vms = fields.pop('vms')
    return Stop(
        kind=StopKind(str(fields.pop('kind'))),
        state=StopState(str(fields.pop('state'))),
        vms=tuple(vms) if isinstance(vms, list | tuple) else (),
        **fields,  # type: ignore[arg-type]
    )


def affected_groups(
    groups: Iterable[GroupRecord],
    vms: Collection[str],
) -> Sequence[GroupRecord]:
    """Return the groups that have any of the VMs as a member."""
    return [
        group
        for group in groups
        if any(member.vm_id in vms for member in group.members)
    ]


@dataclass(frozen=True, slots=True)
class StopEffect:
    """The effect of a stop on the capacity at the time of the request."""

    vms: Sequence[str]
    groups: Sequence[str]
    serving: int
    replaceable: int

    @property
    def lost(self) -> int:
        """Return how many groups cannot be replaced."""
        return max(0, len(self.groups) - self.replaceable)


def count_spare_groups(
    listed: Iterable[VmListing],
    unusable: Collection[str],
    pool: str,
    size: int,
) -> int:
    """Return how many groups can be formed from a pool's free VMs."""
    free_by_fabric = Counter(
        vm.fabric_domain
        for vm in listed
        if vm.state is VmState.LIVE
        and vm.pool == pool
        and vm.vm_id not in unusable
    )
    return sum(free // size for free in free_by_fabric.values())


def stop_effect(
    vms: Collection[str],
    groups: Iterable[GroupRecord],
    listed: Sequence[VmListing],
    unusable: Collection[str],
) -> StopEffect:
    """Return the effect of stopping VMs of one failure domain.

    Parameters
    ==========
    unusable : collection of str
        The ids of VMs that are claimed or covered by other stops.
    """
    active = [group for group in groups if group.state in ACTIVE_STATES]
    affected = affected_groups(active, vms)
    pools = {vm.vm_id: vm.pool for vm in listed}
    needs = Counter(
        (pools.get(group.leader.vm_id, ''), len(group.members))
        for group in affected
    )
    taken = frozenset((*unusable, *vms))
    replaceable = sum(
        min(count, count_spare_groups(listed, taken, pool, size))
        for (pool, size), count in needs.items()
    )
    return StopEffect(
        vms=sorted(vms),
        groups=sorted(group.group_id for group in affected),
        serving=len(active),
        replaceable=replaceable,
    )


def stops_within_budget(
    stops: Iterable[Stop],
    groups: Sequence[GroupRecord],
    covered_by_stop: Mapping[str, Collection[str]],
    budget: int,
) -> Sequence[Stop]:
    """Return the stops that may proceed now, in the order of planning.

    Explanation
    ===========
    The first unfinished stop may always proceed, however large it is. A later
    stop may proceed if its groups and those of all earlier stops together
    fit in the budget.
    """
    unfinished = [
        (stop, {group.group_id for group in affected})
        for stop in sorted(stops, key=_sequence)
        if (affected := affected_groups(groups, covered_by_stop[stop.stop_id]))
    ]
    cumulative_ids = itertools.accumulate(
        (ids for _, ids in unfinished),
        lambda before, ids: before | ids,
    )
    return [
        stop
        for (stop, ids), total in zip(unfinished, cumulative_ids, strict=True)
        if len(total) <= max(budget, len(unfinished[0][1]))
    ]


def with_state(stop: Stop, state: StopState, note: str) -> Stop:
    """Return a copy of a stop with another state and note."""
    return replace(stop, state=state, note=note)


def _sequence(stop: Stop) -> int:
    return stop.sequence
