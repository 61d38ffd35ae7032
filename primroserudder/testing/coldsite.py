"""Many VMs that send to one cold engine, in virtual time.

Explanation
===========
The VMs tell each other what they sent through a plain model of the notices:
what each hears of the others is as old as the delay, and those that hear each
other are one side. The engine list reaches them at different times. Requests
arrive at random and wait in order, as they do for a slot.
"""

import itertools
import random
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..fleet.enginelimits import LimitGate, build_limit_gate
from ..fleet.membership import InFlightCounts, short_key
from ..fleet.model import ColdTime, Target
from ..process.metrics import Metrics
from .colddata import COLD_PER_S, cold_configuration, cold_engines, cold_target
from .fleetdata import ManualClock, engine
from .limitsite import most_in_window

STEP_S = 0.02
# Steps for which a request waits for a place.
PATIENCE_STEPS = 7
ENGINE = 'i-1'
# The only engine's key in notices.
KEY = short_key(f'{ENGINE}@1/cold')


@dataclass(frozen=True, slots=True)
class ColdPattern:
    """A load on an engine that is cold from a time on.

    Explanation
    ===========
    Rates are in requests a second. ``delay_s`` is how old the counts of the
    others are. The VMs hear that the engine is cold within ``list_spread_s``.
    VM number ``n`` gets ``weights[n % len(weights)]`` parts of the requests.
    ``sides`` lists how many VMs each side of a cut has, from ``cut_at_s`` on.
    ``restarted`` VMs are stopped at ``restart_at_s``, serve again ``down_s``
    later, and hear the others, and are heard, ``silent_s`` after that.
    ``surge`` requests arrive at each VM at once at ``surge_at_s``.
    """

    vms: int = 7
    demand_per_s: float = 200
    limit_per_s: float = COLD_PER_S
    delay_s: float = 0.1
    weights: tuple[float, ...] = (1,)
    cold_at_s: float = 1
    cold_s: float = 3
    list_spread_s: float = 0
    sides: tuple[int, ...] = ()
    cut_at_s: float = 0
    restarted: int = 0
    restart_at_s: float = 0
    down_s: float = 0.5
    silent_s: float = 0.6
    surge: int = 0
    surge_at_s: float = 0


@dataclass(frozen=True, slots=True)
class _Told:
    """What a VM told the others; none if it is not heard yet."""

    sent: int = 0
    looks: int = 0
    cold: int = 0
    vms: int = 0


@dataclass(slots=True)
class _Vm:
    """One VM of the site, with the steps that its requests wait for."""

    gate: LimitGate
    target: Target
    learns_at: float
    heard_from: float = 0
    knows: bool = False
    waiting: deque[int] = field(default_factory=deque)


