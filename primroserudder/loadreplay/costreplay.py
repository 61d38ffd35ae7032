"""Replays requests of uneven sizes against choices of targets."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from ..fleet.balancing import Balancer, TargetPool, slots_in_use, split_pool
from ..fleet.cost import (
    CostedRequest,
    RequestCosts,
    RequestSize,
    StreamTimes,
)
from ..fleet.membership import InFlightCounts
from ..fleet.model import EngineSpec, ModelSpec, Target
from ..fleet.waitqueue import RETRY_AFTER_FULL_S, max_wait_s
from ..process.clock import LoopClock
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from ..testing.virtualtime import run_virtually
from .batching import BatchingGroup, Run
from .costloads import (
    MAX_ANSWER_TOKENS,
    MODELS,
    TIMES,
    CostLoad,
    ModelGroups,
    SizedArrival,
    draw_sized_arrivals,
)
from .costnews import SNAPSHOT_INTERVAL_S, LateNews
from .costoutcome import CostedEnding, CostOutcome

SETTLING_S = 8.0
DEADLINE_S = 6.0
POLL_S = 0.02
ATTEMPTS = 2
KV_TOKENS = 700_000
NO_EVENT_S = float('inf')
# Estimates that are noise have this spread about the usual sizes.
NOISE_SPREAD = 1.5
STALE_S = 2.0
# Routers that keep starting forget what they learned at this interval.
RESTART_INTERVAL_S = 1.0

Sized = Callable[[SizedArrival, random.Random], RequestSize]


def _stated(arrival: SizedArrival, _rng: random.Random) -> RequestSize:
    return RequestSize(
        arrival.request_class.model,
        arrival.request_class.name,
        arrival.workspace,
        arrival.prompt_tokens,
        MAX_ANSWER_TOKENS,
        arrival.hint_tokens,
    )


def _noise(arrival: SizedArrival, rng: random.Random) -> RequestSize:
    prompt = TIMES.usual_prompt_tokens * rng.lognormvariate(0, NOISE_SPREAD)
    hint = TIMES.usual_answer_tokens * rng.lognormvariate(0, NOISE_SPREAD)
    return replace(
        _stated(arrival, rng),
        prompt_tokens=max(1, round(prompt)),
        hint_tokens=max(1, round(hint)),
    )


def _equal(arrival: SizedArrival, rng: random.Random) -> RequestSize:
    return replace(
        _stated(arrival, rng),
        prompt_tokens=TIMES.usual_prompt_tokens,
        hint_tokens=TIMES.usual_answer_tokens,
    )


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What routers know when they choose; ``None`` is the share of slots."""

    sized: Sized | None = _stated
    news_s: tuple[float, float] | None = None
    restarts: bool = False


STALE = (STALE_S, STALE_S + SNAPSHOT_INTERVAL_S)
# Each of the faulty kinds is compared with the share of slots under the same.
KNOWLEDGE: Mapping[str, Knowledge] = MappingProxyType(
    {
        'share of slots': Knowledge(None),
        'cost': Knowledge(),
        'noise': Knowledge(_noise),
        'all equal': Knowledge(_equal),
        'just started': Knowledge(restarts=True),
        'share of slots, 2 s old': Knowledge(None, STALE),
        'cost, 2 s old': Knowledge(_stated, STALE),
    }
)


@dataclass(slots=True)
class CostVm:
    """One VM's counts, choices and costs."""

    name: str
    failure_domain: str
    counts: InFlightCounts
    balancer: Balancer
    costs: RequestCosts
    rng: random.Random

    def restart(self) -> None:
        """Forget what was learned, but not what runs."""
        fresh = _costs(self.name, self.counts)
        fresh.outstanding = self.costs.outstanding
        self.costs = fresh


