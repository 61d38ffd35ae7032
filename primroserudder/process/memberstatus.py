"""Polls the members of groups for their status."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..errors import RudderError
from .engines import EngineClient, EngineStatus
from .evidence import holds_order
from .groups import GroupRecord, Member

MemberStatus = EngineStatus | None
StatusesByGroup = Mapping[str, Sequence[MemberStatus]]


@dataclass(slots=True)
class StatusPoller:
    """Polls members concurrently; ``None`` stands for a failed poll."""

    engines: EngineClient

    async def poll_groups(
        self, groups: Sequence[GroupRecord]
    ) -> StatusesByGroup:
        """Return the statuses of all members, by group id."""
        statuses_of_groups = await asyncio.gather(
            *(self.poll_members(group.members) for group in groups),
        )
        return {
            group.group_id: statuses
            for group, statuses in zip(groups, statuses_of_groups, strict=True)
        }

    async def poll_members(
        self, members: Sequence[Member]
    ) -> Sequence[MemberStatus]:
        """Return the statuses of the members, in the given order."""
        return await asyncio.gather(*map(self._status, members))

    async def _status(self, member: Member) -> MemberStatus:
        try:
            return await self.engines.status(member.address)
        except RudderError:
            return None


def is_cut_off(statuses_by_group: StatusesByGroup) -> bool:
    """Return whether no VM answered, so this process seems cut off."""
    answers = [
        each for statuses in statuses_by_group.values() for each in statuses
    ]
    return bool(answers) and not any(answers)


def is_confirmed(group: GroupRecord, statuses: Sequence[MemberStatus]) -> bool:
    """Return whether all members confirm the group's order."""
    if not statuses or len(statuses) != len(group.members):
        return False
    return all(
        status is not None and holds_order(status, group, member)
        for status, member in zip(statuses, group.members, strict=True)
    )
