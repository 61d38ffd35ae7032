"""A simulated model engine, on virtual or real time.

Explanation
===========
The tokens are a function of prompt and seed, so that a request that is
retried or resumed on another engine gets the same tokens. Batching is
continuous: a request waits for a slot by priority, its prompt is prefilled in
a time that the prefix cache reduces, and it then yields one token per
interval.
"""

import asyncio
import random
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass, field, replace

import xxhash

from ..process.clock import Clock
from ..process.engines import (
    EngineLoad,
    EngineOrder,
    EngineStatus,
    OrderRefused,
    UpstreamLost,
    UpstreamRefused,
)
from .cache import EventLog, PrefixCache
from .faults import EngineFaults
from .loadlog import LoadLog
from .slots import Slots

WORDS = (
    'charcoal', 'kiln', 'sack', 'burn', 'grade', 'yard', 'smoke', 'ember',
    'batch', 'log', 'truck', 'jar', 'gate', 'lane', 'depot', 'note',
)  # fmt: skip
EVENT_SEED = 1


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Speed of an engine; times are in seconds."""

    load_s: float = 0.2
    prefill_word_s: float = 0.0001
    token_s: float = 0.01
    slots: int = 32
    cache_blocks: int = 4096
    load_report_lag_s: float = 0.5
    event_lag_s: float = 1
    event_loss: float = 0
    prefills_one_by_one: bool = False


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """The generation that one attempt requests from an engine."""

    request_id: str
    attempt: int
    group_id: str
    generation: int
    prompt: str
    seed: int
    max_tokens: int
    priority: int = 0
    resume_from: int = 0


def token_text(prompt: str, seed: int, position: int) -> str:
    """Return the token at a position of a response."""
    seeded_text = f'{seed}/{position}/{prompt}'
    digest = xxhash.xxh3_64_intdigest(seeded_text.encode())
    word = WORDS[digest % len(WORDS)]
    return f' {word}'


class EngineCrashed(UpstreamLost):
    """The engine's process ended while it ran the request."""

    code = 'engine_crashed'


class AttemptCancelled(UpstreamLost):
    """The request was cancelled; its response is incomplete."""

    code = 'attempt_cancelled'


