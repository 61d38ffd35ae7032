"""Digests of evidence over gRPC."""

from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TypeAlias

from grpc import aio

from ..process.digest import (
    Change,
    DigestReply,
    DigestRequest,
    EntryUse,
    GroupUse,
    Vouch,
)
from ..process.sharing import DigestServer
from ..wire import evidence_pb2 as wire
from ..wire import evidence_pb2_grpc
from .foundmessages import found_of, put_found
from .peers import PeerChannels, PeerUnreachable, ask

MILLISECONDS = 1000
_LONGEST_AGE_MS = 3_600_000

_Stream: TypeAlias = aio.StreamStreamCall[
    wire.DigestRequest,
    wire.DigestReply,
]


@dataclass(slots=True)
class EvidenceService(evidence_pb2_grpc.EvidenceServicer):
    """Answers peers' questions for evidence."""

    desk: DigestServer

    async def Pull(  # noqa: N802
        self,
        request_iterator: AsyncIterator[wire.DigestRequest],
        context: aio.ServicerContext[wire.DigestRequest, wire.DigestReply],
    ) -> AsyncIterator[wire.DigestReply]:
        """Answer the questions of one peer, one after the other."""
        async for request in request_iterator:
            yield answer_to_message(self.desk.answer(question_of(request)))


@dataclass(slots=True)
class DigestCalls:
    """Asks peers over gRPC, on one stream for each peer.

    Explanation
    ===========
    A message on an open stream costs a fraction of a call of its own, in
    bytes and in processor time. An answer that does not come in time ends
    the stream, so that it can't be taken for the answer to a later question.
    """

    channels: PeerChannels
    streams_by_address: dict[str, _Stream] = field(default_factory=dict)

    async def pull(self, address: str, question: DigestRequest) -> DigestReply:
        """Return a peer's answer."""
        stream = self.streams_by_address.get(address)
        if stream is None:
            channel = self.channels.channel(address)
            stream = evidence_pb2_grpc.EvidenceStub(channel).Pull()
            self.streams_by_address[address] = stream
        with ExitStack() as stack:
            stack.callback(self._end, address, stream)
            exchange = _exchange(stream, question_to_message(question))
            answer = answer_of(await ask(exchange, address))
            stack.pop_all()
        return answer

    def _end(self, address: str, stream: _Stream) -> None:
        stream.cancel()
        if self.streams_by_address.get(address) is stream:
            self.streams_by_address.pop(address)


async def _exchange(
    stream: _Stream,
    message: wire.DigestRequest,
) -> wire.DigestReply:
    await stream.write(message)
    reply = await stream.read()
    if isinstance(reply, wire.DigestReply):
        return reply
    raise PeerUnreachable('the peer ended the stream')


def question_to_message(question: DigestRequest) -> wire.DigestRequest:
    """Return a question as a message."""
    return wire.DigestRequest(
        sender=question.sender,
        answerer=question.answerer,
        after=question.after,
        relayed=question.is_relayed,
        rights=question.wants_rights,
        uses=question.wants_uses,
        leaving=map(_use_to_message, question.leaving),
    )


def question_of(message: wire.DigestRequest) -> DigestRequest:
    """Return the question that a message asks."""
    return DigestRequest(
        sender=message.sender,
        answerer=message.answerer,
        after=message.after,
        is_relayed=message.relayed,
        wants_rights=message.rights,
        wants_uses=message.uses,
        leaving=_uses(message.leaving),
    )


def answer_to_message(answer: DigestReply) -> wire.DigestReply:
    """Return an answer as a message."""
    return wire.DigestReply(
        sender=answer.sender,
        cursor=answer.cursor,
        vouches=map(_vouch_to_message, answer.vouches),
        changes=map(_change_to_message, answer.changes),
        uses=[
            wire.EntryUse(
                entry=use.entry,
                age_ms=_ms(use.age_s),
                leaving=map(_use_to_message, use.leaving),
            )
            for use in answer.uses
        ],
    )


def answer_of(message: wire.DigestReply) -> DigestReply:
    """Return the answer that a message gives."""
    return DigestReply(
        sender=message.sender,
        cursor=message.cursor,
        vouches=[_vouch(vouch) for vouch in message.vouches],
        changes=[
            Change(
                change.prober,
                change.sequence,
                change.name,
                found_of(change),
            )
            for change in message.changes
        ],
        uses=[
            EntryUse(
                use.entry,
                use.age_ms / MILLISECONDS,
                _uses(use.leaving),
            )
            for use in message.uses
        ],
    )


def _uses(messages: Iterable[wire.GroupUse]) -> Sequence[GroupUse]:
    return tuple(
        GroupUse(use.group_id, use.generation, use.in_flight)
        for use in messages
    )


def _use_to_message(use: GroupUse) -> wire.GroupUse:
    return wire.GroupUse(
        group_id=use.group_id,
        generation=use.generation,
        in_flight=use.in_flight,
    )


def _vouch_to_message(vouch: Vouch) -> wire.Vouch:
    return wire.Vouch(
        prober=vouch.prober,
        sequence=vouch.sequence,
        age_ms=_ms(vouch.age_s),
        late=[
            wire.Late(name=name, age_ms=_ms(age_s))
            for name, age_s in vouch.late_by_name.items()
        ],
    )


def _vouch(message: wire.Vouch) -> Vouch:
    return Vouch(
        message.prober,
        message.sequence,
        message.age_ms / MILLISECONDS,
        {late.name: late.age_ms / MILLISECONDS for late in message.late},
    )


def _ms(age_s: float) -> int:
    # Rounded up, so that evidence never seems younger than it is.
    return min(int(age_s * MILLISECONDS) + 1, _LONGEST_AGE_MS)


def _change_to_message(change: Change) -> wire.Change:
    message = wire.Change(
        prober=change.prober,
        sequence=change.sequence,
        name=change.name,
    )
    put_found(change.observation, message)
    return message
