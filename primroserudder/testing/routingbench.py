"""Compares the router with simple policies, in virtual time."""

import asyncio
import random
from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass, field
from types import MappingProxyType

from ..process.clock import LoopClock
from ..process.engines import LOAD_HEADER, load_to_header
from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory, GroupRecord
from ..process.metrics import Latency
from ..request.cacheevents import CacheEventPoller
from ..request.inflight import InFlightAttempt
from ..request.routing import Router
from ..request.subset import Subset
from ..standins.engine import Engine, EngineSpeed, GenerationRequest
from .baselines import Baseline, pick_least, pick_next, pick_random
from .builders import DOMAIN, caller_request, group, order
from .fakes import FakeEngines
from .probes import PROBE_INTERVAL_S, probe_all
from .routingload import ENTRIES, LoadShape, Planned, plan
from .virtualtime import run_virtually

GROUPS = 16
SPEED = EngineSpeed(
    prefill_word_s=0.0002,
    token_s=0.02,
    slots=8,
    cache_blocks=512,
    event_loss=0.1,
    prefills_one_by_one=True,
)
WARM_UP_S = 2
P95 = 95
BASELINES = MappingProxyType(
    {
        'random': pick_random,
        'round_robin': pick_next,
        'least_outstanding': pick_least,
    }
)
ROUTER_POLICY = 'estimated_time'


@dataclass(frozen=True, slots=True)
class Figures:
    """The results of a policy for a load."""

    p50_s: float
    p95_s: float
    hit_rate: float
    requests: int


@dataclass(slots=True)
class Entry:
    """One entry with its own, partial view of the fleet."""

    engines: FakeEngines
    directory: GroupDirectory
    policy_name: str
    seed: int
    clock: LoopClock = field(default_factory=LoopClock)
    book: EvidenceBook = field(init=False)
    policy: Router | Baseline = field(init=False)

    def __post_init__(self) -> None:
        """Create the policy."""
        self.book = EvidenceBook(self.clock)
        rng = random.Random(self.seed)
        if self.policy_name == ROUTER_POLICY:
            names = [str(index) for index in range(ENTRIES)]
            self.policy = Router(
                DOMAIN,
                self.directory,
                self.book,
                rng,
                subset=Subset(str(self.seed), lambda: names),
            )
            return
        pick = BASELINES[self.policy_name]
        self.policy = Baseline(self.directory, self.book, rng, pick)

    async def watch(self) -> None:
        """Probe the engines and follow their caches until cancelled."""
        members = [record.leader for record in self.directory.by_id.values()]
        # A random delay keeps the entries from probing at the same times.
        await asyncio.sleep(random.Random(self.seed).random())
        while True:
            await probe_all(self.engines, self.book, members)
            if isinstance(self.policy, Router):
                await CacheEventPoller(self.policy, self.engines).step()
            await asyncio.sleep(PROBE_INTERVAL_S)


@dataclass(slots=True)
class Fleet:
    """Engines behind several entries with one policy."""

    shape: LoadShape
    policy_name: str
    seed: int
    engines: FakeEngines = field(default_factory=FakeEngines)
    directory: GroupDirectory = field(default_factory=GroupDirectory)
    entries: list[Entry] = field(default_factory=list)
    first_token: Latency = field(default_factory=Latency)

    async def run(self, requests: int) -> Figures:
        """Apply the load and return the figures."""
        self._start_engines()
        self.entries = [
            Entry(self.engines, self.directory, self.policy_name, index)
            for index in range(ENTRIES)
        ]
        watches = [asyncio.create_task(entry.watch()) for entry in self.entries]
        await asyncio.sleep(WARM_UP_S)
        planned = plan(self.shape, requests, self.seed)
        async with asyncio.TaskGroup() as tasks:
            for index, request in enumerate(planned):
                tasks.create_task(self._serve(index, request))
        for watch in watches:
            watch.cancel()
        return self._figures(requests)

    def _start_engines(self) -> None:
        clock = LoopClock()
        for index in range(GROUPS):
            record = group(index, 1)
            engine = Engine(record.leader.vm_id, clock, speed=SPEED)
            engine.apply_order(order(record))
            engine.ready_at = clock.monotonic()
            is_slow = index < self.shape.stragglers
            engine.faults.slowdown = self.shape.slowdown if is_slow else 1
            self.engines.add(record.leader.address, engine)
            self.directory.update(record)

    async def _serve(self, index: int, planned: Planned) -> None:
        await asyncio.sleep(planned.at)
        policy = self.entries[planned.entry].policy
        request = caller_request(
            request_id=f'req-{index}',
            prompt=planned.prompt,
            max_tokens=planned.tokens,
        )
        chosen = policy.choose(request)
        with policy.dispatched(request, chosen) as flight:
            await self._generate(chosen, index, planned, flight)

    async def _generate(
        self,
        chosen: GroupRecord,
        index: int,
        planned: Planned,
        flight: InFlightAttempt | None,
    ) -> None:
        engine = self.engines.by_address[chosen.leader.address]
        token_count = 0
        if flight is not None:
            flight.progress = lambda: token_count
        generation_request = GenerationRequest(
            request_id=f'req-{index}',
            attempt=1,
            group_id=chosen.group_id,
            generation=chosen.generation,
            prompt=planned.prompt,
            seed=0,
            max_tokens=planned.tokens,
        )
        started_at = engine.clock.monotonic()
        with ExitStack():
            async for _ in engine.generate(generation_request):
                token_count += 1
                if token_count == 1:
                    self._note_first(engine, started_at, flight)

    def _note_first(
        self,
        engine: Engine,
        started_at: float,
        flight: InFlightAttempt | None,
    ) -> None:
        self.first_token.record(engine.clock.monotonic() - started_at)
        if flight is not None:
            flight.note_answer({LOAD_HEADER: load_to_header(engine.load)})

    def _figures(self, requests: int) -> Figures:
        engines = self.engines.by_address.values()
        asked = sum(engine.prompt_words for engine in engines)
        hits = sum(engine.cache_hit_words for engine in engines)
        return Figures(
            p50_s=self.first_token.percentile_s(50),
            p95_s=self.first_token.percentile_s(P95),
            hit_rate=hits / asked,
            requests=requests,
        )


def compare(
    shape: LoadShape,
    requests: int,
    seed: int,
) -> Mapping[str, Figures]:
    """Return the figures of all policies on one load, by policy."""
    return {
        name: measure(shape, name, requests, seed)
        for name in (*BASELINES, ROUTER_POLICY)
    }


def measure(
    shape: LoadShape,
    policy_name: str,
    requests: int,
    seed: int,
) -> Figures:
    """Return the figures of one policy on one load."""
    return run_virtually(Fleet(shape, policy_name, seed).run(requests))
