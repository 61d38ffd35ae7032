"""Serves one request by one or more attempts."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from ..errors import RudderError
from ..process.clock import Clock
from ..process.engines import (
    EngineAnswer,
    EngineCall,
    EngineClient,
    UpstreamLost,
    UpstreamRefused,
    UpstreamUnreachable,
)
from ..process.groups import GroupRecord
from ..process.metrics import Metrics
from .caller import CallerRequest
from .flight import no_progress
from .passage import Passage
from .relay import Send, StreamRelay
from .retries import RetryBudget
from .routing import Router

MAX_ATTEMPTS = 4


@dataclass(slots=True)
class Server:
    """Serves requests; it lives as long as the process."""

    router: Router
    engines: EngineClient
    clock: Clock
    metrics: Metrics
    retries: RetryBudget = field(default_factory=RetryBudget)

    async def stream(
        self,
        request: CallerRequest,
        passage: Passage,
        send: Send,
    ) -> None:
        """Relay a streamed answer, resuming it after a loss.

        Raises
        ======
        RudderError
            The answer could not be completed.
        """
        relay = StreamRelay(send)
        run = _Run(self, request, passage, lambda: relay.position)
        while not relay.is_complete:
            try:
                async with run.attempt(relay.position) as answer:
                    await relay.run(answer)
            except (UpstreamLost, UpstreamRefused, UpstreamUnreachable) as lost:
                run.decide_retry(lost)

    async def whole(
        self,
        request: CallerRequest,
        passage: Passage,
    ) -> bytes:
        """Return the whole answer to a request that is not streamed."""
        run = _Run(self, request, passage)
        while True:
            try:
                async with run.attempt(0) as answer:
                    return b''.join([part async for part in answer.chunks()])
            except (UpstreamLost, UpstreamRefused, UpstreamUnreachable) as lost:
                run.decide_retry(lost)


@dataclass(slots=True)
class _Run:
    """The attempts of one request."""

    server: Server
    request: CallerRequest
    passage: Passage
    progress: Callable[[], int] = no_progress
    attempts: int = 0
    tried: set[str] = field(default_factory=set)

    @asynccontextmanager
    async def attempt(self, position: int) -> AsyncIterator[EngineAnswer]:
        """Open the next attempt at a group chosen for it."""
        group = self.server.router.choose(self.request, self.tried)
        self.attempts += 1
        self.tried.add(group.group_id)
        with self.server.router.dispatched(self.request, group) as flight:
            flight.progress = self.progress
            async with self._open(group, position) as answer:
                flight.note_answer(answer.headers)
                yield answer
        self.server.retries.note_success()

    def decide_retry(self, lost: RudderError) -> None:
        """Return if another attempt is allowed, else raise the error."""
        if isinstance(lost, UpstreamRefused | UpstreamUnreachable):
            self.passage.take_back(self.attempts)
        may_repeat = (
            self.request.is_idempotent or not self.passage.open_attempts
        )
        is_late = self.server.clock.monotonic() >= self.request.deadline
        if not may_repeat or is_late or self.attempts >= MAX_ATTEMPTS:
            raise lost
        if not self.server.retries.take():
            self.server.metrics.count('retries_refused', code=lost.code)
            raise lost
        self.server.metrics.count('retries', code=lost.code)

    @asynccontextmanager
    async def _open(
        self,
        group: GroupRecord,
        position: int,
    ) -> AsyncIterator[EngineAnswer]:
        self.passage.open(self.attempts)
        call = self._call(group, position)
        leader = group.leader.address
        async with self.server.engines.generate(leader, call) as answer:
            self.passage.note_answer()
            yield answer

    def _call(self, group: GroupRecord, position: int) -> EngineCall:
        request = self.request
        return EngineCall(
            request_id=request.request_id,
            attempt=self.attempts,
            group_id=group.group_id,
            generation=group.generation,
            path=request.path,
            body=request.body,
            created=request.created,
            priority=request.priority,
            deadline=request.deadline - self.server.clock.monotonic(),
            resume_from=position,
        )
