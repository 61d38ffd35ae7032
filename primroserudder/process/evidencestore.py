"""What this process and its peers found, merged by age."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from functools import singledispatch

from .clock import Clock
from .digest import (
    NEVER,
    Change,
    ChangeLog,
    DigestReply,
    Gone,
    Observation,
    ProberReport,
    RoutingRight,
    Vouch,
    Withdrawn,
)
from .engines import EngineLoad, EngineStatus

EVIDENCE_LIFETIME_S = 3
LATE_AFTER_S = 1.2
TESTIMONY_KEPT_S = 30
_NO_LOAD = EngineLoad()


@dataclass(frozen=True, slots=True)
class Evidence:
    """The last sign of life of a VM, on this process's own clock."""

    observation: Observation
    seen_at: float


@dataclass(slots=True)
class EvidenceStore:
    """The latest evidence of each item, from own probes and from peers.

    Explanation
    ===========
    Evidence dates from before the probe was sent, on this process's clock.
    Of two probers' words the one that was seen later counts. ``log`` gives
    the changes in the order in which they came to be known here, so that a
    peer that asks again gets only what is new.
    """

    clock: Clock
    key: int = 0
    late_after_s: float = LATE_AFTER_S
    own: ProberReport = field(init=False)
    log: ChangeLog = field(default_factory=ChangeLog)
    by_prober: dict[int, ProberReport] = field(default_factory=dict)
    changes: int = 0

    def __post_init__(self) -> None:
        """Begin with no evidence."""
        self.own = ProberReport(self.key)

    def note(self, status: EngineStatus, seen_at: float) -> None:
        """Keep own evidence unless newer evidence is known."""
        self.note_observation(status.vm_id, status, seen_at)

    def note_refusal(self, vm_id: str) -> None:
        """Note that a VM refuses connections."""
        self.note_observation(vm_id, Gone(), self.clock.monotonic())

    def note_observation(
        self, name: str, found: Observation, seen_at: float
    ) -> None:
        """Keep what this process itself found."""
        if self.own.late_by_name.get(name, NEVER) > seen_at:
            return
        self.own.late_by_name[name] = seen_at
        known = self.own.observation_by_name.get(name)
        if known is None or _essence(known) != _essence(found):
            change = Change(self.key, self.own.sequence + 1, name, found)
            self._apply(self.own, change)

    def withdraw(self, name: str) -> None:
        """Say nothing more about an item that this process watched."""
        if name in self.own.observation_by_name:
            self.note_observation(name, Withdrawn(), self.clock.monotonic())
            self.own.late_by_name.pop(name)

    def own_vouch(self) -> Vouch:
        """Return the vouch for this process's own probes."""
        now = self.clock.monotonic()
        ages = {name: now - at for name, at in self.own.late_by_name.items()}
        age_s = max(
            (age for age in ages.values() if age <= self.late_after_s),
            default=0,
        )
        late = {name: age for name, age in ages.items() if age > age_s}
        return Vouch(self.key, self.own.sequence, age_s, late)

    def vouches(self, relayed: Collection[int] = ()) -> Iterable[Vouch]:
        """Return the own vouch and the fresh ones of some other probers."""
        yield self.own_vouch()
        now = self.clock.monotonic()
        for prober in relayed:
            report = self.by_prober.get(prober)
            if report is None:
                continue
            if now - report.vouched_at <= EVIDENCE_LIFETIME_S:
                yield report.vouch(now)

    def merge(self, answer: DigestReply, asked_at: float) -> None:
        """Take over a peer's answer to a question sent at ``asked_at``."""
        for change in answer.changes:
            if change.prober != self.key:
                self._apply(self._testimony(change.prober), change)
        for vouch in answer.vouches:
            if vouch.prober != self.key:
                self._testimony(vouch.prober).apply_vouch(vouch, asked_at)

    def drop_old(self) -> bool:
        """Forget probers that nobody has vouched for in a long time.

        Explanation
        ===========
        If one was forgotten, peers must be asked from their first change on,
        because what they told before is no longer known here.
        """
        earliest = self.clock.monotonic() - TESTIMONY_KEPT_S
        old = [
            prober
            for prober, report in self.by_prober.items()
            if max(report.vouched_at, report.known_since) < earliest
        ]
        for prober in old:
            self.by_prober.pop(prober)
            self.log.drop(prober)
        return bool(old)

    def evidence(self, name: str) -> Evidence | None:
        """Return the latest evidence of an item, from whoever has it."""
        found = [
            Evidence(report.observation_by_name[name], report.seen_at(name))
            for report in (self.own, *self.by_prober.values())
            if name in report.observation_by_name
        ]
        return max(found, key=lambda each: each.seen_at, default=None)

    def age_s(self, name: str) -> float:
        """Return the age of an item's evidence."""
        known = self.evidence(name)
        seen_at = NEVER if known is None else known.seen_at
        return self.clock.monotonic() - seen_at

    def vouch_age_s(self, prober: int) -> float:
        """Return the age of a prober's last vouch."""
        report = self.by_prober.get(prober)
        vouched_at = NEVER if report is None else report.vouched_at
        return self.clock.monotonic() - vouched_at

    def dump(self) -> Mapping[str, object]:
        """Return ages in seconds and what was found for the state dump."""
        now = self.clock.monotonic()
        names = {
            name
            for report in (self.own, *self.by_prober.values())
            for name in report.observation_by_name
        }
        known = {name: self.evidence(name) for name in sorted(names)}
        return {
            name: {
                'age_s': _shown_age(now - evidence.seen_at),
                **shown(evidence.observation),
            }
            for name, evidence in known.items()
            if evidence is not None
        }

    def _testimony(self, prober: int) -> ProberReport:
        known = self.by_prober.get(prober)
        if known is None:
            now = self.clock.monotonic()
            known = ProberReport(prober, known_since=now)
            self.by_prober[prober] = known
        return known

    def _apply(self, report: ProberReport, change: Change) -> None:
        known = report.observation_by_name.get(change.name)
        if report.apply(change):
            self.changes += _without_load(known) != _without_load(
                change.observation
            )
            self.log.add(change)


@singledispatch
def shown(found: Observation) -> Mapping[str, object]:
    """Return what was found, for the state dump."""
    return {'found': type(found).__name__.lower()}


@shown.register
def _shown_status(found: EngineStatus) -> Mapping[str, object]:
    return {
        'incarnation': found.incarnation,
        'group_id': found.group_id,
        'generation': found.generation,
        'ready': found.ready,
        'draining': found.draining,
    }


@shown.register
def _shown_right(found: RoutingRight) -> Mapping[str, object]:
    return {'generation': found.generation}


@singledispatch
def _essence(found: Observation) -> Observation:
    return found


@_essence.register
def _status_essence(found: EngineStatus) -> Observation:
    # The load changes all the time; its order of magnitude is told.
    load = EngineLoad(
        running=found.load.running.bit_length(),
        waiting=found.load.waiting.bit_length(),
        token_backlog=found.load.token_backlog.bit_length(),
        slots=found.load.slots,
    )
    return replace(found, load=load, members=tuple(found.members))


def _without_load(found: Observation | None) -> Observation | None:
    if isinstance(found, EngineStatus):
        return replace(found, load=_NO_LOAD)
    return found


def _shown_age(age_s: float) -> float | None:
    return None if age_s == float('inf') else round(age_s, 3)
