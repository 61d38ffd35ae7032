"""How entries tell each other of suspects and share permits."""

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
    """Answers the other entries."""

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
        """Take over what another entry saw."""
        now = self.clock.monotonic()
        self.registry.add_losses(_loss(loss, now) for loss in request.losses)
        for told in request.strikes:
            self.registry.strike(_strike(told, now))
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
        """Give a permit as the arbiter."""
        outcome = self.permits.request(_wish(request))
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
        """Take a permit back."""
        self.permits.release(_wish(request))
        return suspects_pb2.Heard()


@dataclass(slots=True)
class GrpcSuspectPeers:
    """The other entries over gRPC; those out of reach are left out.

    Explanation
    ===========
    The arbiter is the living entry that comes first by the digest of its
    name. While entries disagree on who lives, two may give permits; so may
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
        """Tell all living entries at once; return what runs at any."""
        message = self._message(registry, strikes)
        return await self._tell_all(message, self._entries().values())

    async def report_strikes_to_one(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> None:
        """Tell one entry at random, which may have started lately."""
        addresses = list(self._entries().values())
        chosen = self.rng.sample(addresses, min(1, len(addresses)))
        await self._tell_all(self._message(registry, strikes), chosen)

    async def report_cleared(self, fingerprint: str) -> None:
        """Tell all living entries that a content is cleared."""
        cleared = suspects_pb2.Cleared(fingerprint=fingerprint)
        message = suspects_pb2.Suspicions(cleared=[cleared])
        await self._tell_all(message, self._entries().values())

    async def request_permit(self, wish: SuspectRun) -> PermitOutcome:
        """Ask the first arbiter that can be reached."""
        request = _wish_to_message(wish)
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
        return self.permits.request(wish)

    async def release_permit(self, wish: SuspectRun) -> None:
        """Give a permit back wherever it may be held."""
        self.permits.release(wish)
        request = _wish_to_message(wish)
        for address in self._arbiters()[:1]:
            stub = self._stub(address)
            call = ask(stub.Release(request, timeout=PEER_TIMEOUT_S), address)
            await asyncio.gather(call, return_exceptions=True)

    def _message(
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

    async def _tell_all(
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
        heard = await asyncio.gather(*calls, return_exceptions=True)
        return {
            fingerprint
            for answer in heard
            if isinstance(answer, suspects_pb2.Heard)
            for fingerprint in answer.running
        }

    def _arbiters(self) -> list[str]:
        # Those that come before this entry; it asks itself last.
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


def _loss(told: suspects_pb2.Loss, now: float) -> Loss:
    return Loss(
        told.group_id,
        told.generation,
        told.fabric_domain,
        now - told.age_s,
    )


def _strike(told: suspects_pb2.Strike, now: float) -> Strike:
    return Strike(
        told.fingerprint,
        _loss(told.loss, now),
        told.position,
        told.isolated,
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


def _wish(request: suspects_pb2.PermitRequest) -> SuspectRun:
    return SuspectRun(request.fingerprint, request.group_id, request.runner)


def _wish_to_message(wish: SuspectRun) -> suspects_pb2.PermitRequest:
    return suspects_pb2.PermitRequest(
        fingerprint=wish.fingerprint,
        group_id=wish.group_id,
        runner=wish.runner,
    )
