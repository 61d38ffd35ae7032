"""Measures what a routing decision costs at several sizes of the fleet."""

import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from ..process.engines import EngineLoad
from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory, GroupRecord
from ..process.metrics import Latency
from ..request.caller import CallerRequest
from ..request.routing import Router
from .builders import caller_request, confirmed, group

VMS_PER_GROUP = 4
ENGINES_PER_DOMAIN = 264
REQUESTS_PER_S = 57
PROMPT_WORDS = 512
FAMILIES = 64
SIZES = (16, 264, 3700)
SLOTS = 64


@dataclass(slots=True)
class SteppedClock:
    """A clock that moves only when it is told to."""

    now: float = 0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the same time."""
        return self.now


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """What decisions cost at one size, renewals of the pools included."""

    engines: int
    groups: int
    mean_us: float
    p50_us: float
    p99_us: float


@dataclass(slots=True)
class DecisionBench:
    """One entry's router before a fleet that stands still."""

    engines: int
    rng: random.Random
    clock: SteppedClock = field(default_factory=SteppedClock)
    groups: Sequence[GroupRecord] = ()
    router: Router = field(init=False)

    def __post_init__(self) -> None:
        """Make the groups and the router."""
        count = self.engines // VMS_PER_GROUP
        self.groups = [_group(index) for index in range(count)]
        directory = GroupDirectory()
        for made in self.groups:
            directory.update(made)
        book = EvidenceBook(self.clock)
        self.router = Router('fd-0', directory, book, self.rng)

    def decide(self, step: int, request: CallerRequest) -> float:
        """Take one decision and return the seconds that it took."""
        self.clock.now = step / REQUESTS_PER_S
        if step % REQUESTS_PER_S == 0:
            _see_all(self.router.evidence, self.groups, self.rng)
            self.router.tick()
        began = time.perf_counter()
        with self.router.dispatched(request, self.router.choose(request)):
            return time.perf_counter() - began


def measure_decisions(engines: int, decisions: int, seed: int) -> DecisionCost:
    """Return the cost of decisions as one entry takes them."""
    rng = random.Random(seed)
    bench = DecisionBench(engines, rng)
    requests = _requests(rng)
    latency = Latency()
    total: float = 0
    for step in range(decisions):
        request = replace(rng.choice(requests), request_id=str(step))
        taken = bench.decide(step, request)
        total += taken
        latency.record(taken)
    return DecisionCost(
        engines=engines,
        groups=len(bench.groups),
        mean_us=_micros(total / decisions),
        p50_us=_micros(latency.percentile_s(50)),
        p99_us=_micros(latency.percentile_s(99)),
    )


def _group(index: int) -> GroupRecord:
    domain = index * VMS_PER_GROUP // ENGINES_PER_DOMAIN
    return group(index, VMS_PER_GROUP, failure_domain=f'fd-{domain}')


def _see_all(
    book: EvidenceBook,
    groups: Sequence[GroupRecord],
    rng: random.Random,
) -> None:
    now = book.clock.monotonic()
    for seen in groups:
        for rank in range(VMS_PER_GROUP):
            load = EngineLoad(running=rng.randrange(SLOTS), slots=SLOTS)
            book.note(replace(confirmed(seen, rank), load=load), now)


def _requests(rng: random.Random) -> Sequence[CallerRequest]:
    words = [f'w{number}' for number in range(PROMPT_WORDS)]
    return [
        caller_request(prompt=' '.join(rng.choices(words, k=PROMPT_WORDS)))
        for _ in range(FAMILIES)
    ]


def _micros(seconds: float) -> float:
    return round(seconds * 1_000_000, 1)
