"""Decides the next actions for one group from the engine list alone.

Explanation
===========
Engines may stop responding, leave or restart while their group serves, and
orders may be lost or carried out late. A group opens once every member has
reported ready under its name and epoch. Its members become free once its head
can't take requests any more: the head left the group, or was restarted, or is
broken, or has been stalled for longer than a head waits for a member that left
it. A head that reports ready after its close may still take requests: an
opening in progress, or an open order that arrives late, would open it again.
A head that left can't be opened.
"""

from collections.abc import Collection, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from .actions import Action, Close, Join, Leave, Open, Release
from .model import Engine, Formation, GroupState

# Added to the time that a head waits for a lost member.
STALL_MARGIN_S = 0.6
# The list shows within this time that a member has left its group.
LISTED_WITHIN_S = 1.0
# An order without an answer may be carried out this much later.
MAX_ORDER_DELAY_S = 12.0
# The streams of a draining group move to other groups after this time. A member
# that drains stays for up to ten seconds while its head has work: until then
# the head finishes the streams that can't move.
STREAMS_MOVE_AFTER_S = 3.0
MAX_CLOSING_S = 8.0
# An engine that does not answer probes may be silent for about a second and go
# on, so that its group's streams that can't move wait for it this long.
MAX_SILENCE_S = 1.2


@dataclass(frozen=True, slots=True)
class CloseTimes:
    """How long a group that dissolves may go on with its streams, in seconds.

    Parameters
    ==========
    move_after_s : float
        From then on its streams move to other groups if they can.
    end_after_s : float
        From then on its head does not finish its streams.
    """

    move_after_s: float = 0
    end_after_s: float = 0


AT_ONCE = CloseTimes()
ON_DRAIN = CloseTimes(STREAMS_MOVE_AFTER_S, MAX_CLOSING_S)
ON_SILENCE = CloseTimes(end_after_s=MAX_CLOSING_S)


@dataclass(slots=True)
class GroupProgress:
    """A formation and the lease holder's record of its progress.

    Explanation
    ===========
    A lease holder that takes over a formation from another one has no record
    of whether the head was ordered to open. ``is_open_ordered`` is therefore
    true by default. Times are monotonic and in seconds: ``left_at_by_member``
    has those of acknowledged orders to leave, and since
    ``no_member_listed_since`` no listed member has reported the group. An order
    to open that was not answered may be carried out until ``may_open_until``.
    ``close_times`` depend on the reason why the group dissolves, and since
    ``silent_since`` a member does not answer probes. A group ``is_outdated`` if
    an engine refused to join it, as it has seen a later epoch.
    """

    formation: Formation
    born_by_member: Mapping[str, int]
    created_at: float
    is_open_ordered: bool = True
    is_dissolving: bool = False
    close_times: CloseTimes = AT_ONCE
    silent_since: float | None = None
    dissolving_since: float = 0
    is_close_answered: bool = False
    has_head_left: bool = False
    left_at_by_member: dict[str, float] = field(default_factory=dict)
    no_member_listed_since: float | None = None
    may_open_until: float = float('-inf')
    pending_members: set[str] = field(default_factory=set)
    reason: str = ''
    is_outdated: bool = False

    def dissolve(
        self, reason: str, now: float, close_times: CloseTimes = AT_ONCE
    ) -> None:
        """Begin to free the members; later calls have no effect."""
        if self.is_dissolving:
            return
        self.is_dissolving = True
        self.close_times = close_times
        self.dissolving_since = now
        self.reason = reason

    def is_broken(self, now: float) -> bool:
        """Return whether the group's streams should move to other groups."""
        dissolving_s = now - self.dissolving_since
        return (
            self.is_dissolving and dissolving_s >= self.close_times.move_after_s
        )

    def may_finish_streams(self, now: float) -> bool:
        """Return whether the head may still finish the streams it runs."""
        is_silent_long = (
            self.silent_since is not None
            and now - self.silent_since >= MAX_SILENCE_S
        )
        dissolving_s = now - self.dissolving_since
        return not is_silent_long and (
            dissolving_s < self.close_times.end_after_s
        )

    def note_silence(self, now: float, *, is_silent: bool) -> None:
        """Record whether a member does not answer probes."""
        if not is_silent:
            self.silent_since = None
        elif self.silent_since is None:
            self.silent_since = now

    def note_remaining(
        self,
        listed: Collection[Engine],
        remaining: Collection[Engine],
        now: float,
    ) -> None:
        """Record which listed members still report the group.

        Explanation
        ===========
        Members that are restarted, or join another group, leave without an
        order; one whose join was late may still come back, also after it left.
        """
        for engine in remaining:
            left_at = self.left_at_by_member.get(engine.engine_id, now)
            if now - left_at > LISTED_WITHIN_S:
                self.left_at_by_member.pop(engine.engine_id)
        if remaining or not listed:
            self.no_member_listed_since = None
        elif self.no_member_listed_since is None:
            self.no_member_listed_since = now

    def has_missed_a_member_since(self, moment: float) -> bool:
        """Return whether a member has been missing from before a moment."""
        times = (*self.left_at_by_member.values(), self.no_member_listed_since)
        return any(since is not None and since < moment for since in times)

    def note_left(self, engine_id: str, now: float) -> None:
        """Record that a member acknowledged its leave order."""
        self.left_at_by_member.setdefault(engine_id, now)
        if engine_id == self.formation.head:
            self.has_head_left = True


