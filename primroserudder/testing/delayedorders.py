"""Engines whose orders are lost, unanswered or carried out seconds late.

Explanation
===========
They keep the platform's rules of groups: an epoch never falls within a life,
an opening takes a while during which the head still reports ready, a head
that lost a member breaks after a stall. A judge notes each join of a member
whose old head still takes requests, and each opening of a group that is not
whole.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..fleet.model import Engine, Formation, GroupState, Membership
from ..platform import OrderOutcome

LATEST_S = 12.0
LOST_SHARE = 0.05
LATE_SHARE = 0.15
UNANSWERED_SHARE = 0.1
CRASH_SHARE = 0.003
DARK_SHARE = 0.003
STEP_S = 0.05
JOIN_S = 0.2
FORM_S = 0.3
DOWN_S = 1.0
DARK_S = 3.0
LIST_LAG_STEPS = 4
TAKING = frozenset((GroupState.OPEN, GroupState.CLOSING))
READY = frozenset((GroupState.READY, GroupState.OPEN, GroupState.CLOSING))


@dataclass(slots=True)
class DelayedEngine:
    """One engine's membership in its present life."""

    engine_id: str
    born: int = 1
    down_until: float = 0
    dark_until: float = 0
    formation: Formation | None = None
    state: GroupState = GroupState.JOINING
    highest_epoch: int = 0

    def crash(self, now: float) -> None:
        """End this life; the next one knows nothing."""
        self.down_until = now + DOWN_S
        self.born += 1
        self.formation = None
        self.highest_epoch = 0

    def is_up(self, now: float) -> bool:
        """Return whether it runs, in touch or not."""
        return now >= self.down_until

    def is_seen(self, now: float) -> bool:
        """Return whether it runs and the network reaches it."""
        return self.is_up(now) and now >= self.dark_until

    def close(self, made: Formation) -> OrderOutcome:
        """Take no more requests."""
        if self.formation != made or self.state is GroupState.JOINING:
            return OrderOutcome.UNFIT
        if self.state in TAKING:
            self.state = GroupState.READY
        return OrderOutcome.DONE

    def leave(self, made: Formation) -> OrderOutcome:
        """Leave the group."""
        if self.formation != made:
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
    """All engines, as those who give them orders see them."""

    rng: random.Random
    stall_s: float
    by_id: dict[str, DelayedEngine]
    violations: list[str] = field(default_factory=list)
    openings: int = 0
    _lists: list[Mapping[str, Engine]] = field(default_factory=list)
    _ready: set[tuple[str, Formation]] = field(default_factory=set)
    _lost_at: dict[Formation, float] = field(default_factory=dict)

    def listed(self) -> Mapping[str, Engine]:
        """Return the list as it was a moment ago."""
        return self._lists[0] if self._lists else {}

    def step(self, now: float) -> None:
        """Let engines crash and return, and heads break; keep the list."""
        for engine in self.by_id.values():
            if self.rng.random() < CRASH_SHARE:
                engine.crash(now)
            elif self.rng.random() < DARK_SHARE:
                engine.dark_until = now + DARK_S
            self._break_if_lost(engine, now)
        seen = [one for one in self.by_id.values() if one.is_seen(now)]
        self._lists.append({one.engine_id: one.listed() for one in seen})
        self._lists = self._lists[-LIST_LAG_STEPS:]

    async def join(self, engine: Engine, made: Formation) -> OrderOutcome:
        """Take an order to join."""
        return await self._order(
            engine, lambda: self._join(self.by_id[engine.engine_id], made)
        )

    async def open(self, engine: Engine, made: Formation) -> OrderOutcome:
        """Take an order to open."""
        return await self._order(
            engine, lambda: self._open(self.by_id[engine.engine_id], made)
        )

    async def close(
        self,
        engine: Engine,
        made: Formation,
        *,
        at_once: bool,
    ) -> OrderOutcome:
        """Take an order to close."""
        return await self._order(
            engine, lambda: self.by_id[engine.engine_id].close(made)
        )

    async def leave(self, engine: Engine, made: Formation) -> OrderOutcome:
        """Take an order to leave."""
        return await self._order(
            engine, lambda: self.by_id[engine.engine_id].leave(made)
        )

    async def _order(
        self,
        engine: Engine,
        carry_out: Callable[[], OrderOutcome],
    ) -> OrderOutcome:
        born = engine.born_ms
        drawn = self.rng.random()
        if drawn < LOST_SHARE:
            return OrderOutcome.UNKNOWN
        if drawn < LOST_SHARE + LATE_SHARE:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0, LATEST_S),
                self._carry_out,
                engine.engine_id,
                born,
                carry_out,
            )
            return OrderOutcome.UNKNOWN
        outcome = self._carry_out(engine.engine_id, born, carry_out)
        is_unanswered = self.rng.random() < UNANSWERED_SHARE
        return OrderOutcome.UNKNOWN if is_unanswered else outcome

    def _carry_out(
        self,
        engine_id: str,
        born: int,
        carry_out: Callable[[], OrderOutcome],
    ) -> OrderOutcome:
        engine = self.by_id[engine_id]
        if not engine.is_seen(_now()) or engine.born != born:
            return OrderOutcome.UNKNOWN
        return carry_out()

    def _join(self, engine: DelayedEngine, made: Formation) -> OrderOutcome:
        if made.epoch < engine.highest_epoch:
            return OrderOutcome.OUTDATED
        if engine.formation == made and engine.state in READY:
            return OrderOutcome.DONE
        if engine.formation not in {None, made}:
            self._check_free(engine, engine.formation)
        engine.highest_epoch = made.epoch
        engine.formation = made
        engine.state = GroupState.JOINING
        self._later(JOIN_S, engine, made, GroupState.READY)
        return OrderOutcome.BEGUN

    def _open(self, engine: DelayedEngine, made: Formation) -> OrderOutcome:
        if engine.formation != made or engine.state is not GroupState.READY:
            return OrderOutcome.UNFIT
        self._later(FORM_S, engine, made, GroupState.OPEN)
        return OrderOutcome.BEGUN

    def _later(
        self,
        seconds: float,
        engine: DelayedEngine,
        made: Formation,
        state: GroupState,
    ) -> None:
        asyncio.get_running_loop().call_later(
            seconds, self._become, engine, engine.born, made, state
        )

    def _become(
        self,
        engine: DelayedEngine,
        born: int,
        made: Formation,
        state: GroupState,
    ) -> None:
        if engine.born != born or engine.formation != made:
            return
        if engine.state is GroupState.BROKEN:
            return
        engine.state = state
        self._ready.add((engine.engine_id, made))
        if state is GroupState.OPEN:
            self.openings += 1
            self._check_whole(made)

    def _check_free(
        self,
        engine: DelayedEngine,
        known: Formation | None,
    ) -> None:
        if known is None or known.head == engine.engine_id:
            return
        head = self.by_id[known.head]
        is_up = head.is_up(_now()) and head.formation == known
        if is_up and head.state in TAKING:
            self.violations.append(f'{engine.engine_id} left {known} open')

    def _check_whole(self, made: Formation) -> None:
        for member in made.members:
            engine = self.by_id[member]
            if (member, made) not in self._ready:
                self.violations.append(f'{made} opened before {member}')
            if engine.formation not in {None, made}:
                self.violations.append(f'{made} opened without {member}')

    def _break_if_lost(self, engine: DelayedEngine, now: float) -> None:
        made = engine.formation
        if made is None or made.head != engine.engine_id:
            return
        members = [self.by_id[one] for one in made.members]
        if all(one.is_seen(now) and one.formation == made for one in members):
            self._lost_at.pop(made, None)
        elif now - self._lost_at.setdefault(made, now) > self.stall_s:
            if engine.state in TAKING:
                engine.state = GroupState.BROKEN


def _now() -> float:
    return asyncio.get_running_loop().time()
