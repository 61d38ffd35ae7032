"""Engines whose orders are lost, unanswered or executed seconds late.

Explanation
===========
The engines follow the platform's rules for groups. The epoch of an engine
never decreases until it restarts. Opening a group takes a while, during which
the head still reports that it is ready. The group of a head that lost a
member breaks after the stall time. A violation is recorded when a member
joins another group while its old head still accepts requests, and when a
group opens with a member missing or not ready.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..fleet.model import Engine, Formation, GroupState, Membership
from ..platform import OrderOutcome

MAX_DELAY_S = 12.0
LOST_SHARE = 0.05
DELAYED_SHARE = 0.15
UNANSWERED_SHARE = 0.1
CRASH_SHARE = 0.003
UNREACHABLE_SHARE = 0.003
STEP_S = 0.05
JOIN_S = 0.2
OPENING_S = 0.3
DOWN_S = 1.0
UNREACHABLE_S = 3.0
LIST_LAG_STEPS = 4
ACCEPTING = frozenset((GroupState.OPEN, GroupState.CLOSING))
READY = frozenset((GroupState.READY, GroupState.OPEN, GroupState.CLOSING))


@dataclass(slots=True)
class DelayedEngine:
    """An engine's group membership since its last start."""

    engine_id: str
    born: int = 1
    down_until: float = 0
    unreachable_until: float = 0
    formation: Formation | None = None
    state: GroupState = GroupState.JOINING
    highest_epoch: int = 0

    def crash(self, now: float) -> None:
        """Crash; the restarted engine has no formation and epoch 0."""
        self.down_until = now + DOWN_S
        self.born += 1
        self.formation = None
        self.highest_epoch = 0

    def is_up(self, now: float) -> bool:
        """Return whether the engine runs, reachable or not."""
        return now >= self.down_until

    def is_reachable(self, now: float) -> bool:
        """Return whether the engine runs and is reachable."""
        return self.is_up(now) and now >= self.unreachable_until

    def close(self, formation: Formation) -> OrderOutcome:
        """Stop accepting requests."""
        if self.formation != formation or self.state is GroupState.JOINING:
            return OrderOutcome.UNFIT
        if self.state in ACCEPTING:
            self.state = GroupState.READY
        return OrderOutcome.DONE

    def leave(self, formation: Formation) -> OrderOutcome:
        """Leave the group."""
        if self.formation != formation:
            return OrderOutcome.UNFIT
        self.formation = None
        return OrderOutcome.DONE

    def listed(self) -> Engine:
        """Return the engine as the platform lists it."""
        membership = None
        if self.formation is not None:
            membership = Membership(
                self.formation.name,
                self.formation.epoch,
                self.formation.members.index(self.engine_id),
                self.state,
            )
        return Engine(
            self.engine_id,
            service='model',
            address='127.0.0.1:1',
            failure_domain='fd-1',
            slots=1,
            fabric_domain='d0',
            born_ms=self.born,
            membership=membership,
        )


