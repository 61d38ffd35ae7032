"""Asks engines for the events of their prefix caches, a few at a time."""

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
    """The last event that was taken of a group's leader."""

    incarnation: str
    number: int


@dataclass(slots=True)
class CacheEventPoller:
    """Takes turns over the groups of the own failure domain.

    Explanation
    ===========
    What this entry sends makes the prefix index; the events correct it by
    evictions and by what other entries sent. So a bounded number of groups is
    asked at each step, whatever the number of groups.
    """

    router: Router
    engines: EngineClient
    positions_by_group: dict[str, _Position] = field(default_factory=dict)
    _turn: int = 0

    async def step(self) -> None:
        """Let the router measure and ask the groups whose turn it is."""
        self.router.tick()
        groups = self._next_groups()
        await asyncio.gather(*(self._ask(group) for group in groups))

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
        start = self._turn
        self._turn = (start + count) % max(1, len(groups))
        return [groups[(start + step) % len(groups)] for step in range(count)]

    async def _ask(self, group: GroupRecord) -> None:
        leader = group.leader
        known = self.positions_by_group.get(group.group_id)
        if known is None or known.incarnation != leader.incarnation:
            known = _Position(leader.incarnation, 0)
        try:
            events = await self.engines.cache_events(
                leader.address,
                known.number,
            )
        except RudderError as error:
            self.router.metrics.count('cache_events_missed', code=error.code)
            return
        self._take(group, known, events)

    def _take(
        self,
        group: GroupRecord,
        known: _Position,
        events: Sequence[CacheEvent],
    ) -> None:
        if self.router.directory.by_id.get(group.group_id) != group:
            return
        for event in events:
            self.router.scorer.prefixes.take_event(group.group_id, event)
        number = max((one.number for one in events), default=known.number)
        self.positions_by_group[group.group_id] = _Position(
            known.incarnation,
            number,
        )


def _group_id(group: GroupRecord) -> str:
    return group.group_id
