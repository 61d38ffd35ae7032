"""Collects the state of all known nodes for operators."""

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


def pick(state: StateDump, sections: Iterable[str]) -> JsonSections:
    """Return the wanted sections that a process has."""
    found = state.sections_by_name
    return {name: found[name]() for name in sections if name in found}


@dataclass(slots=True)
class StateService(nodes_pb2_grpc.StateServicer):
    """Gives peers the sections of the state that they ask for."""

    state: StateDump

    async def Collect(  # noqa: N802
        self,
        request: nodes_pb2.StateRequest,
        context: aio.ServicerContext[
            nodes_pb2.StateRequest,
            nodes_pb2.StateReply,
        ],
    ) -> nodes_pb2.StateReply:
        """Return sections of the state."""
        document = orjson.dumps(pick(self.state, request.sections))
        return nodes_pb2.StateReply(document=document)


@dataclass(slots=True)
class Site:
    """All nodes that this process knows, itself first."""

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
        A node that gives no answer is listed with the error, so that nobody
        takes its silence for health.
        """
        gate = asyncio.Semaphore(MAX_PARALLEL_CALLS)
        own, *others = self.membership.nodes()
        found = await asyncio.gather(
            *(self._ask(gate, node, sections) for node in others),
        )
        return {
            own.node_id: pick(self.state, sections),
            **{
                node.node_id: answer
                for node, answer in zip(others, found, strict=True)
            },
        }

    async def _ask(
        self,
        gate: asyncio.Semaphore,
        node: Node,
        sections: Sequence[str],
    ) -> JsonSections:
        channel = self.channels.channel(node.address)
        stub = nodes_pb2_grpc.StateStub(channel)
        request = nodes_pb2.StateRequest(sections=sections)
        async with gate:
            try:
                reply = await ask(
                    stub.Collect(request, timeout=PEER_TIMEOUT_S),
                    node.address,
                )
            except RudderError as error:
                return {UNREACHABLE: str(error)}
        found: JsonSections = orjson.loads(reply.document)
        return found
