"""The evidence of this process and of its peers; the latest counts."""

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
# Older observations get ages of their own in the vouch.
LATE_AFTER_S = 1.2
REPORT_KEPT_S = 30
_NO_LOAD = EngineLoad()


@dataclass(frozen=True, slots=True)
class Evidence:
    """An observation and its time on this process's monotonic clock."""

    observation: Observation
    seen_at: float


@dataclass(slots=True)
class EvidenceStore:
    """The latest evidence of each item, from own probes and from peers.

    Explanation
    ===========
    Evidence dates from before the probe was sent, on this process's clock.
    If two probers report on an item, the later observation counts. ``log``
    keeps the changes in the order of their arrival here, so that a peer that
    asks again gets only newer ones. ``changes`` counts the applied changes
    other than changes of load.
    """

    clock: Clock
    key: int = 0
    late_after_s: float = LATE_AFTER_S
    own: ProberReport = field(init=False)
    log: ChangeLog = field(default_factory=ChangeLog)
    by_prober: dict[int, ProberReport] = field(default_factory=dict)
    changes: int = 0

    def __post_init__(self) -> None:
        """Start with no evidence."""
        self.own = ProberReport(self.key)

    def note(self, status: EngineStatus, seen_at: float) -> None:
        """Record a status that this process received from a VM."""
        self.note_observation(status.vm_id, status, seen_at)

    def note_refusal(self, vm_id: str) -> None:
        """Record that a VM refuses connections."""
        self.note_observation(vm_id, Gone(), self.clock.monotonic())

    def note_observation(
        self, name: str, observation: Observation, seen_at: float
    ) -> None:
        """Record an own observation unless a newer one is recorded."""
        if self.own.late_by_name.get(name, NEVER) > seen_at:
            return
        self.own.late_by_name[name] = seen_at
        previous = self.own.observation_by_name.get(name)
        if previous is None or _comparable(previous) != _comparable(
            observation
        ):
            change = Change(self.key, self.own.sequence + 1, name, observation)
            self._apply(self.own, change)

    def withdraw(self, name: str) -> None:
        """Stop reporting on an item that this process watched."""
        if name in self.own.observation_by_name:
            self.note_observation(name, Withdrawn(), self.clock.monotonic())
            self.own.late_by_name.pop(name)

    def own_vouch(self) -> Vouch:
        """Return the vouch for this process's own observations."""
        now = self.clock.monotonic()
        ages = {name: now - at for name, at in self.own.late_by_name.items()}
        age_s = max(
            (age for age in ages.values() if age <= self.late_after_s),
            default=0,
        )
        late = {name: age for name, age in ages.items() if age > age_s}
        return Vouch(self.key, self.own.sequence, age_s, late)

    def vouches(self, relayed: Collection[int] = ()) -> Iterable[Vouch]:
        """Yield the own vouch and the fresh ones of the relayed probers."""
        yield self.own_vouch()
        now = self.clock.monotonic()
        for prober in relayed:
            report = self.by_prober.get(prober)
            if report is None:
                continue
            if now - report.vouched_at <= EVIDENCE_LIFETIME_S:
                yield report.vouch(now)

    def merge(self, reply: DigestReply, asked_at: float) -> None:
        """Merge a peer's reply to a request sent at ``asked_at``."""
        for change in reply.changes:
            if change.prober != self.key:
                self._apply(self._report_of(change.prober), change)
        for vouch in reply.vouches:
            if vouch.prober != self.key:
                self._report_of(vouch.prober).apply_vouch(vouch, asked_at)

    def drop_old(self) -> bool:
        """Drop probers without a recent vouch; return whether any was.

        Explanation
        ===========
        If one was dropped, peers must be asked for all their changes again,
        because those that they sent earlier are no longer stored here.
        """
        earliest = self.clock.monotonic() - REPORT_KEPT_S
        old = [
            prober
            for prober, report in self.by_prober.items()
            if max(report.vouched_at, report.created_at) < earliest
        ]
        for prober in old:
            self.by_prober.pop(prober)
            self.log.drop(prober)
        return bool(old)

    def evidence(self, name: str) -> Evidence | None:
        """Return the latest evidence of an item from any prober."""
        candidates = [
            Evidence(report.observation_by_name[name], report.seen_at(name))
            for report in (self.own, *self.by_prober.values())
            if name in report.observation_by_name
        ]
        return max(candidates, key=lambda each: each.seen_at, default=None)

    def age_s(self, name: str) -> float:
        """Return the age of an item's evidence, infinite if there is none."""
        latest = self.evidence(name)
        seen_at = NEVER if latest is None else latest.seen_at
        return self.clock.monotonic() - seen_at

    def vouch_age_s(self, prober: int) -> float:
        """Return the age of a prober's vouch, infinite if there is none."""
        report = self.by_prober.get(prober)
        vouched_at = NEVER if report is None else report.vouched_at
        return self.clock.monotonic() - vouched_at

    def dump(self) -> Mapping[str, object]:
        """Return the age and content of all evidence for the state dump."""
        now = self.clock.monotonic()
        names = {
            name
            for report in (self.own, *self.by_prober.values())
            for name in report.observation_by_name
        }
        latest_by_name = {name: self.evidence(name) for name in sorted(names)}
        return {
            name: {
                'age_s': _rounded_age(now - evidence.seen_at),
                **observation_fields(evidence.observation),
            }
            for name, evidence in latest_by_name.items()
            if evidence is not None
        }

    def _report_of(self, prober: int) -> ProberReport:
        report = self.by_prober.get(prober)
        if report is None:
            now = self.clock.monotonic()
            report = ProberReport(prober, created_at=now)
            self.by_prober[prober] = report
        return report

    def _apply(self, report: ProberReport, change: Change) -> None:
        previous = report.observation_by_name.get(change.name)
        if report.apply(change):
            self.changes += _without_load(previous) != _without_load(
                change.observation
            )
            self.log.add(change)


@singledispatch
def observation_fields(observation: Observation) -> Mapping[str, object]:
    """Return an observation's fields for the state dump."""
    return {'found': type(observation).__name__.lower()}


@observation_fields.register
def _status_fields(observation: EngineStatus) -> Mapping[str, object]:
    return {
        'incarnation': observation.incarnation,
        'group_id': observation.group_id,
        'generation': observation.generation,
        'ready': observation.ready,
        'draining': observation.draining,
    }


@observation_fields.register
def _right_fields(observation: RoutingRight) -> Mapping[str, object]:
    return {'generation': observation.generation}


@singledispatch
def _comparable(observation: Observation) -> Observation:
    return observation


@_comparable.register
def _comparable_status(observation: EngineStatus) -> Observation:
    # The load changes constantly; only its order of magnitude is compared.
    load = EngineLoad(
        running=observation.load.running.bit_length(),
        waiting=observation.load.waiting.bit_length(),
        token_backlog=observation.load.token_backlog.bit_length(),
        slots=observation.load.slots,
    )
    return replace(observation, load=load, members=tuple(observation.members))


def _without_load(observation: Observation | None) -> Observation | None:
    if isinstance(observation, EngineStatus):
        return replace(observation, load=_NO_LOAD)
    return observation


def _rounded_age(age_s: float) -> float | None:
    return None if age_s == float('inf') else round(age_s, 3)
