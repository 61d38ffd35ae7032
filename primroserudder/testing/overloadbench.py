"""Overloads a fleet from one workspace, in virtual time."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import AsyncIterator, Iterable, Sequence
from dataclasses import dataclass, field

from ..errors import RudderError
from ..process.clock import LoopClock
from ..process.engines import LOAD_HEADER, load_to_header
from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory
from ..process.metrics import Latency, Metrics
from ..request.admission import Admission
from ..request.caller import CallerRequest
from ..request.limits import Limiter
from ..request.limitshares import LimitShares
from ..request.routing import Router
from ..request.subset import Subset
from ..request.window import ADAPT_INTERVAL_S
from ..standins.engine import Engine, EngineSpeed, GenerationRequest
from .builders import DOMAIN, caller_request, group, order
from .fakes import FakeEngines
from .probes import PROBE_INTERVAL_S, probe_all
from .virtualtime import run_virtually

GROUPS = 16
ENTRIES = 4
SPEED = EngineSpeed(prefill_word_s=0.0002, token_s=0.04, slots=16)
PROMPT_WORDS = 1000
TOKENS = 50
TOKENS_SPREAD = 40
SERVICE_S = PROMPT_WORDS * SPEED.prefill_word_s + TOKENS * SPEED.token_s
CAPACITY_PER_S = GROUPS * SPEED.slots / SERVICE_S
WORKSPACES = 6
LARGE = 'large'
LARGE_SHARES = 10
OVERLOAD = 2
WARM_UP_S = 5
P95 = 95
P99 = 99


@dataclass(frozen=True, slots=True)
class Load:
    """The request rate of each workspace, per second."""

    rate_by_workspace: tuple[tuple[str, float], ...]
    # Relative shares of the load that the balancer sends to each entry.
    balance: tuple[float, ...] = (1, 1, 1, 1)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The results of a load."""

    goodput_of_capacity: float
    small_p95_s: float
    refusals: int
    refusal_p99_s: float
    refused_by_code: dict[str, int]
    small_refused: int


def overload(balance: tuple[float, ...] = (1, 1, 1, 1)) -> Load:
    """Return double the capacity, one workspace at ten fair shares."""
    large = LARGE_SHARES / WORKSPACES
    return _load(large, OVERLOAD - large, balance)


def unloaded() -> Load:
    """Return the load of the small workspaces alone."""
    small = OVERLOAD - LARGE_SHARES / WORKSPACES
    return _load(0, small, (1, 1, 1, 1))


def _load(large: float, small: float, balance: tuple[float, ...]) -> Load:
    count = WORKSPACES - 1
    rates = [
        (f'small-{index}', small * CAPACITY_PER_S / count)
        for index in range(count)
    ]
    if large:
        rates.append((LARGE, large * CAPACITY_PER_S))
    return Load(tuple(rates), balance)


@dataclass(slots=True)
class Entry:
    """One entry with its own view, admission and policy."""

    engines: FakeEngines
    directory: GroupDirectory
    index: int
    names: Sequence[str]
    clock: LoopClock = field(default_factory=LoopClock)
    metrics: Metrics = field(default_factory=Metrics)
    book: EvidenceBook = field(init=False)
    admission: Admission = field(init=False)

    def __post_init__(self) -> None:
        """Create the evidence book, the router and admission."""
        self.book = EvidenceBook(self.clock)
        router = Router(
            DOMAIN,
            self.directory,
            self.book,
            random.Random(self.index),
            self.metrics,
            subset=Subset(self.names[self.index], lambda: self.names),
        )
        limiter = Limiter(self.clock, LimitShares(self.names[self.index]))
        self.admission = Admission(router, limiter)

    async def watch(self) -> None:
        """Probe the engines and adapt the windows until cancelled."""
        members = [record.leader for record in self.directory.by_id.values()]
        await asyncio.sleep(random.Random(self.index).random())
        while True:
            await probe_all(self.engines, self.book, members)
            self.admission.router.tick()
            for _ in range(int(PROBE_INTERVAL_S / ADAPT_INTERVAL_S)):
                await self.admission.tick()
                await asyncio.sleep(ADAPT_INTERVAL_S)


