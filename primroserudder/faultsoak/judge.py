"""Judges groups by what engines do: whole when they serve, never shared."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from .engines import SoakEngine

LOOK_INTERVAL_S = 0.02
TAKING_STATES = frozenset(('open', 'closing'))
READY_STATES = frozenset(('ready', 'open', 'closing'))


@dataclass(frozen=True, slots=True)
class Mark:
    """A group as one order to join named it."""

    name: str
    epoch: int
    members: tuple[str, ...]


@dataclass(slots=True)
class GroupJudge:
    """Follows each membership, and breaks groups that lost a member.

    Parameters
    ==========
    stall_s : float
        How long a head waits for a member that is lost.
    """

    group_size: int
    stall_s: float
    engines_by_id: dict[str, SoakEngine] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    runs: int = 0
    _ready: set[tuple[str, Mark]] = field(default_factory=set)
    _mark_by_engine: dict[str, Mark] = field(default_factory=dict)
    _lost_at: dict[Mark, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Break groups whose members are lost, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.look(loop.time())
            await asyncio.sleep(LOOK_INTERVAL_S)

    def look(self, now: float) -> None:
        """Break groups that lost a member a stall ago."""
        for engine in tuple(self.engines_by_id.values()):
            mark = mark_of(engine)
            if mark is None or not self._heads(engine, mark):
                continue
            if self._is_whole(mark):
                self._lost_at.pop(mark, None)
            elif now - self._lost_at.setdefault(mark, now) > self.stall_s:
                engine.break_group()

    def note_change(self, engine: SoakEngine) -> None:
        """Check a membership that may have changed."""
        mark = mark_of(engine)
        if mark is None:
            return
        if _state(engine) in READY_STATES:
            self._ready.add((engine.engine_id, mark))
        known = self._mark_by_engine.get(engine.engine_id)
        if known != mark:
            self._check_free(engine, known)
            self._mark_by_engine[engine.engine_id] = mark
        elif self._heads(engine, mark):
            self._check_opening(engine, mark)

    def note_run(self, engine: SoakEngine, request_id: str) -> None:
        """Check that a request runs in a whole group."""
        self.runs += 1
        mark = mark_of(engine)
        if engine.is_plain or mark is None:
            return
        if len(mark.members) != self.group_size:
            self._violated(f'{request_id} runs in {mark}: wrong size')
        for member in mark.members:
            if (member, mark) not in self._ready:
                self._violated(
                    f'{request_id} runs in {mark}: {member} was never ready'
                )

    def forget(self, engine_id: str) -> None:
        """Note that an engine's life ended."""
        self._mark_by_engine.pop(engine_id, None)

    def _check_free(self, engine: SoakEngine, known: Mark | None) -> None:
        """Check that the group that an engine was in takes no requests."""
        if known is None:
            return
        head = self.engines_by_id[known.members[0]]
        if head is engine or head.is_dead or mark_of(head) != known:
            return
        if _state(head) in TAKING_STATES:
            self._violated(
                f'{engine.engine_id} joined {mark_of(engine)} while the head'
                f' of {known} was {_state(head)}'
            )

    def _check_opening(self, head: SoakEngine, mark: Mark) -> None:
        """Check that no member has gone to another group."""
        for member in mark.members:
            other = self._mark_by_engine.get(member)
            if other is not None and other != mark:
                self._violated(f'{mark} is open while {member} is in {other}')

    def _heads(self, engine: SoakEngine, mark: Mark) -> bool:
        is_first = mark.members[:1] == (engine.engine_id,)
        return is_first and _state(engine) in TAKING_STATES

    def _is_whole(self, mark: Mark) -> bool:
        members = [self.engines_by_id[one] for one in mark.members]
        return all(
            one.is_in_touch() and mark_of(one) == mark for one in members
        )

    def _violated(self, what: str) -> None:
        self.violations.append(what)


def mark_of(engine: SoakEngine) -> Mark | None:
    """Return the group that an engine is in, as it was ordered."""
    group: Mapping[str, object] | None = engine.group
    if group is None:
        return None
    return Mark(str(group['Name']), int(str(group['epoch'])), engine.members)


def _state(engine: SoakEngine) -> str:
    return '' if engine.group is None else str(engine.group['State'])
