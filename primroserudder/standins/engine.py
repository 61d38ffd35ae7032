"""A model engine without a model, on virtual or real time.

Explanation
===========
The tokens are a function of prompt and seed, so that a request that is
repeated or resumed elsewhere gets the same ones. Batching is continuous: a
request waits for a slot by priority, is prefilled at a cost that the prefix
cache lowers, and then gives one token each interval.
"""

import asyncio
import heapq
import itertools
from collections import OrderedDict
from collections.abc import AsyncGenerator, AsyncIterator, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

import xxhash

from ..process.clock import Clock
from ..process.engines import (
    CacheEvent,
    EngineLoad,
    EngineOrder,
    EngineStatus,
    OrderRefused,
    UpstreamLost,
    UpstreamRefused,
)
from .faults import EngineFaults

WORDS = (
    'charcoal', 'kiln', 'sack', 'burn', 'grade', 'yard', 'smoke', 'ember',
    'batch', 'log', 'truck', 'jar', 'gate', 'lane', 'depot', 'note',
)  # fmt: skip
BLOCK_WORDS = 16


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """How fast an engine is; times in seconds."""

    load_s: float = 0.2
    prefill_word_s: float = 0.0001
    token_s: float = 0.01
    slots: int = 32
    cache_blocks: int = 4096
    load_report_lag_s: float = 0.5
    event_lag_s: float = 1
    event_loss: float = 0


@dataclass(frozen=True, slots=True)
class Generation:
    """What one attempt asks an engine to generate."""

    request_id: str
    attempt: int
    group_id: str
    generation: int
    prompt: str
    seed: int
    max_tokens: int
    priority: int = 0
    resume_from: int = 0


@dataclass(slots=True)
class PrefixCache:
    """Prompt blocks that an engine has cached, oldest first."""

    capacity: int
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: list[CacheEvent] = field(default_factory=list)

    def uncached_words(self, prompt: str) -> int:
        """Return how many words of a prompt must be prefilled; cache them."""
        words = prompt.split()
        names = block_names(words)
        hits = sum(
            1 for _ in itertools.takewhile(self.blocks.__contains__, names)
        )
        self._store(names)
        return len(words) - hits * BLOCK_WORDS

    def _store(self, names: Sequence[str]) -> None:
        stored = [name for name in names if name not in self.blocks]
        for name in names:
            self.blocks[name] = None
            self.blocks.move_to_end(name)
        surplus = max(0, len(self.blocks) - self.capacity)
        evicted = [self.blocks.popitem(last=False)[0] for _ in range(surplus)]
        if stored or evicted:
            number = len(self.events) + 1
            self.events.append(CacheEvent(number, stored, evicted))


def block_names(words: Sequence[str]) -> Sequence[str]:
    """Return the names of a prompt's whole blocks, each with its prefix."""
    digest = xxhash.xxh3_64()
    names = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = words[start : start + BLOCK_WORDS]
        digest.update('\0'.join(block).encode())
        names.append(digest.hexdigest())
    return names


def token_text(prompt: str, seed: int, position: int) -> str:
    """Return the token that stands at a position of an answer."""
    place = f'{seed}/{position}/{prompt}'
    digest = xxhash.xxh3_64_intdigest(place.encode())
    word = WORDS[digest % len(WORDS)]
    return f' {word}'


class EngineCrashed(UpstreamLost):
    """The engine's process ended while it ran the request."""

    code = 'engine_crashed'


class AttemptCancelled(UpstreamLost):
    """The request was cancelled; its answer has no clean end."""

    code = 'attempt_cancelled'


