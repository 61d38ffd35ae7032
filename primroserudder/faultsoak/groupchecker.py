"""Checks that groups that serve are complete and share no engine."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from .engines import SoakEngine

POLL_INTERVAL_S = 0.02
ACCEPTING_STATES = frozenset(('open', 'closing'))
READY_STATES = frozenset(('ready', 'open', 'closing'))


@dataclass(frozen=True, slots=True)
class GroupIdentity:
    """The identity of a group, as given in the order to join it."""

    name: str
    epoch: int
    members: tuple[str, ...]


@dataclass(slots=True)
class GroupChecker:
    """Tracks each membership, and breaks groups that lost a member.

    Parameters
    ==========
    stall_s : float
        Seconds that a group's head waits for a lost member.
    """

    group_size: int
    stall_s: float
    engines_by_id: dict[str, SoakEngine] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    runs: int = 0
    _ready_members: set[tuple[str, GroupIdentity]] = field(default_factory=set)
    _identity_by_engine: dict[str, GroupIdentity] = field(default_factory=dict)
    _member_lost_at: dict[GroupIdentity, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Break groups whose members are lost, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.break_stalled_groups(loop.time())
            await asyncio.sleep(POLL_INTERVAL_S)

    def break_stalled_groups(self, now: float) -> None:
        """Break groups that lost a member more than ``stall_s`` ago."""
        for engine in tuple(self.engines_by_id.values()):
            identity = identity_of(engine)
            if identity is None or not self._is_accepting_head(
                engine, identity
            ):
                continue
            if self._is_complete(identity):
                self._member_lost_at.pop(identity, None)
            elif (
                now - self._member_lost_at.setdefault(identity, now)
                > self.stall_s
            ):
                engine.break_group()

    def record_membership(self, engine: SoakEngine) -> None:
        """Check a possible change of an engine's membership."""
        identity = identity_of(engine)
        if identity is None:
            return
        if _state(engine) in READY_STATES:
            self._ready_members.add((engine.engine_id, identity))
        previous = self._identity_by_engine.get(engine.engine_id)
        if previous != identity:
            self._check_previous_group(engine, previous)
            self._identity_by_engine[engine.engine_id] = identity
        elif self._is_accepting_head(engine, identity):
            self._check_open_group(engine, identity)

    def record_run(self, engine: SoakEngine, request_id: str) -> None:
        """Check that a request runs in a complete group."""
        self.runs += 1
        identity = identity_of(engine)
        if engine.is_plain or identity is None:
            return
        if len(identity.members) != self.group_size:
            self._record_violation(
                f'{request_id} runs in {identity}: wrong size'
            )
        for member in identity.members:
            if (member, identity) not in self._ready_members:
                self._record_violation(
                    f'{request_id} runs in {identity}: {member} was never ready'
                )

    def forget_membership(self, engine_id: str) -> None:
        """Discard the membership of an engine that restarts."""
        self._identity_by_engine.pop(engine_id, None)

    def _check_previous_group(
        self, engine: SoakEngine, previous: GroupIdentity | None
    ) -> None:
        """Check that the engine's previous group accepts no requests."""
        if previous is None:
            return
        head = self.engines_by_id[previous.members[0]]
        if head is engine or head.has_crashed or identity_of(head) != previous:
            return
        if _state(head) in ACCEPTING_STATES:
            self._record_violation(
                f'{engine.engine_id} joined {identity_of(engine)} while the'
                f' head of {previous} was {_state(head)}'
            )

    def _check_open_group(
        self, head: SoakEngine, identity: GroupIdentity
    ) -> None:
        """Check that no member of an open group has joined another group."""
        for member in identity.members:
            other = self._identity_by_engine.get(member)
            if other is not None and other != identity:
                self._record_violation(
                    f'{identity} is open while {member} is in {other}'
                )

    def _is_accepting_head(
        self, engine: SoakEngine, identity: GroupIdentity
    ) -> bool:
        is_first = identity.members[:1] == (engine.engine_id,)
        return is_first and _state(engine) in ACCEPTING_STATES

    def _is_complete(self, identity: GroupIdentity) -> bool:
        members = [self.engines_by_id[member] for member in identity.members]
        return all(
            member.is_reachable() and identity_of(member) == identity
            for member in members
        )

    def _record_violation(self, violation: str) -> None:
        self.violations.append(violation)


def identity_of(engine: SoakEngine) -> GroupIdentity | None:
    """Return the identity of an engine's group, or None without a group."""
    group: Mapping[str, object] | None = engine.group
    if group is None:
        return None
    return GroupIdentity(
        str(group['Name']), int(str(group['epoch'])), engine.members
    )


def _state(engine: SoakEngine) -> str:
    return '' if engine.group is None else str(engine.group['State'])
