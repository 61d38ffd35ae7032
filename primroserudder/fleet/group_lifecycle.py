"""What one group needs next, decided from the list alone.

Explanation
===========
Answers engines that fall silent, leave or restart while their group serves,
and orders that are lost or carried out late. A group opens once every member
has reported ready under its name and epoch. Its members become free once its
head can't take requests any more: the head left the group, or was started
anew, or is broken, or has stood still for longer than a head waits for a
member that left it. A head that reports ready after its close is no proof: an
opening that is under way, or an order to open that arrives late, would open
it again. A head that left can't be opened.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from .actions import Action, Close, Join, Leave, Open, Release
from .model import Engine, Formation, GroupState

# Beyond the time that a head waits for a lost member.
STALL_MARGIN_S = 0.6
# A drained group ends its streams within this time, then they are moved.
LONGEST_GRACEFUL_CLOSE_S = 3.0
JOIN_LIMIT_S = 6.0


@dataclass(slots=True)
class GroupProgress:
    """A formation and what the lease's holder knows of its progress.

    Explanation
    ===========
    A holder that took a formation over from another does not know whether
    it was ordered to open, so that ``is_open_ordered`` begins as true there.
    """

    formation: Formation
    born_by_member: Mapping[str, int]
    created_at: float
    is_open_ordered: bool = True
    is_dissolving: bool = False
    is_graceful: bool = False
    dissolving_since: float = 0
    is_close_answered: bool = False
    has_head_left: bool = False
    left_members: set[str] = field(default_factory=set)
    first_left_at: float | None = None
    laggards: set[str] = field(default_factory=set)
    reason: str = ''

    def dissolve(self, reason: str, now: float, *, graceful: bool) -> None:
        """Begin to free the members."""
        if self.is_dissolving:
            return
        self.is_dissolving = True
        self.is_graceful = graceful
        self.dissolving_since = now
        self.reason = reason

    def note_left(self, engine_id: str, now: float) -> None:
        """Note that a member acknowledged that it left."""
        self.left_members.add(engine_id)
        if engine_id == self.formation.head:
            self.has_head_left = True
        if self.first_left_at is None:
            self.first_left_at = now


@dataclass(frozen=True, slots=True)
class EngineSnapshot:
    """What the holder sees of the engines at one moment."""

    engines_by_id: Mapping[str, Engine]
    unreachable: Collection[str]
    stall_s: float
    now: float

    def engine(self, engine_id: str) -> Engine | None:
        """Return a listed engine that can be reached."""
        if engine_id in self.unreachable:
            return None
        return self.engines_by_id.get(engine_id)


def next_actions(
    standing: GroupProgress, sight: EngineSnapshot
) -> list[Action]:
    """Return the orders that a group needs now."""
    if not standing.is_dissolving:
        _check_members(standing, sight)
    if standing.is_dissolving:
        return _needs_to_dissolve(standing, sight)
    return _needs_to_form(standing, sight)


def is_member(engine: Engine, formation: Formation) -> bool:
    """Return whether an engine reports to be in a group."""
    membership = engine.membership
    return (
        membership is not None
        and membership.group == formation.name
        and membership.epoch == formation.epoch
    )


def _check_members(standing: GroupProgress, sight: EngineSnapshot) -> None:
    draining = False
    for engine_id in standing.formation.members:
        engine = sight.engine(engine_id)
        if engine is None or _is_reborn(engine, standing):
            reason = f'member {engine_id} lost'
            standing.dissolve(reason, sight.now, graceful=False)
            return
        draining = draining or engine.is_draining
    if draining:
        standing.dissolve('a member drains', sight.now, graceful=True)
        return
    head = sight.engines_by_id[standing.formation.head]
    if _state(head, standing) is GroupState.BROKEN:
        standing.dissolve('head broken', sight.now, graceful=False)


def _needs_to_form(
    standing: GroupProgress, sight: EngineSnapshot
) -> list[Action]:
    formation = standing.formation
    members = [sight.engines_by_id[one] for one in formation.members]
    missing = [one for one in members if not is_member(one, formation)]
    forming = [
        one for one in members if _state(one, standing) is GroupState.JOINING
    ]
    if missing or forming:
        standing.laggards = {one.engine_id for one in (*missing, *forming)}
        return [Join(engine) for engine in missing]
    standing.laggards = set()
    head = members[0]
    if _state(head, standing) is GroupState.READY:
        return [Open(head)]
    return []


def _needs_to_dissolve(
    standing: GroupProgress, sight: EngineSnapshot
) -> list[Action]:
    if standing.has_head_left or not standing.is_open_ordered:
        return [Release('the head takes no requests')]
    head = sight.engine(standing.formation.head)
    if head is None:
        return _needs_without_head(standing, sight)
    proof = _proof_of_rest(standing, head)
    if proof:
        return [Release(proof)]
    state = _state(head, standing)
    if state is GroupState.READY and standing.is_close_answered:
        return [Leave(head)]
    return _needs_to_close(standing, head, sight.now)


def _proof_of_rest(standing: GroupProgress, head: Engine) -> str:
    """Return why a listed head takes no requests, empty if it may."""
    if _is_reborn(head, standing):
        return 'the head was started anew'
    state = _state(head, standing)
    if state is None:
        return 'the head left its group'
    return 'the head is broken' if state is GroupState.BROKEN else ''


def _needs_to_close(
    standing: GroupProgress,
    head: Engine,
    now: float,
) -> list[Action]:
    waited_s = now - standing.dissolving_since
    is_patient = standing.is_graceful and waited_s < LONGEST_GRACEFUL_CLOSE_S
    if standing.is_close_answered and is_patient:
        return []
    return [Close(head, at_once=not is_patient)]


def _needs_without_head(
    standing: GroupProgress, sight: EngineSnapshot
) -> list[Action]:
    left_at = standing.first_left_at
    if left_at is not None:
        if sight.now - left_at > sight.stall_s + STALL_MARGIN_S:
            return [Release('the head has stood still long enough')]
    formation = standing.formation
    return [
        Leave(engine)
        for engine_id in formation.members
        if (engine := sight.engine(engine_id)) is not None
        and is_member(engine, formation)
        and engine_id not in standing.left_members
    ]


def _state(engine: Engine, standing: GroupProgress) -> GroupState | None:
    if not is_member(engine, standing.formation):
        return None
    return None if engine.membership is None else engine.membership.state


def _is_reborn(engine: Engine, standing: GroupProgress) -> bool:
    known = standing.born_by_member.get(engine.engine_id, engine.born_ms)
    return engine.born_ms != known
