"""Measures the time of a routing decision at several fleet sizes."""

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
    """A clock that advances only when its time is set."""

    now: float = 0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the same time."""
        return self.now


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """The time of decisions at one size, pool renewals included."""

    engines: int
    groups: int
    mean_us: float
    p50_us: float
    p99_us: float


@dataclass(slots=True)
class DecisionBench:
    """One entry's router in front of a fleet that does not change."""

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
        for record in self.groups:
            directory.update(record)
        book = EvidenceBook(self.clock)
        self.router = Router('fd-0', directory, book, self.rng)

    def decide(self, step: int, request: CallerRequest) -> float:
        """Make one decision and return its duration in seconds."""
        self.clock.now = step / REQUESTS_PER_S
        if step % REQUESTS_PER_S == 0:
            _record_evidence(self.router.evidence, self.groups, self.rng)
            self.router.tick()
        started_at = time.perf_counter()
        with self.router.dispatched(request, self.router.choose(request)):
            return time.perf_counter() - started_at


def measure_decisions(engines: int, decisions: int, seed: int) -> DecisionCost:
    """Return the cost of the decisions of one entry."""
    rng = random.Random(seed)
    bench = DecisionBench(engines, rng)
    requests = _requests(rng)
    latency = Latency()
    total: float = 0
    for step in range(decisions):
        request = replace(rng.choice(requests), request_id=str(step))
        duration_s = bench.decide(step, request)
        total += duration_s
        latency.record(duration_s)
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


def _record_evidence(
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
