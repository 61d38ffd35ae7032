"""A server with fake engines that crash, pause and restart."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field, replace

import orjson

from ..process.clock import LoopClock
from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory, GroupRecord
from ..process.invariants import Invariants
from ..process.metrics import Metrics
from ..request.attempts import Server
from ..request.dispatch import DispatchRecord
from ..request.relay import Send
from ..request.routing import Router
from ..request.watchdog import WATCH_INTERVAL_S
from . import builders
from .fakes import FakeEngines, group_of_engines

PROBE_S = 0.5


@dataclass(slots=True)
class ReceivedEvents:
    """The events that a caller received."""

    parts: list[bytes] = field(default_factory=list)

    async def send(self, events: bytes) -> None:
        """Accept events without delay."""
        self.parts.append(events)


@dataclass(slots=True)
class ServerHarness:
    """Groups of fake engines, probed and watched in virtual time."""

    groups: int = 2
    clock: LoopClock = field(default_factory=LoopClock)
    engines: FakeEngines = field(default_factory=FakeEngines)
    directory: GroupDirectory = field(default_factory=GroupDirectory)
    metrics: Metrics = field(default_factory=Metrics)
    book: EvidenceBook = field(init=False)
    server: Server = field(init=False)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Form the groups."""
        self.book = EvidenceBook(self.clock)
        for index in range(self.groups):
            self.directory.update(
                group_of_engines(self.engines, self.clock, index),
            )
        router = Router(
            builders.DOMAIN,
            self.directory,
            self.book,
            random.Random(1),
        )
        self.server = Server(router, self.engines, self.clock, self.metrics)

    async def __aenter__(self) -> 'ServerHarness':
        """Start the probe and watchdog tasks."""
        self.probe()
        self.tasks = [
            asyncio.create_task(self._repeat_probe()),
            asyncio.create_task(self._repeat_watch()),
        ]
        return self

    async def __aexit__(self, *failure: object) -> None:
        """Stop the tasks."""
        for task in self.tasks:
            task.cancel()

    def probe(self) -> None:
        """Record the status of every engine that answers."""
        for engine in self.engines.by_address.values():
            if not engine.faults.is_dead and not engine.faults.is_paused:
                self.book.note(engine.status(), self.clock.monotonic())

    def running(self) -> list[GroupRecord]:
        """Return the groups whose leaders run a request."""
        return [
            group
            for group in self.directory.by_id.values()
            if self.engines.by_address[group.leader.address].running
        ]

    def crash(self, group: GroupRecord) -> None:
        """Crash all engines of a group."""
        for member in group.members:
            self.engines.by_address[member.address].crash()

    def restore(self, group: GroupRecord) -> None:
        """Form a new generation of a group on its restarted engines."""
        engines = [
            self.engines.by_address[member.address] for member in group.members
        ]
        new_group = replace(
            group,
            generation=group.generation + 1,
            members=[
                replace(member, incarnation=engine.incarnation)
                for member, engine in zip(group.members, engines, strict=True)
            ],
        )
        self.directory.update(new_group)
        for rank, engine in enumerate(engines):
            fencing = new_group.generation
            engine.apply_order(builders.order(new_group, rank, fencing))
            engine.ready_at = self.clock.monotonic()
        self.probe()

    async def ask(
        self,
        prompt: str = 'p',
        tokens: int = 20,
        send: Send | None = None,
        **changes: object,
    ) -> bytes:
        """Return the answer to a request, which is streamed by default."""
        is_streamed = changes.setdefault('is_streamed', True)
        body = {
            'prompt': prompt,
            'seed': 1,
            'max_tokens': tokens,
            'stream': is_streamed,
        }
        request = builders.caller_request(
            body=orjson.dumps(body),
            prompt=prompt,
            **changes,
        )
        dispatch = DispatchRecord(Invariants(self.metrics), request.request_id)
        if not is_streamed:
            return await self.server.complete(request, dispatch)
        received = ReceivedEvents()
        await self.server.stream(request, dispatch, send or received.send)
        return b''.join(received.parts)

    async def _repeat_probe(self) -> None:
        for _ in itertools.count():
            self.probe()
            await asyncio.sleep(PROBE_S)

    async def _repeat_watch(self) -> None:
        for _ in itertools.count():
            await self.server.watchdog.step()
            await asyncio.sleep(WATCH_INTERVAL_S)
