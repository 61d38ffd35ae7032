"""Exchange of suspects and permits between entries over gRPC."""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash
from grpc import aio

from ..process.clock import Clock
from ..process.membership import Membership
from ..request.permits import PermitOutcome, PermitTable, SuspectRun
from ..request.suspects import Loss, Strike, SuspectRegistry
from ..wire import suspects_pb2, suspects_pb2_grpc
from .peers import PEER_TIMEOUT_S, PeerChannels, PeerUnreachable, ask

ENTRY_ROLE = 'entry'


@dataclass(slots=True)
class SuspectsService(suspects_pb2_grpc.SuspectsServicer):
    """Answers other entries' reports and permit requests."""

    clock: Clock
    registry: SuspectRegistry
    permits: PermitTable

    async def Tell(  # noqa: N802
        self,
        request: suspects_pb2.Suspicions,
        context: aio.ServicerContext[
            suspects_pb2.Suspicions,
            suspects_pb2.Heard,
        ],
    ) -> suspects_pb2.Heard:
        """Record the losses, strikes and clearances of another entry."""
        now = self.clock.monotonic()
        self.registry.add_losses(
            _loss_from_message(loss, now) for loss in request.losses
        )
        for message in request.strikes:
            self.registry.strike(_strike_from_message(message, now))
        for cleared in request.cleared:
            self.registry.clear(cleared.fingerprint, now - cleared.age_s)
        return suspects_pb2.Heard(
            running=[
                strike.fingerprint
                for strike in request.strikes
                if self.registry.running[strike.fingerprint]
            ],
        )

    async def Ask(  # noqa: N802
        self,
        request: suspects_pb2.PermitRequest,
        context: aio.ServicerContext[
            suspects_pb2.PermitRequest,
            suspects_pb2.Permit,
        ],
    ) -> suspects_pb2.Permit:
        """Decide on a permit as the arbiter."""
        outcome = self.permits.request(_run_from_message(request))
        return suspects_pb2.Permit(
            outcome=suspects_pb2.Permit.Outcome.Value(outcome.name),
        )

    async def Release(  # noqa: N802
        self,
        request: suspects_pb2.PermitRequest,
        context: aio.ServicerContext[
            suspects_pb2.PermitRequest,
            suspects_pb2.Heard,
        ],
    ) -> suspects_pb2.Heard:
        """Release a permit."""
        self.permits.release(_run_from_message(request))
        return suspects_pb2.Heard()


@dataclass(slots=True)
class GrpcSuspectPeers:
    """Calls the other entries over gRPC and skips unreachable ones.

    Explanation
    ===========
    The arbiter is the living entry whose node id has the lowest hash. While
    entries disagree on which entries are alive, two may grant permits. So may
    the two sides of a network partition.
    """

    clock: Clock
    membership: Membership
    channels: PeerChannels
    permits: PermitTable
    rng: random.Random

    async def report_strikes(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> set[str]:
        """Report to all living entries; return fingerprints that run there."""
        message = self._suspicions(registry, strikes)
        return await self._report_to(message, self._entries().values())

    async def report_strikes_to_one(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> None:
        """Report to one random entry, which may have started lately."""
        addresses = list(self._entries().values())
        sampled = self.rng.sample(addresses, min(1, len(addresses)))
        await self._report_to(self._suspicions(registry, strikes), sampled)

    async def report_cleared(self, fingerprint: str) -> None:
        """Report to all living entries that a content is cleared."""
        cleared = suspects_pb2.Cleared(fingerprint=fingerprint)
        message = suspects_pb2.Suspicions(cleared=[cleared])
        await self._report_to(message, self._entries().values())

    async def request_permit(self, run: SuspectRun) -> PermitOutcome:
        """Request a permit from the first reachable arbiter."""
        request = _run_to_message(run)
        for address in self._arbiters():
            stub = self._stub(address)
            try:
                permit = await ask(
                    stub.Ask(request, timeout=PEER_TIMEOUT_S),
                    address,
                )
            except PeerUnreachable:
                continue
            return PermitOutcome[
                suspects_pb2.Permit.Outcome.Name(permit.outcome)
            ]
        return self.permits.request(run)

    async def release_permit(self, run: SuspectRun) -> None:
        """Release a permit here and at the first arbiter."""
        self.permits.release(run)
        request = _run_to_message(run)
        for address in self._arbiters()[:1]:
            stub = self._stub(address)
            call = ask(stub.Release(request, timeout=PEER_TIMEOUT_S), address)
            await asyncio.gather(call, return_exceptions=True)

    def _suspicions(
        self,
        registry: SuspectRegistry,
        strikes: list[Strike],
    ) -> suspects_pb2.Suspicions:
        now = self.clock.monotonic()
        return suspects_pb2.Suspicions(
            strikes=[_strike_to_message(strike, now) for strike in strikes],
            losses=[
                _loss_to_message(loss, now)
                for loss in registry.losses_by_key.values()
            ],
        )

    async def _report_to(
        self,
        message: suspects_pb2.Suspicions,
        addresses: Iterable[str],
    ) -> set[str]:
        calls = [
            ask(
                self._stub(address).Tell(message, timeout=PEER_TIMEOUT_S),
                address,
            )
            for address in addresses
        ]
        replies = await asyncio.gather(*calls, return_exceptions=True)
        return {
            fingerprint
            for reply in replies
            if isinstance(reply, suspects_pb2.Heard)
            for fingerprint in reply.running
        }

    def _arbiters(self) -> list[str]:
        # The entries that rank before this one, which asks itself last.
        own = _rank(self.membership.own.node_id)
        return [
            address
            for node_id, address in _ranked(self._entries())
            if _rank(node_id) < own
        ]

    def _entries(self) -> dict[str, str]:
        return {
            peer.node.node_id: peer.node.address
            for peer in self.membership.live_peers()
            if peer.node.role == ENTRY_ROLE
        }

    def _stub(self, address: str) -> 'suspects_pb2_grpc.SuspectsAsyncStub':
        channel = self.channels.channel(address)
        return suspects_pb2_grpc.SuspectsStub(channel)


def _ranked(entries: dict[str, str]) -> Iterable[tuple[str, str]]:
    return sorted(entries.items(), key=lambda entry: _rank(entry[0]))


def _rank(node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(node_id.encode())


def _loss_from_message(message: suspects_pb2.Loss, now: float) -> Loss:
    return Loss(
        message.group_id,
        message.generation,
        message.fabric_domain,
        now - message.age_s,
    )


def _strike_from_message(message: suspects_pb2.Strike, now: float) -> Strike:
    return Strike(
        message.fingerprint,
        _loss_from_message(message.loss, now),
        message.position,
        message.isolated,
    )


def _loss_to_message(loss: Loss, now: float) -> suspects_pb2.Loss:
    return suspects_pb2.Loss(
        group_id=loss.group_id,
        generation=loss.generation,
        fabric_domain=loss.fabric_domain,
        age_s=now - loss.at,
    )


def _strike_to_message(strike: Strike, now: float) -> suspects_pb2.Strike:
    return suspects_pb2.Strike(
        fingerprint=strike.fingerprint,
        loss=_loss_to_message(strike.loss, now),
        position=strike.position,
        isolated=strike.is_isolated,
    )


def _run_from_message(request: suspects_pb2.PermitRequest) -> SuspectRun:
    return SuspectRun(request.fingerprint, request.group_id, request.runner)


def _run_to_message(run: SuspectRun) -> suspects_pb2.PermitRequest:
    return suspects_pb2.PermitRequest(
        fingerprint=run.fingerprint,
        group_id=run.group_id,
        runner=run.runner,
    )
