"""Isolated runs of suspect content and refusal of quarantined content."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import (
    AsyncExitStack,
    ExitStack,
    asynccontextmanager,
    contextmanager,
)
from dataclasses import dataclass, field

from loguru import logger

from ..errors import Ran, RudderError
from ..process.clock import Clock
from ..process.engines import EngineClient
from ..process.evidence import holds_order
from ..process.groups import GroupRecord, Member
from ..process.metrics import Metrics
from .permits import (
    NoPeers,
    PermitOutcome,
    PermitTable,
    SuspectPeers,
    SuspectRun,
)
from .suspects import Strike, SuspectRegistry

CHECK_TIMEOUT_S = 1
RENEWAL_S = 1
SUSPECT_WAIT_S = 60
SUSPECT_POLL_S = 0.1


class RequestQuarantined(RudderError):
    """The content crashed replicas and is refused until a time limit."""

    code = 'request_quarantined'
    status = 422
    ran = Ran.NO
    default_remedy = (
        'do not repeat this request before Retry-After; an operator can '
        'clear its content'
    )


class SuspectMustWait(RudderError):
    """No replica was free for the isolated run of a suspect request."""

    code = 'suspect_must_wait'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat after the time in Retry-After'


@dataclass(slots=True)
class Isolation:
    """Runs suspect contents on separate replicas, one content on each."""

    clock: Clock
    engines: EngineClient
    metrics: Metrics
    registry: SuspectRegistry = field(init=False)
    permits: PermitTable = field(init=False)
    peers: SuspectPeers = field(init=False)
    loss_checks_by_key: dict[tuple[str, int], asyncio.Task[bool]] = field(
        default_factory=dict,
    )

    def __post_init__(self) -> None:
        """Start without peers."""
        self.registry = SuspectRegistry(self.clock)
        self.permits = PermitTable(self.clock)
        self.peers = NoPeers(self.permits)

    def admit(self, fingerprint: str) -> None:
        """Return unless the content is in quarantine.

        Raises
        ======
        RequestQuarantined
            The content is in quarantine because it crashed replicas.
        """
        remaining_s = self.registry.quarantined_for_s(fingerprint)
        if remaining_s <= 0:
            return
        self.metrics.count('quarantined_requests')
        raise RequestQuarantined(
            f'content {fingerprint} crashed the replicas that ran it',
            retry_after=remaining_s,
        )

    async def request_permit(self, wish: SuspectRun) -> PermitOutcome:
        """Request a permit for an isolated run from the peers.

        Raises
        ======
        RequestQuarantined
            The content was put into quarantine in the meantime.
        """
        strikes = self.registry.strikes_of((wish.fingerprint,))
        running = await self.peers.report_strikes(self.registry, strikes)
        self.admit(wish.fingerprint)
        if wish.fingerprint in running:
            return PermitOutcome.REQUEST_RUNS
        return await self.peers.request_permit(wish)

    @asynccontextmanager
    async def hold_permit(self, wish: SuspectRun) -> AsyncIterator[None]:
        """Renew a permit while the context is open, then release it."""
        self.metrics.count('isolated_runs')
        renewal = asyncio.create_task(self._renew(wish))
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self.peers.release_permit, wish)
            stack.callback(renewal.cancel)
            yield

    @contextmanager
    def running(self, fingerprint: str) -> Iterator[None]:
        """Count a content as running while the context is open."""
        self.registry.running[fingerprint] += 1
        with ExitStack() as stack:
            stack.callback(self.registry.end_run, fingerprint)
            yield

    async def note_loss(
        self,
        fingerprint: str,
        group: GroupRecord,
        position: int,
        *,
        is_isolated: bool,
    ) -> None:
        """Record a strike if the replica was lost, and report it to peers."""
        if not await self._is_lost(group):
            return
        loss = self.registry.note_loss(group)
        strike = Strike(fingerprint, loss, position, is_isolated)
        self.registry.strike(strike)
        self.metrics.count('strikes', isolated=str(is_isolated).lower())
        await self.peers.report_strikes(self.registry, [strike])
        if self.registry.quarantined_for_s(fingerprint) > 0:
            logger.warning('content {} was put into quarantine', fingerprint)

    async def note_complete(self, fingerprint: str) -> None:
        """Clear a content whose answer is complete."""
        if self.registry.clear(fingerprint, self.clock.monotonic()):
            self.metrics.count('cleared_suspects')
            await self.peers.report_cleared(fingerprint)

    async def clear(self, fingerprint: str) -> bool:
        """Clear a content on all entries, at an operator's request."""
        was_known = self.registry.clear(fingerprint, self.clock.monotonic())
        await self.peers.report_cleared(fingerprint)
        logger.info('content {} was cleared by an operator', fingerprint)
        return was_known

    async def is_healthy(self, group: GroupRecord) -> bool:
        """Return whether all members respond and still hold their order."""
        healthy = await asyncio.gather(
            *(
                self._is_member_healthy(group, member)
                for member in group.members
            ),
        )
        return all(healthy)

    async def step(self) -> None:
        """Expire old strikes; send those in quarantine to a random peer."""
        self.registry.expire()
        quarantined = self.registry.quarantined()
        if quarantined:
            await self.peers.report_strikes_to_one(self.registry, quarantined)

    async def _renew(self, wish: SuspectRun) -> None:
        while True:
            await asyncio.sleep(RENEWAL_S)
            await self.peers.request_permit(wish)

    async def _is_lost(self, group: GroupRecord) -> bool:
        # All requests that ran on a replica share one check of it.
        key = (group.group_id, group.generation)
        if key in self.registry.losses_by_key:
            return True
        check = self.loss_checks_by_key.get(key)
        if check is None:
            check = asyncio.create_task(self._check_loss(group))
            self.loss_checks_by_key[key] = check
            check.add_done_callback(
                lambda _: self.loss_checks_by_key.pop(key, None),
            )
        return await asyncio.shield(check)

    async def _check_loss(self, group: GroupRecord) -> bool:
        return not await self.is_healthy(group)

    async def _is_member_healthy(
        self,
        group: GroupRecord,
        member: Member,
    ) -> bool:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                status = await self.engines.status(member.address)
        except (RudderError, TimeoutError):
            return False
        return holds_order(status, group, member)
