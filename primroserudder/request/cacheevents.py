"""Polls engines for prefix cache events, a few groups at a time."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..errors import RudderError
from ..process.engines import CacheEvent, EngineClient
from ..process.groups import GroupRecord
from .routing import Router

GROUPS_PER_STEP = 4


@dataclass(frozen=True, slots=True)
class _Position:
    """Number of the last event that was applied from a group's leader."""

    incarnation: str
    number: int


@dataclass(slots=True)
class CacheEventPoller:
    """Polls the groups of this entry's failure domain in round-robin order.

    Explanation
    ===========
    The prefix index is built from the requests that this entry sends. The
    events add evictions and blocks of requests from other entries. They are
    corrections only, so each step polls at most ``GROUPS_PER_STEP`` groups
    regardless of the fleet's size.
    """

    router: Router
    engines: EngineClient
    positions_by_group: dict[str, _Position] = field(default_factory=dict)
    _next_index: int = 0

    async def step(self) -> None:
        """Update the router's measurements and poll the next groups."""
        self.router.tick()
        groups = self._next_groups()
        await asyncio.gather(*(self._poll(group) for group in groups))

    def _next_groups(self) -> Sequence[GroupRecord]:
        router = self.router
        groups = sorted(
            (
                group
                for group in router.directory.by_id.values()
                if group.failure_domain == router.failure_domain
            ),
            key=_group_id,
        )
        count = min(GROUPS_PER_STEP, len(groups))
        start = self._next_index
        self._next_index = (start + count) % max(1, len(groups))
        return [
            groups[(start + offset) % len(groups)] for offset in range(count)
        ]

    async def _poll(self, group: GroupRecord) -> None:
        leader = group.leader
        position = self.positions_by_group.get(group.group_id)
        if position is None or position.incarnation != leader.incarnation:
            position = _Position(leader.incarnation, 0)
        try:
            events = await self.engines.cache_events(
                leader.address,
                position.number,
            )
        except RudderError as error:
            self.router.metrics.count('cache_events_missed', code=error.code)
            return
        self._apply(group, position, events)

    def _apply(
        self,
        group: GroupRecord,
        position: _Position,
        events: Sequence[CacheEvent],
    ) -> None:
        if self.router.directory.by_id.get(group.group_id) != group:
            return
        for event in events:
            self.router.scorer.prefixes.apply_event(group.group_id, event)
        number = max(
            (applied.number for applied in events), default=position.number
        )
        self.positions_by_group[group.group_id] = _Position(
            position.incarnation,
            number,
        )


def _group_id(group: GroupRecord) -> str:
    return group.group_id
