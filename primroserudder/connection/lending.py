"""Entries lend each other parts of limits over gRPC."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from grpc import aio

from ..errors import RudderError
from ..process.clock import Clock
from ..process.membership import Membership
from ..process.metrics import Metrics
from ..request.limitshares import LimitAmount, LimitKey, LimitKind, LimitShares
from ..wire import limits_pb2, limits_pb2_grpc
from .peers import PEER_TIMEOUT_S, PeerChannels, ask

LENDERS_PER_STEP = 2
MAX_PARTS = 64


def parts_to_messages(asks: Iterable[LimitAmount]) -> Sequence[limits_pb2.Part]:
    """Return parts of limits as messages."""
    return [
        limits_pb2.Part(
            workspace=part.key.workspace,
            service=part.key.service,
            kind=part.key.kind.value,
            amount=part.amount,
        )
        for part in asks
    ]


def parts_from_messages(
    parts: Iterable[limits_pb2.Part],
) -> Sequence[LimitAmount]:
    """Return the parts of limits that messages describe."""
    return [
        LimitAmount(
            LimitKey(part.workspace, part.service, LimitKind(part.kind)),
            part.amount,
        )
        for part in parts
        if part.amount > 0
    ]


@dataclass(slots=True)
class LendingService(limits_pb2_grpc.LendingServicer):
    """Lends to peers what this entry can spare."""

    allotments: LimitShares
    clock: Clock

    async def Borrow(  # noqa: N802
        self,
        request: limits_pb2.BorrowRequest,
        context: aio.ServicerContext[
            limits_pb2.BorrowRequest,
            limits_pb2.BorrowReply,
        ],
    ) -> limits_pb2.BorrowReply:
        """Grant what can be spared."""
        asks = parts_from_messages(request.wanted[:MAX_PARTS])
        lent = self.allotments.lend(asks, self.clock.monotonic())
        return limits_pb2.BorrowReply(lent=parts_to_messages(lent))


@dataclass(slots=True)
class Borrower:
    """Asks a few living entries, at random, for what this one lacks."""

    allotments: LimitShares
    membership: Membership
    channels: PeerChannels
    clock: Clock
    metrics: Metrics
    rng: random.Random

    async def step(self) -> None:
        """Ask once if anything is lacking."""
        addresses = [
            peer.node.address
            for peer in self.membership.live_peers()
            if peer.node.role == 'entry'
        ]
        count = min(LENDERS_PER_STEP, len(addresses))
        for address in self.rng.sample(addresses, count):
            needs = self.allotments.unmet_demand(self.clock.monotonic())
            if needs:
                await self._borrow(address, needs[:MAX_PARTS])

    async def _borrow(self, address: str, needs: Sequence[LimitAmount]) -> None:
        stub = limits_pb2_grpc.LendingStub(self.channels.channel(address))
        wanted = limits_pb2.BorrowRequest(wanted=parts_to_messages(needs))
        asked_at = self.clock.monotonic()
        call = stub.Borrow(wanted, timeout=PEER_TIMEOUT_S)
        try:
            reply = await ask(call, address)
        except RudderError as error:
            self.metrics.count('failed_loans', code=error.code)
            return
        self.allotments.borrow(parts_from_messages(reply.lent), asked_at)