@dataclass(slots=True)
class ColdSite:
    """Plays a pattern and records when the engine got requests."""

    pattern: ColdPattern
    seed: int = 1
    clock: ManualClock = field(default_factory=lambda: ManualClock(0))
    vms: list[_Vm] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    sent_by_vm: Counter[int] = field(default_factory=Counter)
    _told: deque[Sequence[_Told]] = field(default_factory=deque)
    _rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Build the VMs, which all know each other's addresses."""
        self._rng = random.Random(self.seed)
        spread = self.pattern.list_spread_s
        self.vms = [
            self._new_vm(
                number, self.pattern.cold_at_s + self._rng.random() * spread
            )
            for number in range(self.pattern.vms)
        ]

    def play(self) -> None:
        """Play the pattern until the engine is warm."""
        until = self.pattern.cold_at_s + self.pattern.cold_s
        while self.clock.monotonic() < until:
            self._restart_some()
            self._tell()
            self._arrive()
            for number, vm in enumerate(self.vms):
                self._learn(vm)
                self._send_waiting(number, vm)
            self.clock.advance(STEP_S)

    @property
    def most_in_a_second(self) -> int:
        """Return the most requests that the engine got in any second."""
        return most_in_window(self.sent_at, 1)

    @property
    def used_share(self) -> float:
        """Return the share of what the engine takes that it got."""
        taken = self.pattern.limit_per_s * self.pattern.cold_s
        return len(self.sent_at) / taken

    def _new_vm(self, number: int, learns_at: float) -> _Vm:
        generation = int(self.clock.monotonic() > 0)
        gate = build_limit_gate(
            InFlightCounts(),
            self.clock,
            lambda: self.pattern.vms,
            cold_engines(
                self.clock,
                configuration=cold_configuration(
                    cold_per_s=self.pattern.limit_per_s
                ),
            ),
            Metrics(),
            random.Random(f'{self.seed}/{number}/{generation}'),
        )
        return _Vm(
            gate, cold_target(ENGINE, self.pattern.limit_per_s), learns_at
        )

    def _restart_some(self) -> None:
        now = self.clock.monotonic()
        at = self.pattern.restart_at_s
        if not at <= now < at + STEP_S:
            return
        for number in range(self.pattern.restarted):
            started_at = now + self.pattern.down_s
            self.vms[number] = self._new_vm(number, started_at)
            self.vms[number].heard_from = started_at + self.pattern.silent_s

    def _learn(self, vm: _Vm) -> None:
        """Let a VM see the entry of the engine once it has reached it."""
        now = self.clock.monotonic()
        if vm.knows or now < max(vm.learns_at, self.pattern.cold_at_s):
            return
        vm.knows = True
        left_s = self.pattern.cold_at_s + self.pattern.cold_s - now
        entry = engine(
            ENGINE,
            service='ledger',
            cold_remaining_s=left_s,
            cold_time=ColdTime.READ,
        )
        vm.gate.cold.engines.note_entry(entry)

    def _tell(self) -> None:
        """Let each VM hear what its side of a cut told some time ago."""
        self._told.append([self._told_by(vm) for vm in self.vms])
        if len(self._told) * STEP_S <= self.pattern.delay_s:
            return
        told_by_vm = self._told.popleft()
        for side in self._sides():
            self._let_hear(side, told_by_vm)

    def _let_hear(
        self, side: Sequence[int], told_by_vm: Sequence[_Told]
    ) -> None:
        told = [told_by_vm[number] for number in side]
        every = _sum(told)
        now = self.clock.monotonic()
        for number in side:
            vm = self.vms[number]
            if now < vm.heard_from:
                continue
            own = told_by_vm[number]
            counts = vm.gate.counts
            counts.others_sent = {KEY: every.sent - own.sent}
            counts.others_looks = {KEY: every.looks - own.looks}
            counts.others_cold = {KEY: every.cold - own.cold}
            counts.others_vms = every.vms - own.vms

    def _told_by(self, vm: _Vm) -> _Told:
        if self.clock.monotonic() < vm.heard_from:
            return _Told()
        return _Told(
            vm.gate.sent_by_key().get(KEY, 0),
            vm.gate.looks_by_key().get(KEY, 0),
            vm.gate.cold.cold_by_key().get(KEY, 0),
            1,
        )

    def _sides(self) -> Sequence[Sequence[int]]:
        is_cut = self.clock.monotonic() >= self.pattern.cut_at_s
        if not self.pattern.sides or not is_cut:
            return (range(self.pattern.vms),)
        sides = []
        first = 0
        for size in self.pattern.sides:
            sides.append(range(first, first + size))
            first += size
        return sides

    def _arrive(self) -> None:
        pattern = self.pattern
        expected = pattern.demand_per_s * STEP_S
        count = int(expected + self._rng.random())
        for vm in self._rng.choices(self.vms, self._weights(), k=count):
            vm.waiting.append(PATIENCE_STEPS)
        now = self.clock.monotonic()
        if pattern.surge and 0 <= now - pattern.surge_at_s < STEP_S:
            for vm in self.vms:
                vm.waiting.extend(PATIENCE_STEPS for _ in range(pattern.surge))

    def _weights(self) -> Sequence[float]:
        """Return the parts of the requests that each VM gets."""
        repeated = itertools.cycle(self.pattern.weights)
        return list(itertools.islice(repeated, self.pattern.vms))

    def _send_waiting(self, number: int, vm: _Vm) -> None:
        """Send what finds a place; the first that finds none stops the rest.

        Explanation
        ===========
        Before a VM knows of the engine, requests go elsewhere.
        """
        while vm.knows and vm.waiting and vm.gate.may_send(vm.target):
            vm.waiting.popleft()
            vm.gate.note_send(vm.target)
            self.sent_by_vm[number] += 1
            self.sent_at.append(self.clock.monotonic())
        vm.waiting = deque(left - 1 for left in vm.waiting if left)


def _sum(told: Sequence[_Told]) -> _Told:
    return _Told(
        sum(each.sent for each in told),
        sum(each.looks for each in told),
        sum(each.cold for each in told),
        sum(each.vms for each in told),
    )
