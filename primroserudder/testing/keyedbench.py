"""Entries that serve keyed requests, with fakes that inject faults."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..errors import Ran, RudderError
from ..process.clock import LoopClock
from ..process.engines import UpstreamLost, UpstreamUnreachable
from ..process.invariants import Invariants
from ..process.keysweep import KeyEpochs
from ..process.metrics import Metrics
from ..request.answer import AnswerHead, Sink
from ..request.dispatch import DispatchRecord
from ..request.keybatch import BatchWriter
from ..request.keyed import KeyedRequests
from ..request.keyerrors import KeyOwnerUnreachable
from ..request.keymemory import KeyMemory
from ..request.keyrecord import KeyOwner
from ..request.keyrouting import KeyRouting
from ..request.keystore import KeyStore
from ..request.mintedkey import MintedKey, Minter
from ..request.servicecall import ServiceCall
from ..standins.memory import MemoryPlatform
from .remoteplatform import RemotePlatform


@dataclass(slots=True)
class RecordingUpstream:
    """Counts the runs of each request and injects faults.

    Explanation
    ===========
    The body of a call is ``outcome:seconds:text``, where the outcome is
    ``ok``, ``lost`` or ``unreachable``.
    """

    runs_by_call: Counter[tuple[str, str]] = field(default_factory=Counter)
    requests_run: set[str] = field(default_factory=set)

    async def run(
        self,
        call: ServiceCall,
        dispatch: DispatchRecord,
        sink: Sink,
    ) -> None:
        """Run one call."""
        outcome, seconds, _ = call.body.decode().split(':')
        dispatch.open(1)
        if outcome == 'unreachable':
            dispatch.note_not_run(1)
            raise UpstreamUnreachable('no connection')
        dispatch.note_sent(1)
        self.runs_by_call[call.workspace, call.key] += 1
        self.requests_run.add(call.request_id)
        await asyncio.sleep(float(seconds))
        if outcome == 'lost':
            raise UpstreamLost('the connection broke')
        dispatch.note_answer()
        await sink.begin(AnswerHead(200, {}))
        await sink.send(answer_to(call.workspace, call.key, call.body))


def answer_to(workspace: str, key: str, body: bytes) -> bytes:
    """Return the answer that a request is expected to get."""
    return b'|'.join((workspace.encode(), key.encode(), body))


@dataclass(slots=True)
class Heard:
    """The answer or error that one caller received."""

    parts: list[bytes] = field(default_factory=list)
    error: RudderError | None = None

    async def begin(self, head: AnswerHead) -> None:
        """Ignore the head."""

    async def send(self, part: bytes) -> None:
        """Record a part of the body."""
        self.parts.append(part)

    @property
    def code(self) -> str:
        """Return the error's code, or ``ok``."""
        return 'ok' if self.error is None else self.error.code

    @property
    def says_not_run(self) -> bool:
        """Return whether the error states that nothing ran."""
        return self.error is not None and self.error.ran is Ran.NO


