"""Asks the members of groups for their status."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..errors import RudderError
from .engines import EngineClient, EngineStatus
from .evidence import holds_order
from .groups import GroupRecord, Member

Found = EngineStatus | None
Look = Mapping[str, Sequence[Found]]


@dataclass(slots=True)
class Looker:
    """Asks all members of groups side by side; silence is ``None``."""

    engines: EngineClient

    async def look(self, groups: Sequence[GroupRecord]) -> Look:
        """Return the members' statuses, by group id."""
        found = await asyncio.gather(
            *(self.statuses(group.members) for group in groups),
        )
        return {
            group.group_id: statuses
            for group, statuses in zip(groups, found, strict=True)
        }

    async def statuses(self, members: Sequence[Member]) -> Sequence[Found]:
        """Return the statuses of some VMs, in their order."""
        return await asyncio.gather(*map(self._status, members))

    async def _status(self, member: Member) -> Found:
        try:
            return await self.engines.status(member.address)
        except RudderError:
            return None


def is_cut_off(look: Look) -> bool:
    """Return whether all VMs were silent, so that the asker is cut off."""
    everything = [each for statuses in look.values() for each in statuses]
    return bool(everything) and not any(everything)


def is_confirmed(group: GroupRecord, found: Sequence[Found]) -> bool:
    """Return whether all members hold the group's order."""
    if not found or len(found) != len(group.members):
        return False
    return all(
        status is not None and holds_order(status, group, member)
        for status, member in zip(found, group.members, strict=True)
    )
