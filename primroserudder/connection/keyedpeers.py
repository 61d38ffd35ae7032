"""Forwarding of keyed requests between entries over gRPC."""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from grpc import aio

from ..errors import Ran, RudderError
from ..process.clock import Clock
from ..process.membership import Membership
from ..request.answer import AnswerHead, Sink
from ..request.keyerrors import KeyOwnerUnreachable
from ..request.keyrecord import KeyOwner
from ..request.keyrouting import KeyRouting, owner_gone_error
from ..request.mintedkey import MintedKey
from ..request.servicecall import ServiceCall
from ..wire import keys_pb2, keys_pb2_grpc
from .peers import PEER_TIMEOUT_S, PeerChannels

FORWARD_TIMEOUT_S = 660
RETRY_AFTER_S = 2

_Context = aio.ServicerContext[keys_pb2.PassedCall, keys_pb2.AnswerPart]


class ForwardedProblem(RudderError):
    """An error that another entry reported."""

    def __init__(self, problem: keys_pb2.Problem) -> None:
        """Copy the fields of the reported problem."""
        has_retry_after = problem.HasField('retry_after_s')
        super().__init__(
            problem.message,
            remedy=problem.remedy,
            retry_after=problem.retry_after_s if has_retry_after else None,
        )
        self.ran = Ran(problem.ran)
        # The code and status are those of the reported error.
        self.code = problem.code  # type: ignore[misc]
        self.status = problem.status  # type: ignore[misc]


@dataclass(slots=True)
class PeerSink:
    """Sends an answer to the entry that forwarded the request."""

    context: _Context

    async def begin(self, head: AnswerHead) -> None:
        """Send the status and the headers."""
        message = keys_pb2.Head(
            status=head.status,
            headers=_headers_to_messages(head.headers),
        )
        await self.context.write(keys_pb2.AnswerPart(head=message))

    async def send(self, part: bytes) -> None:
        """Send a part of the body."""
        await self.context.write(keys_pb2.AnswerPart(body=part))


@dataclass(slots=True)
class KeysService(keys_pb2_grpc.KeysServicer):
    """Serves requests that peers forward."""

    routing: KeyRouting
    clock: Clock

    # gRPC accepts a coroutine that writes messages in place of a generator.
    async def Run(  # type: ignore[override]  # noqa: N802
        self,
        request: keys_pb2.PassedCall,
        context: _Context,
    ) -> None:
        """Serve a call whose key binds it to this process."""
        call = _call_from_message(request, self.clock.monotonic())
        last = keys_pb2.AnswerPart(end=keys_pb2.End())
        try:
            await self.routing.serve_forwarded(call, PeerSink(context))
        except RudderError as error:
            last = keys_pb2.AnswerPart(problem=_problem_to_message(error))
        await context.write(last)


@dataclass(slots=True)
class KeysClient:
    """Forwards requests to the entries that minted their keys."""

    channels: PeerChannels
    membership: Membership
    clock: Clock

    async def forward(
        self,
        key: MintedKey,
        call: ServiceCall,
        sink: Sink,
    ) -> None:
        """Forward a call to the owner of its key and relay the answer.

        Raises
        ======
        RudderError
            The owner reported an error, or it was replaced or unreachable.
        """
        if self._is_replaced(key):
            raise owner_gone_error(key)
        channel = self.channels.channel(key.address)
        try:
            await asyncio.wait_for(channel.channel_ready(), PEER_TIMEOUT_S)
        except TimeoutError as error:
            raise _owner_unreachable(key, 'no connection') from error
        message = _call_to_message(call, self.clock.monotonic())
        stub = keys_pb2_grpc.KeysStub(channel)
        answer = stub.Run(message, timeout=FORWARD_TIMEOUT_S)
        try:
            await _relay(answer, sink)
        except (aio.AioRpcError, EOFError) as error:
            raise _owner_unreachable(key, type(error).__name__) from error

    def is_owner_alive(self, owner: KeyOwner) -> bool:
        """Return whether the owner's incarnation is a living member."""
        own = self.membership.own
        nodes = (own, *(peer.node for peer in self.membership.live_peers()))
        return any(
            (node.node_id, node.incarnation)
            == (owner.node_id, owner.incarnation)
            for node in nodes
        )

    def _is_replaced(self, key: MintedKey) -> bool:
        own = self.membership.own
        nodes = (own, *(peer.node for peer in self.membership.live_peers()))
        return any(
            node.node_id == key.node_id and node.incarnation != key.incarnation
            for node in nodes
        )


async def _relay(
    answer: aio.UnaryStreamCall[keys_pb2.PassedCall, keys_pb2.AnswerPart],
    sink: Sink,
) -> None:
    async for message in answer:
        kind = message.WhichOneof('part')
        if kind == 'end':
            return
        if kind == 'problem':
            raise ForwardedProblem(message.problem)
        if kind == 'head':
            headers = _headers_from_messages(message.head.headers)
            await sink.begin(AnswerHead(message.head.status, headers))
        else:
            await sink.send(message.body)
    raise EOFError


def _owner_unreachable(key: MintedKey, reason: str) -> KeyOwnerUnreachable:
    return KeyOwnerUnreachable(
        f'entry {key.node_id}, the only one that may run the request, '
        f'is unreachable: {reason}',
        retry_after=RETRY_AFTER_S,
    )


def _problem_to_message(error: RudderError) -> keys_pb2.Problem:
    return keys_pb2.Problem(
        code=error.code,
        status=error.status,
        ran=error.ran.value,
        message=str(error),
        remedy=error.remedy,
        retry_after_s=error.retry_after,
    )


def _call_to_message(call: ServiceCall, now: float) -> keys_pb2.PassedCall:
    return keys_pb2.PassedCall(
        request_id=call.request_id,
        workspace=call.workspace,
        method=call.method,
        target=call.target,
        headers=_headers_to_messages(call.headers),
        body=call.body,
        elapsed_s=now - call.arrived_at,
        created=call.created,
    )


def _call_from_message(message: keys_pb2.PassedCall, now: float) -> ServiceCall:
    return ServiceCall(
        request_id=message.request_id,
        workspace=message.workspace,
        method=message.method,
        target=message.target,
        headers=_headers_from_messages(message.headers),
        body=message.body,
        arrived_at=now - message.elapsed_s,
        created=message.created,
    )


def _headers_to_messages(headers: Mapping[str, str]) -> list[keys_pb2.Header]:
    return [
        keys_pb2.Header(name=name, value=text) for name, text in headers.items()
    ]


def _headers_from_messages(
    headers: Iterable[keys_pb2.Header],
) -> Mapping[str, str]:
    return {header.name: header.value for header in headers}