@dataclass(slots=True)
class CostReplay:
    """Replays a load with one kind of knowledge, in virtual time."""

    load: CostLoad
    knowledge: Knowledge
    seed: int
    vms: list[CostVm] = field(default_factory=list)
    groups: dict[str, BatchingGroup] = field(default_factory=dict)
    pools: dict[tuple[str, str], TargetPool] = field(default_factory=dict)
    endings: list[CostedEnding] = field(default_factory=list)
    spec: EngineSpec = field(init=False)

    async def play(self) -> CostOutcome:
        """Replay all arrivals, and return how they fared."""
        self._build()
        background = [
            asyncio.ensure_future(group.run()) for group in self.groups.values()
        ]
        background.append(asyncio.ensure_future(self._share_news()))
        if self.knowledge.restarts:
            background.append(asyncio.ensure_future(self._restart()))
        loop = asyncio.get_running_loop()
        requests = []
        for arrival in draw_sized_arrivals(self.load, self.seed):
            await asyncio.sleep(arrival.at_s - loop.time())
            requests.append(asyncio.ensure_future(self._request(arrival)))
        await asyncio.sleep(SETTLING_S)
        for task in (*background, *requests):
            task.cancel()
        ended = await asyncio.gather(
            *background, *requests, return_exceptions=True
        )
        _raise_errors(ended)
        return CostOutcome(self.endings)

    def _build(self) -> None:
        load = self.load
        domains = [f'fd-{number}' for number in range(load.failure_domains)]
        for model in MODELS:
            targets = [
                self._add_group(model, number, domains)
                for number in range(model.groups)
            ]
            for domain in domains:
                self.pools[model.name, domain] = split_pool(targets, domain)
        specs = {
            each.name: ModelSpec(each.name, 1, 1, 1, 1, each.pace)
            for each in MODELS
        }
        self.spec = EngineSpec(load.slots, specs, KV_TOKENS, 1, 1, TIMES)
        self.vms = [
            _vm(f'vm-{number}', domains[number % len(domains)], self.seed)
            for number in range(load.vms)
        ]

    def _add_group(
        self, model: ModelGroups, number: int, domains: Sequence[str]
    ) -> Target:
        load = self.load
        is_slow = number % load.slow_one_in == load.slow_one_in - 1
        pace = model.pace
        if is_slow:
            pace *= load.slow_pace
        name = f'{model.name}-{number}'
        self.groups[name] = BatchingGroup(load.slots, times=TIMES, pace=pace)
        domain = domains[number % len(domains)]
        return Target(name, '127.0.0.1:1', domain, load.slots, name)

    async def _share_news(self) -> None:
        news = LateNews(
            [vm.counts for vm in self.vms],
            self.knowledge.news_s or self.load.news_s,
            random.Random(self.seed),
        )
        while True:
            news.share()
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)

    async def _restart(self) -> None:
        while True:
            await asyncio.sleep(RESTART_INTERVAL_S)
            for vm in self.vms:
                vm.restart()

    async def _request(self, arrival: SizedArrival) -> None:
        """Send a request, and once more after a refusal."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        first_event_s = await self._attempt(arrival, began_at)
        for _ in range(ATTEMPTS - 1):
            if first_event_s is not None:
                break
            await asyncio.sleep(RETRY_AFTER_FULL_S)
            first_event_s = await self._attempt(arrival, began_at)
        known_s = NO_EVENT_S if first_event_s is None else first_event_s
        self.endings.append(
            CostedEnding(
                arrival.request_class.name,
                arrival.prompt_tokens + arrival.answer_tokens,
                known_s,
                known_s <= self.load.objective_s,
            )
        )

    async def _attempt(
        self, arrival: SizedArrival, began_at: float
    ) -> float | None:
        """Return the time to the first event, ``None`` after a refusal."""
        vm = self.vms[arrival.vm]
        request = self._costed(vm, arrival)
        target = await self._acquire(vm, request, arrival)
        if target is None:
            return None
        group = self.groups[target.engine_id]
        with _held_slot(vm, request, target) as costs:
            run = group.submit(arrival.prompt_tokens, arrival.answer_tokens)
            if run is None:
                return None
            return await _follow(run, costs, request, target) - began_at

    async def _acquire(
        self,
        vm: CostVm,
        request: CostedRequest | None,
        arrival: SizedArrival,
    ) -> Target | None:
        loop = asyncio.get_running_loop()
        until = loop.time() + max_wait_s(self.load.objective_s, 0, DEADLINE_S)
        while True:
            target = self._choose(vm, request, arrival)
            if target is not None or loop.time() >= until:
                return target
            await asyncio.sleep(POLL_S)

    def _choose(
        self,
        vm: CostVm,
        request: CostedRequest | None,
        arrival: SizedArrival,
    ) -> Target | None:
        pool = self.pools[arrival.request_class.model, vm.failure_domain]
        rate = slots_in_use if request is None else vm.costs.rating(request)
        return vm.balancer.choose(pool, bool, rate)

    def _costed(
        self, vm: CostVm, arrival: SizedArrival
    ) -> CostedRequest | None:
        sized = self.knowledge.sized
        if sized is None:
            return None
        return vm.costs.request(
            arrival.request_class.model, self.spec, sized(arrival, vm.rng)
        )


@contextlib.contextmanager
def _held_slot(
    vm: CostVm, request: CostedRequest | None, target: Target
) -> Iterator[RequestCosts]:
    """Count a request at its target, and free it however it ends."""
    costs = vm.costs
    with contextlib.ExitStack() as stack:
        if request is not None:
            costs.begin(request, target)
            stack.callback(costs.end, request, target)
        vm.counts.begin(target.engine_id)
        stack.callback(vm.counts.end, target.engine_id)
        yield costs


async def _follow(
    run: Run,
    costs: RequestCosts,
    request: CostedRequest | None,
    target: Target,
) -> float:
    """Follow a request to its end; return the time of its first event."""
    loop = asyncio.get_running_loop()
    await _progress(run)
    first_at = loop.time()
    first_events = run.sent_tokens
    if request is not None:
        costs.first_event(request, target)
    while not run.is_over():
        await _progress(run)
    if request is not None:
        stream = StreamTimes(first_at, loop.time(), run.tokens, first_events)
        costs.learn_pace(request, target, stream)
        costs.learn_answer(request, run.tokens)
    return first_at


async def _progress(run: Run) -> None:
    run.progressed.clear()
    if not run.is_over():
        await run.progressed.wait()


def replay_cost(
    load: CostLoad, knowledge: str, seeds: Sequence[int]
) -> CostOutcome:
    """Replay a load on some seeds, and return all requests together."""
    outcomes = [
        run_virtually(CostReplay(load, KNOWLEDGE[knowledge], seed).play())
        for seed in seeds
    ]
    return CostOutcome(
        [ending for outcome in outcomes for ending in outcome.endings]
    )


def _vm(name: str, domain: str, seed: int) -> CostVm:
    counts = InFlightCounts()
    return CostVm(
        name,
        domain,
        counts,
        Balancer(counts.running, random.Random(f'{seed} {name}')),
        _costs(name, counts),
        random.Random(f'{seed} sizes {name}'),
    )


def _costs(name: str, counts: InFlightCounts) -> RequestCosts:
    # Log lines of slow engines belong to routers, not to a replay.
    log = DecisionLog(lines_per_s=0, burst_lines=0)
    return RequestCosts(name, counts, LoopClock(), Metrics(), log)


def _raise_errors(ended: Sequence[object]) -> None:
    for outcome in ended:
        if isinstance(outcome, Exception):
            raise outcome
