"""Lending of limit shares between entries over gRPC."""

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


def amounts_to_messages(
    amounts: Iterable[LimitAmount],
) -> Sequence[limits_pb2.Part]:
    """Return amounts of limits as messages."""
    return [
        limits_pb2.Part(
            workspace=limit.key.workspace,
            service=limit.key.service,
            kind=limit.key.kind.value,
            amount=limit.amount,
        )
        for limit in amounts
    ]


def amounts_from_messages(
    parts: Iterable[limits_pb2.Part],
) -> Sequence[LimitAmount]:
    """Return the positive amounts of limits in messages."""
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
    """Lends unused shares of this entry's limits to peers."""

    limit_shares: LimitShares
    clock: Clock

    async def Borrow(  # noqa: N802
        self,
        request: limits_pb2.BorrowRequest,
        context: aio.ServicerContext[
            limits_pb2.BorrowRequest,
            limits_pb2.BorrowReply,
        ],
    ) -> limits_pb2.BorrowReply:
        """Lend as much of the requested amounts as is unused here."""
        amounts = amounts_from_messages(request.wanted[:MAX_PARTS])
        lent = self.limit_shares.lend(amounts, self.clock.monotonic())
        return limits_pb2.BorrowReply(lent=amounts_to_messages(lent))


@dataclass(slots=True)
class Borrower:
    """Borrows unmet demand from a few random living entries."""

    limit_shares: LimitShares
    membership: Membership
    channels: PeerChannels
    clock: Clock
    metrics: Metrics
    rng: random.Random

    async def step(self) -> None:
        """Ask up to ``LENDERS_PER_STEP`` entries while demand is unmet."""
        addresses = [
            peer.node.address
            for peer in self.membership.live_peers()
            if peer.node.role == 'entry'
        ]
        count = min(LENDERS_PER_STEP, len(addresses))
        for address in self.rng.sample(addresses, count):
            demand = self.limit_shares.unmet_demand(self.clock.monotonic())
            if demand:
                await self._borrow(address, demand[:MAX_PARTS])

    async def _borrow(
        self, address: str, demand: Sequence[LimitAmount]
    ) -> None:
        stub = limits_pb2_grpc.LendingStub(self.channels.channel(address))
        request = limits_pb2.BorrowRequest(wanted=amounts_to_messages(demand))
        asked_at = self.clock.monotonic()
        call = stub.Borrow(request, timeout=PEER_TIMEOUT_S)
        try:
            reply = await ask(call, address)
        except RudderError as error:
            self.metrics.count('failed_loans', code=error.code)
            return
        self.limit_shares.borrow(amounts_from_messages(reply.lent), asked_at)