@dataclass(frozen=True, slots=True)
class EngineSnapshot:
    """The engines as listed and reachable at one moment."""

    engines_by_id: Mapping[str, Engine]
    unreachable: AbstractSet[str]
    stall_s: float
    now: float

    def engine(self, engine_id: str) -> Engine | None:
        """Return an engine, or ``None`` if unlisted or unreachable."""
        if engine_id in self.unreachable:
            return None
        return self.engines_by_id.get(engine_id)


def next_actions(
    progress: GroupProgress, snapshot: EngineSnapshot
) -> list[Action]:
    """Return the actions that a group needs now.

    Explanation
    ===========
    Marks the group as dissolving if a member was lost or drains, or if the
    head is broken.
    """
    members = progress.formation.members
    head = snapshot.engines_by_id.get(members[0])
    if head is not None and _state(head, progress) is GroupState.OPEN:
        # From now on it breaks if it misses a member.
        progress.may_open_until = float('-inf')
    progress.note_silence(
        snapshot.now, is_silent=not snapshot.unreachable.isdisjoint(members)
    )
    if progress.is_dissolving:
        progress.close_times = _close_times(progress, snapshot)
    else:
        _check_members(progress, snapshot)
    if progress.is_dissolving:
        return _dissolving_actions(progress, snapshot)
    return _forming_actions(progress, snapshot)


def is_member(engine: Engine, formation: Formation) -> bool:
    """Return whether an engine reports this group and epoch."""
    membership = engine.membership
    return (
        membership is not None
        and membership.group == formation.name
        and membership.epoch == formation.epoch
    )


def _check_members(progress: GroupProgress, snapshot: EngineSnapshot) -> None:
    lost = _lost_members(progress, snapshot)
    if lost:
        reason = f'member {lost[0]} lost'
        progress.dissolve(reason, snapshot.now)
        return
    if progress.is_outdated:
        progress.dissolve('a member knows a later epoch', snapshot.now)
        return
    members = progress.formation.members
    silent = [member for member in members if member in snapshot.unreachable]
    if silent:
        reason = f'member {silent[0]} does not answer'
        progress.dissolve(reason, snapshot.now, ON_SILENCE)
        return
    if any(snapshot.engines_by_id[member].is_draining for member in members):
        progress.dissolve('a member drains', snapshot.now, ON_DRAIN)
        return
    head = snapshot.engines_by_id[progress.formation.head]
    if _state(head, progress) is GroupState.BROKEN:
        progress.dissolve('head broken', snapshot.now)