@dataclass(slots=True)
class Engine:
    """One engine; a crash replaces its incarnation and forgets all."""

    vm_id: str
    clock: Clock
    honours_fencing: bool = True
    checks_generation: bool = True
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    faults: EngineFaults = field(default_factory=EngineFaults)
    starts: int = 1
    order: EngineOrder | None = None
    ready_at: float = 0
    running: int = 0
    runs_by_request: dict[str, int] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    cache: PrefixCache = field(init=False)
    _waiting: list[tuple[int, int, asyncio.Event]] = field(
        default_factory=list,
    )
    _arrivals: int = 0

    def __post_init__(self) -> None:
        """Begin with an empty cache."""
        self.cache = PrefixCache(self.speed.cache_blocks)

    @property
    def incarnation(self) -> str:
        """Return the name of this start of the engine."""
        return f'{self.vm_id}#{self.starts}'

    def status(self) -> EngineStatus:
        """Return the engine's view of itself."""
        load = EngineLoad(
            running=self.running,
            waiting=len(self._waiting),
            slots=self.speed.slots,
        )
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

    def take_order(self, order: EngineOrder) -> EngineStatus:
        """Follow an order; the same order twice has the effect of one.

        Raises
        ======
        OrderRefused
            The engine honours fencing and the number is an old one.
        """
        held = self.order
        if held is not None and self.honours_fencing:
            if order.fencing < held.fencing:
                raise OrderRefused(
                    f'got fencing number {order.fencing}: expected at least '
                    f'{held.fencing}',
                )
        if held is None or _is_other_work(held, order):
            self.ready_at = self.clock.monotonic() + self.speed.load_s
        self.order = order
        return self.status()

    def crash(self) -> None:
        """End the process and start an empty one under the same address."""
        self.starts += 1
        self.order = None
        self.running = 0
        self.cache = PrefixCache(self.speed.cache_blocks)
        for _, _, turn in self._waiting:
            turn.set()
        self._waiting.clear()

    def cancel(self, request_id: str) -> None:
        """Stop all attempts of a request."""
        self.cancelled.add(request_id)

    async def generate(self, wanted: Generation) -> AsyncGenerator[str, None]:
        """Yield the tokens of an attempt from its position on.

        Raises
        ======
        UpstreamRefused
            The engine does not hold the group's generation; nothing ran.
        EngineCrashed
            The engine ended meanwhile.
        """
        self._check_generation(wanted)
        incarnation = self.incarnation
        await self._take_slot(wanted.priority)
        self._check_alive(incarnation)
        runs = self.runs_by_request.get(wanted.request_id, 0)
        self.runs_by_request[wanted.request_id] = runs + 1
        with ExitStack() as stack:
            stack.callback(self._end_run, incarnation)
            async for token in self._run(wanted, incarnation):
                yield token

    def _end_run(self, incarnation: str) -> None:
        if incarnation == self.incarnation:
            self._give_slot()

    async def _run(
        self,
        wanted: Generation,
        incarnation: str,
    ) -> AsyncIterator[str]:
        if self.faults.crash_on and self.faults.crash_on in wanted.prompt:
            self.crash()
        words = self.cache.uncached_words(wanted.prompt)
        await self._pass(words * self.speed.prefill_word_s, incarnation)
        for position in range(wanted.resume_from, wanted.max_tokens):
            await self._pass(self.speed.token_s, incarnation)
            if wanted.request_id in self.cancelled:
                raise AttemptCancelled(f'{wanted.request_id} was cancelled')
            yield token_text(wanted.prompt, wanted.seed, position)

    async def _pass(self, seconds: float, incarnation: str) -> None:
        await asyncio.sleep(seconds * self.faults.slowdown)
        while self.faults.is_paused:
            await asyncio.sleep(self.speed.token_s)
        self._check_alive(incarnation)

    def _check_alive(self, incarnation: str) -> None:
        if incarnation != self.incarnation or self.faults.is_dead:
            raise EngineCrashed(f'{self.vm_id} crashed')

    def _check_generation(self, wanted: Generation) -> None:
        status = self.status()
        if not self.checks_generation:
            return
        may_run = status.ready and not status.draining
        held = (status.group_id, status.generation, may_run)
        if held != (wanted.group_id, wanted.generation, True):
            raise UpstreamRefused(
                f'{self.vm_id} holds {held}: expected group '
                f'{wanted.group_id} generation {wanted.generation}',
            )

    async def _take_slot(self, priority: int) -> None:
        if self.running < self.speed.slots:
            self.running += 1
            return
        turn = asyncio.Event()
        self._arrivals += 1
        place = (-priority, self._arrivals, turn)
        heapq.heappush(self._waiting, place)
        try:
            await turn.wait()
        except asyncio.CancelledError:
            self._leave_queue(place)
            raise

    def _leave_queue(self, place: tuple[int, int, asyncio.Event]) -> None:
        if place in self._waiting:
            self._waiting.remove(place)
            heapq.heapify(self._waiting)
        else:
            self._give_slot()

    def _give_slot(self) -> None:
        if self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            turn.set()
            return
        self.running -= 1


def _is_other_work(held: EngineOrder, order: EngineOrder) -> bool:
    return (held.model, held.model_version) != (
        order.model,
        order.model_version,
    ) or (held.group_id, held.generation) != (order.group_id, order.generation)
