"""Serves a model request by one or more attempts, with failover."""

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
from .permits import PermitOutcome, SuspectRun
from .relay import Send, StreamRelay
from .retries import RetryBudget
from .routing import NoGroupServes, Router
from .watchdog import AttemptWatchdog

MAX_LOSSES = 8
MAX_REFUSED_ATTEMPTS = 8
# How long a request whose group was lost waits for another group.
TAKEOVER_WAIT_S = 10
TAKEOVER_POLL_S = 0.1
_Result = TypeVar('_Result')
RETRYABLE_ERRORS = (UpstreamLost, UpstreamRefused, UpstreamUnreachable)


@dataclass(slots=True)
class Server:
    """Serves model requests; there is one instance per process."""

    router: Router
    engines: EngineClient
    clock: Clock
    metrics: Metrics
    retries: RetryBudget = field(default_factory=RetryBudget)
    watchdog: AttemptWatchdog = field(init=False)
    isolation: Isolation = field(init=False)

    def __post_init__(self) -> None:
        """Build the watchdog on the evidence that the router uses."""
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
        """Relay a streamed answer and resume it if its group is lost.

        Raises
        ======
        RudderError
            The answer could not be completed.
        """
        relay = StreamRelay(send)
        run = _Run(self, request, dispatch, relay)
        async with run.permit_stack:
            while not relay.is_complete:
                await run.try_once(relay.run)
            await self.isolation.note_complete(run.fingerprint)

    async def complete(
        self,
        request: CallerRequest,
        dispatch: DispatchRecord,
    ) -> bytes:
        """Return the complete answer to a request that is not streamed.

        Raises
        ======
        RudderError
            The answer could not be completed.
        """
        run = _Run(self, request, dispatch, StreamRelay(_reject_events))
        body = None
        async with run.permit_stack:
            while body is None:
                body = await run.try_once(_read_json_body)
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
    tried_group_ids: set[str] = field(default_factory=set)
    permit_stack: AsyncExitStack = field(default_factory=AsyncExitStack)
    is_isolated: bool = False
    fingerprint: str = field(init=False)
    group: GroupRecord = field(init=False)

    def __post_init__(self) -> None:
        """Compute the fingerprint of the request's content."""
        self.fingerprint = fingerprint(self.request)

    async def try_once(
        self,
        consume: Callable[[EngineAnswer], Awaitable[_Result]],
    ) -> _Result | None:
        """Run one attempt; return ``None`` if it failed and may be retried."""
        try:
            async with self.attempt() as answer:
                return await consume(answer)
        except RETRYABLE_ERRORS as error:
            await self.raise_unless_retryable(error)
        return None

    @asynccontextmanager
    async def attempt(self) -> AsyncIterator[EngineAnswer]:
        """Choose a group and open the next attempt on it."""
        self.server.isolation.admit(self.fingerprint)
        # The permit of the last attempt is released only here, after the loss
        # of its group has been reported to the peers.
        await self.permit_stack.aclose()
        group = await self._isolate(await self._choose_group())
        self.attempts += 1
        self.group = group
        self.tried_group_ids.add(group.group_id)
        if not self.relay.position:
            self.model_version = group.model_version
        with self.server.router.dispatched(self.request, group) as in_flight:
            in_flight.progress = self._position
            with self.server.isolation.running(self.fingerprint):
                async with (
                    self._watched(group),
                    self._open_answer(group) as answer,
                ):
                    in_flight.note_answer(answer.headers)
                    yield answer
        self.server.retries.note_success()

    async def raise_unless_retryable(self, error: RudderError) -> None:
        """Return if another attempt is allowed, or raise the error."""
        if isinstance(error, UpstreamRefused | UpstreamUnreachable):
            self.dispatch.note_not_run(self.attempts)
        else:
            await self._note_loss()
        may_repeat = (
            self.request.is_idempotent or not self.dispatch.open_attempts
        )
        if not may_repeat or self._is_retry_limit_reached():
            raise error
        if not self.server.retries.take():
            self.server.metrics.count('retries_refused', code=error.code)
            raise error
        self.server.metrics.count('retries', code=error.code)

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
        # Suspect content needs a permit; other content runs on the group that
        # was chosen for it.
        server = self.server
        wait_until = server.clock.monotonic() + SUSPECT_WAIT_S
        busy_group_ids: set[str] = set()
        self.is_isolated = False
        while server.isolation.registry.is_suspect(self.fingerprint):
            outcome = await self._request_permit(group)
            # The group may have become unavailable during the wait for the
            # permit.
            if self.is_isolated and server.router.may_take(group, self.request):
                break
            await self._release_permit(wait_until)
            busy_group_ids.add(group.group_id)
            group = await self._choose_group(busy_group_ids)
            if (
                group.group_id in busy_group_ids
                or outcome is PermitOutcome.REQUEST_RUNS
            ):
                busy_group_ids.clear()
                await asyncio.sleep(SUSPECT_POLL_S)
        return group

    async def _request_permit(self, group: GroupRecord) -> PermitOutcome:
        isolation = self.server.isolation
        wish = SuspectRun(
            self.fingerprint,
            group.group_id,
            self.request.request_id,
        )
        outcome = await isolation.request_permit(wish)
        if outcome is PermitOutcome.GRANTED:
            await self.permit_stack.enter_async_context(
                isolation.hold_permit(wish),
            )
            # Evidence may predate the loss of a whole fabric domain. A replica
            # that was lost before the run must not be blamed on the content.
            self.is_isolated = await isolation.is_healthy(group)
        return outcome

    async def _release_permit(self, wait_until: float) -> None:
        self.is_isolated = False
        await self.permit_stack.aclose()
        if self.server.clock.monotonic() > wait_until:
            raise SuspectMustWait(
                'no replica became free for an isolated run',
                retry_after=SUSPECT_WAIT_S,
            )

    def _is_retry_limit_reached(self) -> bool:
        now = self.server.clock.monotonic()
        if now >= self.request.deadline:
            return True
        if self.losses:
            is_takeover_late = now >= self.lost_at + TAKEOVER_WAIT_S
            return is_takeover_late or self.losses >= MAX_LOSSES
        return self.attempts >= MAX_REFUSED_ATTEMPTS

    async def _choose_group(
        self,
        busy_group_ids: Collection[str] = (),
    ) -> GroupRecord:
        # The caller may already have a part of the answer, so wait a short
        # time for another group to become whole again.
        clock = self.server.clock
        wait_until = self.lost_at + TAKEOVER_WAIT_S
        while self.losses and clock.monotonic() < wait_until:
            with suppress(NoGroupServes):
                group = self._next_group(busy_group_ids)
                if group.group_id not in self.tried_group_ids:
                    return group
            self.tried_group_ids.clear()
            await asyncio.sleep(TAKEOVER_POLL_S)
        return self._next_group(busy_group_ids)

    def _next_group(self, busy_group_ids: Collection[str] = ()) -> GroupRecord:
        # An answer that has begun must continue on the same model version.
        version = self.model_version if self.relay.position else ''
        avoided = self.tried_group_ids.union(busy_group_ids)
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
            is_idempotent=self.request.is_idempotent,
        )

    @asynccontextmanager
    async def _open_answer(
        self,
        group: GroupRecord,
    ) -> AsyncIterator[EngineAnswer]:
        self.dispatch.open(self.attempts)
        call = self._engine_call(group)
        leader = group.leader.address
        async with self.server.engines.generate(leader, call) as answer:
            self.dispatch.note_answer()
            yield answer

    def _engine_call(self, group: GroupRecord) -> EngineCall:
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


async def _read_json_body(answer: EngineAnswer) -> bytes:
    body = b''.join([part async for part in answer.chunks()])
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError as error:
        # Truncation of an answer without a declared length is not detected
        # by the transport.
        raise UpstreamLost(
            f'the answer is not complete JSON: {error}',
        ) from error
    return body


async def _reject_events(events: bytes) -> None:
    raise UpstreamLost(
        'upstream sent events for a request that is not streamed',
    )