def _close_times(
    progress: GroupProgress, snapshot: EngineSnapshot
) -> CloseTimes:
    """Return the times of a dissolving group by what its members do now."""
    is_loss = bool(_lost_members(progress, snapshot))
    if progress.close_times is AT_ONCE or is_loss:
        return AT_ONCE
    return progress.close_times if progress.silent_since is None else ON_SILENCE


def _lost_members(
    progress: GroupProgress, snapshot: EngineSnapshot
) -> list[str]:
    """Return the members that are not listed any more, or were restarted."""
    listed = snapshot.engines_by_id
    return [
        member
        for member in progress.formation.members
        if member not in listed or _has_restarted(listed[member], progress)
    ]


def _forming_actions(
    progress: GroupProgress, snapshot: EngineSnapshot
) -> list[Action]:
    formation = progress.formation
    members = [snapshot.engines_by_id[member] for member in formation.members]
    missing = [engine for engine in members if not is_member(engine, formation)]
    joining = [
        engine
        for engine in members
        if _state(engine, progress) is GroupState.JOINING
    ]
    if missing or joining:
        progress.pending_members = {
            engine.engine_id for engine in (*missing, *joining)
        }
        return [Join(engine) for engine in missing]
    progress.pending_members = set()
    head = members[0]
    if _state(head, progress) is GroupState.READY:
        return [Open(head)]
    return []


def _dissolving_actions(
    progress: GroupProgress, snapshot: EngineSnapshot
) -> list[Action]:
    if progress.has_head_left or not progress.is_open_ordered:
        return [Release('the head takes no requests')]
    head = snapshot.engine(progress.formation.head)
    if head is None:
        return _actions_without_head(progress, snapshot)
    proof = _release_proof(progress, head)
    if proof:
        return [Release(proof)]
    state = _state(head, progress)
    if state is GroupState.READY and progress.is_close_answered:
        return [Leave(head)]
    return _closing_actions(progress, head, snapshot.now)


def _release_proof(progress: GroupProgress, head: Engine) -> str:
    """Return why a listed head can't take requests, empty if it may."""
    if _has_restarted(head, progress):
        return 'the head was restarted'
    state = _state(head, progress)
    if state is None:
        return 'the head left its group'
    return 'the head is broken' if state is GroupState.BROKEN else ''


def _closing_actions(
    progress: GroupProgress,
    head: Engine,
    now: float,
) -> list[Action]:
    is_within_grace = progress.may_finish_streams(now)
    if progress.is_close_answered and is_within_grace:
        return []
    return [Close(head, at_once=not is_within_grace)]


def _actions_without_head(
    progress: GroupProgress, snapshot: EngineSnapshot
) -> list[Action]:
    formation = progress.formation
    listed = [
        engine
        for engine_id in formation.members
        if (engine := snapshot.engine(engine_id)) is not None
    ]
    remaining = [engine for engine in listed if is_member(engine, formation)]
    progress.note_remaining(listed, remaining, snapshot.now)
    stalled_at = snapshot.now - snapshot.stall_s - STALL_MARGIN_S
    # A head that has not opened yet is no stalled one: it may open late.
    may_open = snapshot.now < progress.may_open_until
    if progress.has_missed_a_member_since(stalled_at) and not may_open:
        return [Release('the head has been stalled long enough')]
    if progress.may_finish_streams(snapshot.now):
        return []
    return [
        Leave(engine)
        for engine in remaining
        if engine.engine_id not in progress.left_at_by_member
    ]


def _state(engine: Engine, progress: GroupProgress) -> GroupState | None:
    if not is_member(engine, progress.formation):
        return None
    return None if engine.membership is None else engine.membership.state


def _has_restarted(engine: Engine, progress: GroupProgress) -> bool:
    expected_born_ms = progress.born_by_member.get(
        engine.engine_id, engine.born_ms
    )
    return engine.born_ms != expected_born_ms
