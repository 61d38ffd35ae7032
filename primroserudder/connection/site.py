"""Collection of the state of all known nodes for operators."""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import orjson
from grpc import aio

from ..errors import RudderError
from ..process.membership import Membership, Node
from ..process.state import StateDump
from ..wire import nodes_pb2, nodes_pb2_grpc
from .peers import PEER_TIMEOUT_S, PeerChannels, ask

MAX_PARALLEL_CALLS = 32
UNREACHABLE = 'unreachable'

JsonSections = Mapping[str, object]


def select_sections(state: StateDump, sections: Iterable[str]) -> JsonSections:
    """Return the requested sections that the state contains, by name."""
    by_name = state.sections_by_name
    return {name: by_name[name]() for name in sections if name in by_name}


@dataclass(slots=True)
class StateService(nodes_pb2_grpc.StateServicer):
    """Returns the requested sections of the state to peers."""

    state: StateDump

    async def Collect(  # noqa: N802
        self,
        request: nodes_pb2.StateRequest,
        context: aio.ServicerContext[
            nodes_pb2.StateRequest,
            nodes_pb2.StateReply,
        ],
    ) -> nodes_pb2.StateReply:
        """Return the requested sections as JSON."""
        document = orjson.dumps(select_sections(self.state, request.sections))
        return nodes_pb2.StateReply(document=document)


@dataclass(slots=True)
class Site:
    """All nodes in the membership of this process, itself first."""

    state: StateDump
    membership: Membership
    channels: PeerChannels

    async def collect(
        self,
        sections: Sequence[str],
    ) -> Mapping[str, JsonSections]:
        """Return the sections of each node, by node id.

        Explanation
        ===========
        A node that does not answer is listed with the error, so that it can't
        be mistaken for a healthy one.
        """
        call_slots = asyncio.Semaphore(MAX_PARALLEL_CALLS)
        own, *others = self.membership.nodes()
        answers = await asyncio.gather(
            *(self._ask(call_slots, node, sections) for node in others),
        )
        return {
            own.node_id: select_sections(self.state, sections),
            **{
                node.node_id: answer
                for node, answer in zip(others, answers, strict=True)
            },
        }

    async def _ask(
        self,
        call_slots: asyncio.Semaphore,
        node: Node,
        sections: Sequence[str],
    ) -> JsonSections:
        channel = self.channels.channel(node.address)
        stub = nodes_pb2_grpc.StateStub(channel)
        request = nodes_pb2.StateRequest(sections=sections)
        async with call_slots:
            try:
                reply = await ask(
                    stub.Collect(request, timeout=PEER_TIMEOUT_S),
                    node.address,
                )
            except RudderError as error:
                return {UNREACHABLE: str(error)}
        document: JsonSections = orjson.loads(reply.document)
        return document