@dataclass(slots=True)
class Engine:
    """One engine; a crash starts a new incarnation without state."""

    vm_id: str
    clock: Clock
    honours_fencing: bool = True
    checks_generation: bool = True
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    faults: EngineFaults = field(default_factory=EngineFaults)
    starts: int = 1
    order: EngineOrder | None = None
    ready_at: float = 0
    runs_by_request: dict[str, int] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    cache: PrefixCache = field(init=False)
    loads: LoadLog = field(init=False)
    backlog_words: int = 0
    prefilling: asyncio.Lock = field(default_factory=asyncio.Lock)
    cache_hit_words: int = 0
    prompt_words: int = 0
    slots: Slots = field(init=False)

    def __post_init__(self) -> None:
        """Create the slots, an empty cache and the load log."""
        self.slots = Slots(self.speed.slots)
        self.cache = _empty_cache(self.speed, self.clock)
        self.loads = LoadLog(self.clock, self.speed.load_report_lag_s)

    @property
    def incarnation(self) -> str:
        """Return the id of the engine's current start."""
        return f'{self.vm_id}#{self.starts}'

    @property
    def running(self) -> int:
        """Return how many requests hold a slot."""
        return self.slots.running

    @property
    def load(self) -> EngineLoad:
        """Return the current load, without the reporting delay."""
        return EngineLoad(
            running=self.running,
            waiting=len(self.slots.waiting),
            token_backlog=self.backlog_words,
            slots=self.speed.slots,
        )

    def status(self) -> EngineStatus:
        """Return the status that the engine reports."""
        load = self.loads.reported(EngineLoad(slots=self.speed.slots))
        status = EngineStatus(self.vm_id, self.incarnation, load=load)
        if self.order is None:
            return status
        return replace(
            status,
            group_id=self.order.group_id,
            generation=self.order.generation,
            model=self.order.model,
            model_version=self.order.model_version,
            members=tuple(self.order.members),
            fencing=self.order.fencing,
            ready=self.clock.monotonic() >= self.ready_at,
            draining=self.order.drain,
        )

    def apply_order(self, order: EngineOrder) -> EngineStatus:
        """Apply an order; orders are idempotent.

        Raises
        ======
        OrderRefused
            The engine honours fencing and the fencing number is outdated.
        """
        current = self.order
        if current is not None and self.honours_fencing:
            if order.fencing < current.fencing:
                raise OrderRefused(
                    f'got fencing number {order.fencing}: expected at least '
                    f'{current.fencing}',
                )
        if current is None or _is_different_work(current, order):
            self.ready_at = self.clock.monotonic() + self.speed.load_s
        self.order = order
        return self.status()

    def crash(self) -> None:
        """Simulate a crash and a restart without state at the same address."""
        self.starts += 1
        self.order = None
        self.slots.reset()
        self.backlog_words = 0
        self.cache = _empty_cache(self.speed, self.clock)

    def cancel(self, request_id: str) -> None:
        """Stop all attempts of a request."""
        self.cancelled.add(request_id)

    async def generate(
        self, request: GenerationRequest
    ) -> AsyncGenerator[str, None]:
        """Yield the tokens of an attempt from its resume position on.

        Raises
        ======
        UpstreamRefused
            The engine does not serve the group's generation; nothing ran.
        EngineCrashed
            The engine crashed during the request.
        """
        if self.checks_generation:
            _check_generation(self.status(), request)
        incarnation = self.incarnation
        await self.slots.acquire(request.priority)
        self.loads.record(self.load)
        self._check_alive(incarnation)
        runs = self.runs_by_request.get(request.request_id, 0)
        self.runs_by_request[request.request_id] = runs + 1
        with ExitStack() as stack:
            stack.callback(self._end_run, incarnation)
            async for token in self._run(request, incarnation):
                yield token

    def _end_run(self, incarnation: str) -> None:
        if incarnation == self.incarnation:
            self.slots.release()
            self.loads.record(self.load)

    async def _run(
        self,
        request: GenerationRequest,
        incarnation: str,
    ) -> AsyncIterator[str]:
        if self.faults.crash_on and self.faults.crash_on in request.prompt:
            self.crash()
        await self._prefill(request.prompt, incarnation)
        for position in range(request.resume_from, request.max_tokens):
            await self._sleep(self.speed.token_s, incarnation)
            if request.request_id in self.cancelled:
                raise AttemptCancelled(f'{request.request_id} was cancelled')
            yield token_text(request.prompt, request.seed, position)

    async def _prefill(self, prompt: str, incarnation: str) -> None:
        words = self.cache.uncached_words(prompt)
        prompt_words = len(prompt.split())
        self.prompt_words += prompt_words
        self.cache_hit_words += prompt_words - words
        self.backlog_words += words
        self.loads.record(self.load)
        async with AsyncExitStack() as stack:
            stack.callback(self._end_prefill, words, incarnation)
            if self.speed.prefills_one_by_one:
                await stack.enter_async_context(self.prefilling)
            await self._sleep(words * self.speed.prefill_word_s, incarnation)

    def _end_prefill(self, words: int, incarnation: str) -> None:
        if incarnation == self.incarnation:
            self.backlog_words -= words
            self.loads.record(self.load)

    async def _sleep(self, seconds: float, incarnation: str) -> None:
        await asyncio.sleep(seconds * self.faults.slowdown)
        while self.faults.is_paused:
            await asyncio.sleep(self.speed.token_s)
        self._check_alive(incarnation)

    def _check_alive(self, incarnation: str) -> None:
        if incarnation != self.incarnation or self.faults.is_dead:
            raise EngineCrashed(f'{self.vm_id} crashed')


def _check_generation(status: EngineStatus, request: GenerationRequest) -> None:
    may_run = status.ready and not status.draining
    serving = (status.group_id, status.generation, may_run)
    if serving != (request.group_id, request.generation, True):
        raise UpstreamRefused(
            f'{status.vm_id} serves {serving}: expected group '
            f'{request.group_id} generation {request.generation}',
        )


def _empty_cache(speed: EngineSpeed, clock: Clock) -> PrefixCache:
    rng = random.Random(EVENT_SEED)
    log = EventLog(clock, speed.event_lag_s, speed.event_loss, rng)
    return PrefixCache(speed.cache_blocks, log)


def _is_different_work(current: EngineOrder, order: EngineOrder) -> bool:
    return (current.model, current.model_version) != (
        order.model,
        order.model_version,
    ) or (current.group_id, current.generation) != (
        order.group_id,
        order.generation,
    )
