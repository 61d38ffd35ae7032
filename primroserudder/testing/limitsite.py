"""Many VMs that send to engines with limits, in virtual time.

Explanation
===========
The VMs tell each other what they sent through a plain model of the notices:
what each hears of the others is as old as the delay. Requests arrive at random,
unevenly over the VMs, and those that find no engine come again for a while.
"""

import random
from collections import Counter, deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from ..fleet.enginelimits import (
    LimitGate,
    build_limit_gate,
    incarnation_key,
)
from ..fleet.membership import InFlightCounts
from ..fleet.model import Target
from ..process.metrics import Metrics
from .colddata import no_cold_engines
from .fleetdata import ManualClock, target

STEP_S = 0.02
# Steps for which a request looks for an engine.
PATIENCE_STEPS = 7


@dataclass(frozen=True, slots=True)
class LimitPattern:
    """A load on engines that all name the same limit.

    Explanation
    ===========
    Rates are in requests a second. ``delay_s`` is how old the counts of the
    others are. The busiest VM gets ``unevenness`` times the requests of the
    idlest one.
    """

    vms: int = 7
    engines: int = 1
    limit_per_s: float = 3.2
    demand_per_s: float = 20.0
    delay_s: float = 0.1
    unevenness: float = 4.0
    duration_s: float = 40.0
    # VMs that are cut off from the others, and since when.
    cut_off: int = 0
    cut_at_s: float = 0


@dataclass(frozen=True, slots=True)
class _Told:
    """What a VM told the others."""

    sent: Counter[int]
    looks: Counter[int]


@dataclass(slots=True)
class LimitedVm:
    """One VM of the site."""

    gate: LimitGate
    waiting: deque[int] = field(default_factory=deque)


@dataclass(slots=True)
class LimitSite:
    """Plays a pattern and records what each engine got, and when."""

    pattern: LimitPattern
    seed: int = 1
    clock: ManualClock = field(default_factory=lambda: ManualClock(0))
    vms: list[LimitedVm] = field(default_factory=list)
    targets: list[Target] = field(default_factory=list)
    sent_at_by_engine: dict[str, list[float]] = field(default_factory=dict)
    refused: int = 0
    served: int = 0
    _told: deque[Sequence[_Told]] = field(default_factory=deque)
    _rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Build the VMs, which all know the limits."""
        self._rng = random.Random(self.seed)
        self.targets = [
            target(f'i-{number}', 1000)
            for number in range(self.pattern.engines)
        ]
        for number in range(self.pattern.vms):
            self.vms.append(self._new_vm(number))

    def play(self) -> None:
        """Play the whole pattern."""
        steps = int(self.pattern.duration_s / STEP_S)
        for _ in range(steps):
            self._tell()
            self._arrive()
            for vm in self.vms:
                self._send_waiting(vm)
            self.clock.advance(STEP_S)

    def most_sent(self, window_s: float, since: float = 0) -> int:
        """Return the most requests that one engine got in a window."""
        return max(
            (
                most_in_window([at for at in times if at >= since], window_s)
                for times in self.sent_at_by_engine.values()
            ),
            default=0,
        )

    @property
    def used_share(self) -> float:
        """Return the share of the limits, or of the demand, that was used."""
        allowed = self.pattern.limit_per_s * self.pattern.engines
        wanted = min(allowed, self.pattern.demand_per_s)
        return self.served / (wanted * self.pattern.duration_s)

    def _new_vm(self, number: int) -> LimitedVm:
        gate = build_limit_gate(
            InFlightCounts(),
            self.clock,
            lambda: self.pattern.vms,
            no_cold_engines(self.clock),
            Metrics(),
            random.Random(f'{self.seed}/{number}'),
        )
        for engine in self.targets:
            gate.registry.note(
                incarnation_key(engine), self.pattern.limit_per_s
            )
        return LimitedVm(gate)

    def _tell(self) -> None:
        """Let each VM hear what its side of a cut sent some time ago."""
        self._told.append([_told(vm.gate) for vm in self.vms])
        if len(self._told) * STEP_S <= self.pattern.delay_s:
            return
        told_by_vm = self._told.popleft()
        for side in self._sides():
            told = [told_by_vm[number] for number in side]
            sent = sum((each.sent for each in told), Counter())
            looks = sum((each.looks for each in told), Counter())
            for number in side:
                own = told_by_vm[number]
                counts = self.vms[number].gate.counts
                counts.others_sent = dict(sent - own.sent)
                counts.others_looks = dict(looks - own.looks)
                counts.others_vms = len(side) - 1

    def _sides(self) -> Collection[Sequence[int]]:
        everyone = range(self.pattern.vms)
        is_cut = self.clock.monotonic() >= self.pattern.cut_at_s
        if not self.pattern.cut_off or not is_cut:
            return (everyone,)
        return everyone[: self.pattern.cut_off], everyone[
            self.pattern.cut_off :
        ]

    def _arrive(self) -> None:
        expected = self.pattern.demand_per_s * STEP_S
        count = int(expected + self._rng.random())
        vms = self.pattern.vms
        slope = (self.pattern.unevenness - 1) / vms
        weights = [1 + slope * number for number in range(vms)]
        for vm in self._rng.choices(self.vms, weights, k=count):
            vm.waiting.append(PATIENCE_STEPS)

    def _send_waiting(self, vm: LimitedVm) -> None:
        """Send what finds an engine; the rest waits one step less."""
        still: deque[int] = deque()
        for patience in vm.waiting:
            if self._send(vm):
                self.served += 1
            elif patience:
                still.append(patience - 1)
            else:
                self.refused += 1
        vm.waiting = still

    def _send(self, vm: LimitedVm) -> bool:
        first = self._rng.randrange(len(self.targets))
        for engine in (*self.targets[first:], *self.targets[:first]):
            if vm.gate.may_send(engine):
                vm.gate.note_send(engine)
                self.sent_at_by_engine.setdefault(engine.engine_id, []).append(
                    self.clock.monotonic()
                )
                return True
        return False


def _told(gate: LimitGate) -> _Told:
    return _Told(Counter(gate.sent_by_key()), Counter(gate.looks_by_key()))


def most_in_window(times: Sequence[float], window_s: float) -> int:
    return max(
        (
            sum(start <= at < start + window_s for at in times[number:])
            for number, start in enumerate(times)
        ),
        default=0,
    )
