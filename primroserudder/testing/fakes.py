"""Fakes of the interfaces, for tests in virtual time."""

import itertools
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator, Mapping, Sequence
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, field

import orjson

from ..process.clock import Clock
from ..process.engines import (
    LOAD_HEADER,
    CacheEvent,
    ConnectionRefused,
    EngineAnswer,
    EngineCall,
    EngineOrder,
    EngineStatus,
    UpstreamUnreachable,
    load_to_header,
)
from ..process.groups import GroupRecord
from ..request.caller import prompt_text
from ..standins.engine import Engine, GenerationRequest
from ..standins.frames import STREAM_END, complete_response, token_event
from . import builders
from .network import Network


@dataclass(slots=True)
class FakeAnswer:
    """The answer of an engine in the same process."""

    body: AsyncIterator[bytes]
    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        return self.body


@dataclass(slots=True)
class FakeEngines:
    """Stand-in engines by address, reached without sockets."""

    party: str = ''
    by_address: dict[str, Engine] = field(default_factory=dict)
    network: Network | None = None
    asked_by_address: Counter[str] = field(default_factory=Counter)

    def seen_by(self, party: str) -> 'FakeEngines':
        """Return the same engines as a party reaches them."""
        return FakeEngines(
            party,
            self.by_address,
            self.network,
            self.asked_by_address,
        )

    def add(self, address: str, engine: Engine) -> Engine:
        """Add an engine."""
        self.by_address[address] = engine
        return engine

    async def status(self, address: str) -> EngineStatus:
        """Return an engine's status."""
        self.asked_by_address[address] += 1
        await self._send(address)
        status = self._reach(address).status()
        await self._reply(address)
        return status

    async def order(self, address: str, order: EngineOrder) -> EngineStatus:
        """Send an order to an engine and return its status."""
        await self._send(address)
        status = self._reach(address).apply_order(order)
        await self._reply(address)
        return status

    @asynccontextmanager
    async def generate(
        self,
        address: str,
        call: EngineCall,
    ) -> AsyncIterator[EngineAnswer]:
        """Run one attempt; wait for its first token or its refusal."""
        engine = self._reach(address)
        frames = _frames(engine, call)
        # An engine refuses a request before it sends the headers.
        first = await anext(frames, b'')
        headers = {LOAD_HEADER: load_to_header(engine.load)}
        async with aclosing(frames), aclosing(_prepend(first, frames)) as body:
            yield FakeAnswer(body, headers=headers)

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request."""
        self._reach(address).cancel(request_id)

    async def cache_events(
        self,
        address: str,
        after: int,
    ) -> Sequence[CacheEvent]:
        """Return the cache events after a sequence number."""
        return self._reach(address).cache.events.after(after)

    async def export_cache(self, address: str, request_id: str) -> bytes:
        """Return the KV cache of a request."""
        self._reach(address)
        return request_id.encode()

    async def import_cache(
        self,
        address: str,
        request_id: str,
        cache: bytes,
    ) -> None:
        """Send the KV cache of a request to an engine."""
        self._reach(address)

    async def _send(self, address: str) -> None:
        if self.network is not None:
            await self.network.carry(self.party, address)

    async def _reply(self, address: str) -> None:
        if self.network is not None:
            await self.network.carry(address, self.party)
            await self.network.resume(self.party)

    def _reach(self, address: str) -> Engine:
        engine = self.by_address.get(address)
        if engine is None or engine.faults.is_dead:
            raise ConnectionRefused(f'{address}: the engine is not running')
        if self.party in engine.faults.cut_parties:
            raise UpstreamUnreachable(f'{address}: the engine is cut off')
        return engine


def group_of_engines(
    engines: FakeEngines,
    clock: Clock,
    index: int = 0,
    size: int = 2,
) -> GroupRecord:
    """Return a serving group; add its ready engines."""
    group = builders.group(index, size)
    for rank, member in enumerate(group.members):
        engine = engines.add(member.address, Engine(member.vm_id, clock))
        engine.apply_order(builders.order(group, rank))
        engine.ready_at = clock.monotonic()
    return group


async def _prepend(
    first: bytes,
    frames: AsyncIterator[bytes],
) -> AsyncGenerator[bytes, None]:
    yield first
    async for frame in frames:
        yield frame


async def _frames(
    engine: Engine, call: EngineCall
) -> AsyncGenerator[bytes, None]:
    body = orjson.loads(call.body)
    generation = GenerationRequest(
        request_id=call.request_id,
        attempt=call.attempt,
        group_id=call.group_id,
        generation=call.generation,
        prompt=prompt_text(body),
        seed=body['seed'],
        max_tokens=body['max_tokens'],
        priority=call.priority,
        resume_from=call.resume_from,
    )
    tokens = engine.generate(generation)
    if not body.get('stream'):
        texts = [text async for text in tokens]
        yield complete_response(call.path, call.request_id, 0, 'm', 0, texts)
        return
    positions = itertools.count(call.resume_from)
    async with aclosing(tokens):
        async for text in tokens:
            yield token_event(
                call.path,
                call.request_id,
                0,
                'm',
                next(positions),
                text,
            )
    yield STREAM_END
