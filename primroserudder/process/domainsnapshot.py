"""Snapshot of a failure domain for planned stops and drains."""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from .groups import GroupRecord, GroupState, group_from_fields
from .platform import PlatformClient, Row, VmListing
from .stops import (
    STOP_PREFIX,
    Stop,
    StopKind,
    stop_from_row,
    stops_within_budget,
)

CLAIM_PREFIX = 'claims/'
# The share of a failure domain's groups that stops may take out at once.
BUDGET_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class DomainSnapshot:
    """Groups, VMs, claims and stops of a failure domain at one step."""

    rows_by_group: Mapping[str, Row]
    groups: Sequence[GroupRecord]
    listed: Sequence[VmListing]
    claims: Sequence[Row]
    stop_rows: Sequence[tuple[Row, Stop]]
    covered_by_stop: Mapping[str, Collection[str]]
    active: Sequence[Stop]

    @property
    def excluded(self) -> Collection[str]:
        """Return the ids of all VMs that a stop covers."""
        return frozenset().union(*self.covered_by_stop.values())

    def draining(self) -> Sequence[GroupRecord]:
        """Return the groups that were draining when the step began."""
        return [
            group for group in self.groups if group.state is GroupState.DRAINING
        ]


async def read_snapshot(
    platform: PlatformClient,
    failure_domain: str,
    rows: Sequence[Row],
) -> DomainSnapshot:
    """Read the VMs, claims and stops and join them with the group rows."""
    groups = [group_from_fields(row.fields) for row in rows]
    listed = [
        vm
        for vm in await platform.list_vms()
        if vm.failure_domain == failure_domain
    ]
    stop_rows = await _stop_rows(platform, failure_domain)
    covered = {stop.stop_id: stop.covered(listed) for _, stop in stop_rows}
    budget = max(1, math.floor(len(groups) * BUDGET_SHARE))
    stops = [stop for _, stop in stop_rows]
    return DomainSnapshot(
        rows_by_group={
            group.group_id: row for row, group in zip(rows, groups, strict=True)
        },
        groups=groups,
        listed=listed,
        claims=await platform.scan(f'{CLAIM_PREFIX}{failure_domain}/'),
        stop_rows=stop_rows,
        covered_by_stop=covered,
        active=stops_within_budget(stops, groups, covered, budget),
    )


async def _stop_rows(
    platform: PlatformClient,
    failure_domain: str,
) -> Sequence[tuple[Row, Stop]]:
    rows = await platform.scan(f'{STOP_PREFIX}{failure_domain}/')
    stops = [(row, stop_from_row(row)) for row in rows]
    # Stops of entries are left out: an entry carries out its own stop.
    return [
        (row, stop) for row, stop in stops if stop.kind is not StopKind.ENTRY
    ]
