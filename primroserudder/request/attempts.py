"""Serves one request by one or more attempts."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
    suppress,
)
from dataclasses import dataclass, field
from typing import TypeVar

import orjson

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
from .dispatch import DispatchRecord
from .fingerprint import fingerprint
from .isolation import (
    SUSPECT_POLL_S,
    SUSPECT_WAIT_S,
    Isolation,
    SuspectMustWait,
)
from .permits import PermitOutcome, PermitWish
from .relay import Send, StreamRelay
from .retries import RetryBudget
from .routing import NoGroupServes, Router
from .watchdog import AttemptWatchdog

MAX_RUNS = 8
MAX_REFUSALS_BEFORE_RUN = 8
# A request that was lost waits this long for a group that can take over.
TAKEOVER_WAIT_S = 10
TAKEOVER_POLL_S = 0.1
_Used = TypeVar('_Used')
LOSSES = (UpstreamLost, UpstreamRefused, UpstreamUnreachable)


@dataclass(slots=True)
class Server:
    """Serves requests; it lives as long as the process."""

    router: Router
    engines: EngineClient
    clock: Clock
    metrics: Metrics
    retries: RetryBudget = field(default_factory=RetryBudget)
    watchdog: AttemptWatchdog = field(init=False)
    isolation: Isolation = field(init=False)

    def __post_init__(self) -> None:
        """Watch the attempts by the evidence that the router uses."""
        self.watchdog = AttemptWatchdog(
            self.clock,
            self.router.evidence,
            self.metrics,
        )
        self.isolation = Isolation(self.clock, self.engines, self.metrics)

    async def stream(
        self,
        request: CallerRequest,
        dispatch: DispatchRecord,
        send: Send,
    ) -> None:
        """Relay a streamed answer, resuming it after a loss.

        Raises
        ======
        RudderError
            The answer could not be completed.
        """
        relay = StreamRelay(send)
        run = _Run(self, request, dispatch, relay)
        async with run.permits:
            while not relay.is_complete:
                await run.try_once(relay.run)
            await self.isolation.note_complete(run.fingerprint)

    async def complete(
        self,
        request: CallerRequest,
        dispatch: DispatchRecord,
    ) -> bytes:
        """Return the whole answer to a request that is not streamed."""
        run = _Run(self, request, dispatch, StreamRelay(_refuse_events))
        body = None
        async with run.permits:
            while body is None:
                body = await run.try_once(_whole_body)
            await self.isolation.note_complete(run.fingerprint)
        return body


@dataclass(slots=True)
class _Run:
    """The attempts of one request."""

    server: Server
    request: CallerRequest
    dispatch: DispatchRecord
    relay: StreamRelay
    model_version: str = ''
    attempts: int = 0
    losses: int = 0
    lost_at: float = 0
    tried: set[str] = field(default_factory=set)
    permits: AsyncExitStack = field(default_factory=AsyncExitStack)
    is_isolated: bool = False
    fingerprint: str = field(init=False)
    group: GroupRecord = field(init=False)

    def __post_init__(self) -> None:
        """Recognise the request by its content."""
        self.fingerprint = fingerprint(self.request)

    async def try_once(
        self,
        use: Callable[[EngineAnswer], Awaitable[_Used]],
    ) -> _Used | None:
        """Use the answer of one attempt, or return if another may follow."""
        try:
            async with self.attempt() as answer:
                return await use(answer)
        except LOSSES as lost:
            await self.decide_retry(lost)
        return None

    @asynccontextmanager
    async def attempt(self) -> AsyncIterator[EngineAnswer]:
        """Open the next attempt at a group chosen for it."""
        self.server.isolation.admit(self.fingerprint)
        # A permit is given back only now, when a loss has been told.
        await self.permits.aclose()
        group = await self._isolate(await self._choose())
        self.attempts += 1
        self.group = group
        self.tried.add(group.group_id)
        if not self.relay.position:
            self.model_version = group.model_version
        with self.server.router.dispatched(self.request, group) as in_flight:
            in_flight.progress = self._position
            with self.server.isolation.running(self.fingerprint):
                async with self._watched(group), self._open(group) as answer:
                    in_flight.note_answer(answer.headers)
                    yield answer
        self.server.retries.note_success()

    async def decide_retry(self, lost: RudderError) -> None:
        """Return if another attempt is allowed, else raise the error."""
        if isinstance(lost, UpstreamRefused | UpstreamUnreachable):
            self.dispatch.note_not_run(self.attempts)
        else:
            await self._note_loss()
        may_repeat = (
            self.request.is_idempotent or not self.dispatch.open_attempts
        )
        if not may_repeat or self._has_given_up():
            raise lost
        if not self.server.retries.take():
            self.server.metrics.count('retries_refused', code=lost.code)
            raise lost
        self.server.metrics.count('retries', code=lost.code)

    async def _note_loss(self) -> None:
        isolation = self.server.isolation
        self.losses += 1
        await isolation.note_loss(
            self.fingerprint,
            self.group,
            self.relay.position,
            is_isolated=self.is_isolated,
        )
        self.lost_at = self.server.clock.monotonic()
        isolation.admit(self.fingerprint)

    async def _isolate(self, group: GroupRecord) -> GroupRecord:
        # A suspect needs a permit; all others run where they were placed.
        server = self.server
        latest = server.clock.monotonic() + SUSPECT_WAIT_S
        taken: set[str] = set()
        self.is_isolated = False
        while server.isolation.registry.is_suspect(self.fingerprint):
            outcome = await self._ask_permit(group)
            # The wait for the permit may have outlived the choice.
            if self.is_isolated and server.router.may_take(group, self.request):
                break
            await self._leave_permit(latest)
            taken.add(group.group_id)
            group = await self._choose(taken)
            if group.group_id in taken or outcome is PermitOutcome.REQUEST_RUNS:
                taken.clear()
                await asyncio.sleep(SUSPECT_POLL_S)
        return group

    async def _ask_permit(self, group: GroupRecord) -> PermitOutcome:
        isolation = self.server.isolation
        wish = PermitWish(
            self.fingerprint,
            group.group_id,
            self.request.request_id,
        )
        outcome = await isolation.ask(wish)
        if outcome is PermitOutcome.GRANTED:
            await self.permits.enter_async_context(isolation.held(wish))
            # Evidence may be older than the loss of a whole fabric domain;
            # a replica that was gone before must not count as the content's.
            self.is_isolated = await isolation.answers(group)
        return outcome

    async def _leave_permit(self, latest: float) -> None:
        self.is_isolated = False
        await self.permits.aclose()
        if self.server.clock.monotonic() > latest:
            raise SuspectMustWait(
                'found no replica free for a run in isolation',
                retry_after=SUSPECT_WAIT_S,
            )

    def _has_given_up(self) -> bool:
        now = self.server.clock.monotonic()
        if now >= self.request.deadline:
            return True
        if self.losses:
            is_late = now >= self.lost_at + TAKEOVER_WAIT_S
            return is_late or self.losses >= MAX_RUNS
        return self.attempts >= MAX_REFUSALS_BEFORE_RUN

    async def _choose(self, taken: Collection[str] = ()) -> GroupRecord:
        # The caller may hold a part of the answer, so that it is worth a
        # short wait until the groups around the lost one are whole again.
        clock = self.server.clock
        latest = self.lost_at + TAKEOVER_WAIT_S
        while self.losses and clock.monotonic() < latest:
            with suppress(NoGroupServes):
                group = self._next_group(taken)
                if group.group_id not in self.tried:
                    return group
            self.tried.clear()
            await asyncio.sleep(TAKEOVER_POLL_S)
        return self._next_group(taken)

    def _next_group(self, taken: Collection[str] = ()) -> GroupRecord:
        # An answer that has begun is continued by the same model version.
        version = self.model_version if self.relay.position else ''
        avoided = self.tried.union(taken)
        return self.server.router.choose(self.request, avoided, version)

    def _position(self) -> int:
        return self.relay.position

    def _watched(
        self,
        group: GroupRecord,
    ) -> AbstractAsyncContextManager[None]:
        return self.server.watchdog.attempt(
            group,
            self.relay,
            self.request.deadline,
            can_repeat=self.request.is_idempotent,
        )

    @asynccontextmanager
    async def _open(self, group: GroupRecord) -> AsyncIterator[EngineAnswer]:
        self.dispatch.open(self.attempts)
        call = self._call(group)
        leader = group.leader.address
        async with self.server.engines.generate(leader, call) as answer:
            self.dispatch.note_answer()
            yield answer

    def _call(self, group: GroupRecord) -> EngineCall:
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
            resume_from=self.relay.position,
        )


async def _whole_body(answer: EngineAnswer) -> bytes:
    body = b''.join([part async for part in answer.chunks()])
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError as error:
        # An answer without a declared length can end early unnoticed.
        raise UpstreamLost(f'the answer is not whole: {error}') from error
    return body


async def _refuse_events(events: bytes) -> None:
    raise UpstreamLost('got events of an answer that is not streamed')