@dataclass(slots=True)
class DelayedEngines:
    """All engines, as the senders of orders reach them."""

    rng: random.Random
    stall_s: float
    by_id: dict[str, DelayedEngine]
    violations: list[str] = field(default_factory=list)
    openings: int = 0
    _recent_lists: list[Mapping[str, Engine]] = field(default_factory=list)
    _ready: set[tuple[str, Formation]] = field(default_factory=set)
    _incomplete_since: dict[Formation, float] = field(default_factory=dict)

    def listed(self) -> Mapping[str, Engine]:
        """Return the list of a few steps ago."""
        return self._recent_lists[0] if self._recent_lists else {}

    def step(self, now: float) -> None:
        """Crash or disconnect some engines, break groups, save the list."""
        for engine in self.by_id.values():
            if self.rng.random() < CRASH_SHARE:
                engine.crash(now)
            elif self.rng.random() < UNREACHABLE_SHARE:
                engine.unreachable_until = now + UNREACHABLE_S
            self._break_if_incomplete(engine, now)
        reachable = [
            each for each in self.by_id.values() if each.is_reachable(now)
        ]
        self._recent_lists.append(
            {each.engine_id: each.listed() for each in reachable}
        )
        self._recent_lists = self._recent_lists[-LIST_LAG_STEPS:]

    async def join(self, engine: Engine, formation: Formation) -> OrderOutcome:
        """Process an order to join."""
        return await self._order(
            engine, lambda: self._join(self.by_id[engine.engine_id], formation)
        )

    async def open(self, engine: Engine, formation: Formation) -> OrderOutcome:
        """Process an order to open."""
        return await self._order(
            engine, lambda: self._open(self.by_id[engine.engine_id], formation)
        )

    async def close(
        self,
        engine: Engine,
        formation: Formation,
        *,
        at_once: bool,
    ) -> OrderOutcome:
        """Process an order to close."""
        return await self._order(
            engine, lambda: self.by_id[engine.engine_id].close(formation)
        )

    async def leave(self, engine: Engine, formation: Formation) -> OrderOutcome:
        """Process an order to leave."""
        return await self._order(
            engine, lambda: self.by_id[engine.engine_id].leave(formation)
        )

    async def _order(
        self,
        engine: Engine,
        execute: Callable[[], OrderOutcome],
    ) -> OrderOutcome:
        born = engine.born_ms
        draw = self.rng.random()
        if draw < LOST_SHARE:
            return OrderOutcome.UNKNOWN
        if draw < LOST_SHARE + DELAYED_SHARE:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0, MAX_DELAY_S),
                self._execute,
                engine.engine_id,
                born,
                execute,
            )
            return OrderOutcome.UNKNOWN
        outcome = self._execute(engine.engine_id, born, execute)
        is_unanswered = self.rng.random() < UNANSWERED_SHARE
        return OrderOutcome.UNKNOWN if is_unanswered else outcome

    def _execute(
        self,
        engine_id: str,
        born: int,
        execute: Callable[[], OrderOutcome],
    ) -> OrderOutcome:
        engine = self.by_id[engine_id]
        if not engine.is_reachable(_now()) or engine.born != born:
            return OrderOutcome.UNKNOWN
        return execute()

    def _join(
        self, engine: DelayedEngine, formation: Formation
    ) -> OrderOutcome:
        if formation.epoch < engine.highest_epoch:
            return OrderOutcome.OUTDATED
        if engine.formation == formation and engine.state in READY:
            return OrderOutcome.DONE
        if engine.formation not in {None, formation}:
            self._check_old_group_closed(engine, engine.formation)
        engine.highest_epoch = formation.epoch
        engine.formation = formation
        engine.state = GroupState.JOINING
        self._set_state_later(JOIN_S, engine, formation, GroupState.READY)
        return OrderOutcome.BEGUN

    def _open(
        self, engine: DelayedEngine, formation: Formation
    ) -> OrderOutcome:
        if (
            engine.formation != formation
            or engine.state is not GroupState.READY
        ):
            return OrderOutcome.UNFIT
        self._set_state_later(OPENING_S, engine, formation, GroupState.OPEN)
        return OrderOutcome.BEGUN

    def _set_state_later(
        self,
        seconds: float,
        engine: DelayedEngine,
        formation: Formation,
        state: GroupState,
    ) -> None:
        asyncio.get_running_loop().call_later(
            seconds, self._set_state, engine, engine.born, formation, state
        )

    def _set_state(
        self,
        engine: DelayedEngine,
        born: int,
        formation: Formation,
        state: GroupState,
    ) -> None:
        if engine.born != born or engine.formation != formation:
            return
        if engine.state is GroupState.BROKEN:
            return
        engine.state = state
        self._ready.add((engine.engine_id, formation))
        if state is GroupState.OPEN:
            self.openings += 1
            self._check_complete(formation)

    def _check_old_group_closed(
        self,
        engine: DelayedEngine,
        old_formation: Formation | None,
    ) -> None:
        if old_formation is None or old_formation.head == engine.engine_id:
            return
        head = self.by_id[old_formation.head]
        is_up = head.is_up(_now()) and head.formation == old_formation
        if is_up and head.state in ACCEPTING:
            self.violations.append(
                f'{engine.engine_id} left {old_formation} while it was open'
            )

    def _check_complete(self, formation: Formation) -> None:
        for member in formation.members:
            engine = self.by_id[member]
            if (member, formation) not in self._ready:
                self.violations.append(
                    f'{formation} opened before {member} was ready'
                )
            if engine.formation not in {None, formation}:
                self.violations.append(f'{formation} opened without {member}')

    def _break_if_incomplete(self, engine: DelayedEngine, now: float) -> None:
        formation = engine.formation
        if formation is None or formation.head != engine.engine_id:
            return
        members = [self.by_id[member_id] for member_id in formation.members]
        if all(
            member.is_reachable(now) and member.formation == formation
            for member in members
        ):
            self._incomplete_since.pop(formation, None)
        elif (
            now - self._incomplete_since.setdefault(formation, now)
            > self.stall_s
        ):
            if engine.state in ACCEPTING:
                engine.state = GroupState.BROKEN


def _now() -> float:
    return asyncio.get_running_loop().time()