@dataclass(slots=True)
class BenchEntry:
    """The process of one entry; a restart creates a new object."""

    bench: 'KeyedBench'
    node_id: str
    incarnation: str
    gate: asyncio.Event = field(default_factory=asyncio.Event)
    metrics: Metrics = field(default_factory=Metrics)
    routing: KeyRouting = field(init=False)
    callers: set['asyncio.Task[None]'] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Connect the components as an entry does."""
        self.gate.set()
        clock = LoopClock()
        seen = self.bench.platform.seen_by(self.node_id)
        platform = RemotePlatform(seen, self.gate)
        writer = BatchWriter(platform, self.metrics)
        requests = KeyedRequests(
            owner=KeyOwner(self.node_id, self.incarnation),
            executor=self,
            store=KeyStore(platform, writer, self.metrics),
            memory=KeyMemory(clock),
            minter=Minter(
                'secret',
                self.node_id,
                self.incarnation,
                self.incarnation,
                clock,
            ),
            clock=clock,
            metrics=self.metrics,
            invariants=Invariants(self.metrics),
            is_owner_alive=self.bench.is_owner_alive,
            current_epoch=KeyEpochs(platform, clock).current,
        )
        self.routing = KeyRouting(requests, self)

    async def execute(
        self,
        call: ServiceCall,
        dispatch: DispatchRecord,
        sink: Sink,
    ) -> None:
        """Run a call at the upstream, unless this process is paused."""
        await self.gate.wait()
        await self.bench.upstream.run(call, dispatch, sink)

    async def forward(
        self,
        key: MintedKey,
        call: ServiceCall,
        sink: Sink,
    ) -> None:
        """Forward a call to the entry that minted its key."""
        peer = self.bench.entries_by_id.get(key.node_id)
        if peer is None or self.bench.is_network_cut:
            raise KeyOwnerUnreachable('the peer gave no answer')
        await peer.gate.wait()
        await peer.routing.serve_forwarded(call, sink)
        if self.bench.is_network_cut:
            raise KeyOwnerUnreachable('the answer was lost')

    def kill(self) -> None:
        """End the process; writes that it has sent still complete."""
        requests = self.routing.requests
        for task in (*self.callers, *requests.tasks, *requests.store.tasks):
            task.cancel()


@dataclass(slots=True)
class KeyedBench:
    """Several entries, one platform and one upstream."""

    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    upstream: RecordingUpstream = field(default_factory=RecordingUpstream)
    entries_by_id: dict[str, BenchEntry] = field(default_factory=dict)
    is_network_cut: bool = False
    dead: list[BenchEntry] = field(default_factory=list)
    numbers: 'itertools.count[int]' = field(default_factory=itertools.count)

    def start_entry(self, node_id: str) -> BenchEntry:
        """Start an entry and kill its predecessor, if there is one."""
        former = self.entries_by_id.get(node_id)
        if former is not None:
            former.kill()
            # The reference keeps its in-flight writes from collection.
            self.dead.append(former)
        incarnation = f'{node_id}#{next(self.numbers)}'
        entry = BenchEntry(self, node_id, incarnation)
        self.entries_by_id[node_id] = entry
        return entry

    def is_owner_alive(self, owner: KeyOwner) -> bool:
        """Return whether an incarnation runs."""
        entry = self.entries_by_id.get(owner.node_id)
        return entry is not None and entry.incarnation == owner.incarnation

    def call(
        self,
        key: str,
        body: bytes = b'ok:0:text',
        workspace: str = 'yard',
    ) -> ServiceCall:
        """Return a call under a key."""
        headers: Mapping[str, str] = {'Idempotency-Key': key}
        return ServiceCall(
            request_id=f'req-{next(self.numbers)}',
            workspace=workspace,
            method='POST',
            target='/services/refunds/run',
            headers=headers,
            body=body,
            arrived_at=0,
            created=0,
        )

    def send(
        self,
        entry: BenchEntry,
        call: ServiceCall,
        then: Callable[[Heard], None],
    ) -> 'asyncio.Task[None]':
        """Send a call to an entry and pass the result to ``then``."""
        sending = self._send(entry, call, then)
        task = asyncio.get_running_loop().create_task(sending)
        entry.callers.add(task)
        task.add_done_callback(entry.callers.discard)
        return task

    async def ask(self, entry: BenchEntry, call: ServiceCall) -> Heard:
        """Send a call and return its result."""
        heard: list[Heard] = []
        await self.send(entry, call, heard.append)
        return heard[0]

    async def _send(
        self,
        entry: BenchEntry,
        call: ServiceCall,
        then: Callable[[Heard], None],
    ) -> None:
        heard = Heard()
        try:
            await entry.routing.serve(call, heard)
        except RudderError as error:
            heard.error = error
        then(heard)