@dataclass(slots=True)
class LoadRun:
    """Runs one load against a fleet."""

    load: Load
    seconds: float
    seed: int
    engines: FakeEngines = field(default_factory=FakeEngines)
    directory: GroupDirectory = field(default_factory=GroupDirectory)
    entries: list[Entry] = field(default_factory=list)
    finished_count: int = 0
    small_first_token: Latency = field(default_factory=Latency)
    refusal: Latency = field(default_factory=Latency)
    refused: Counter[str] = field(default_factory=Counter)

    async def run(self) -> Outcome:
        """Apply the load and return its results."""
        self._start_engines()
        names = [f'e{index}' for index in range(ENTRIES)]
        self.entries = [
            Entry(self.engines, self.directory, index, names)
            for index in range(ENTRIES)
        ]
        watches = [asyncio.create_task(entry.watch()) for entry in self.entries]
        await asyncio.sleep(2)
        async with asyncio.TaskGroup() as tasks:
            for number, arrival in enumerate(self._arrivals()):
                tasks.create_task(self._serve(number, *arrival))
        for watch in watches:
            watch.cancel()
        return self._outcome()

    def _start_engines(self) -> None:
        clock = LoopClock()
        for index in range(GROUPS):
            record = group(index, 1)
            engine = Engine(record.leader.vm_id, clock, speed=SPEED)
            engine.apply_order(order(record))
            engine.ready_at = clock.monotonic()
            self.engines.add(record.leader.address, engine)
            self.directory.update(record)

    def _arrivals(self) -> Iterable[tuple[float, str, int, int]]:
        rng = random.Random(self.seed)
        for workspace, rate in self.load.rate_by_workspace:
            at = rng.expovariate(rate)
            while at < self.seconds:
                indexes = range(ENTRIES)
                entry = rng.choices(indexes, self.load.balance)[0]
                spread = rng.randint(-TOKENS_SPREAD, TOKENS_SPREAD)
                yield at, workspace, entry, TOKENS + spread
                at += rng.expovariate(rate)

    async def _serve(
        self,
        number: int,
        at: float,
        workspace: str,
        entry_index: int,
        tokens: int,
    ) -> None:
        await asyncio.sleep(at)
        entry = self.entries[entry_index]
        clock = entry.clock
        arrived_at = clock.monotonic()
        request = caller_request(
            request_id=f'req-{number}',
            workspace=workspace,
            prompt=f'{number} {_FILLER_WORDS}',
            max_tokens=tokens,
            deadline=arrived_at + 60,
        )
        is_counted = at >= WARM_UP_S
        try:
            async with entry.admission.admitted(request):
                await self._generate(entry, request, arrived_at, is_counted)
        except RudderError as error:
            self.refusal.record(clock.monotonic() - arrived_at)
            kind = 'large' if workspace == LARGE else 'small'
            self.refused[f'{kind}/{error.code}'] += 1

    async def _generate(
        self,
        entry: Entry,
        request: CallerRequest,
        arrived_at: float,
        is_counted: bool,
    ) -> None:
        router = entry.admission.router
        chosen = router.choose(request)
        engine = self.engines.by_address[chosen.leader.address]
        generation_request = GenerationRequest(
            request_id=request.request_id,
            attempt=1,
            group_id=chosen.group_id,
            generation=chosen.generation,
            prompt=request.prompt,
            seed=0,
            max_tokens=request.max_tokens,
        )
        tokens = engine.generate(generation_request)
        with router.dispatched(request, chosen) as flight:
            await anext(tokens)
            waited_s = entry.clock.monotonic() - arrived_at
            flight.note_answer({LOAD_HEADER: load_to_header(engine.load)})
            if is_counted and request.workspace != LARGE:
                self.small_first_token.record(waited_s)
            await _drain(tokens)
        if WARM_UP_S + 2 <= entry.clock.monotonic() <= self.seconds + 2:
            self.finished_count += 1

    def _outcome(self) -> Outcome:
        span = self.seconds - WARM_UP_S
        small = sum(
            count
            for kind, count in self.refused.items()
            if kind.startswith('small')
        )
        return Outcome(
            goodput_of_capacity=self.finished_count / span / CAPACITY_PER_S,
            small_p95_s=self.small_first_token.percentile_s(P95),
            refusals=sum(self.refused.values()),
            refusal_p99_s=self.refusal.percentile_s(P99),
            refused_by_code=dict(self.refused),
            small_refused=small,
        )


_FILLER_WORDS = ' '.join(itertools.repeat('w', PROMPT_WORDS - 1))


async def _drain(tokens: AsyncIterator[str]) -> int:
    return sum([1 async for _ in tokens])


def measure_load(load: Load, seconds: float, seed: int) -> Outcome:
    """Return the results of a load of so many virtual seconds."""
    return run_virtually(LoadRun(load, seconds, seed).run())
