"""Exchange of membership and configuration versions between peers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from grpc import aio

from ..process.membership import Membership, Node
from ..version.holder import VersionHolder
from ..wire import peers_pb2, peers_pb2_grpc
from .peers import PEER_TIMEOUT_S, PeerChannels, ask

PeerVersionHandler = Callable[[str, int], Awaitable[None]]


def node_to_message(node: Node) -> peers_pb2.Node:
    """Return a node as a message."""
    return peers_pb2.Node(
        node_id=node.node_id,
        incarnation=node.incarnation,
        failure_domain=node.failure_domain,
        role=node.role,
        address=node.address,
    )


def node_from_message(message: peers_pb2.Node) -> Node:
    """Return the node that a message describes."""
    return Node(
        node_id=message.node_id,
        incarnation=message.incarnation,
        failure_domain=message.failure_domain,
        role=message.role,
        address=message.address,
    )


@dataclass(slots=True)
class MembershipService(peers_pb2_grpc.MembershipServicer):
    """Answers membership exchanges of peers."""

    membership: Membership
    holder: VersionHolder
    is_draining: Callable[[], bool]

    async def Exchange(  # noqa: N802
        self,
        request: peers_pb2.Hello,
        context: aio.ServicerContext[peers_pb2.Hello, peers_pb2.Hello],
    ) -> peers_pb2.Hello:
        """Apply the sender's hello and return this process's hello."""
        apply_hello(self.membership, request)
        return self.hello()

    def hello(self) -> peers_pb2.Hello:
        """Return the hello that this process sends to its peers."""
        return peers_pb2.Hello(
            sender=node_to_message(self.membership.own),
            version=self.holder.current.number,
            known=map(node_to_message, self.membership.nodes()),
            draining=self.is_draining(),
        )


def apply_hello(membership: Membership, hello: peers_pb2.Hello) -> None:
    """Record the sender of a hello and the nodes that it lists."""
    membership.note_contact(
        node_from_message(hello.sender),
        hello.version,
        is_draining=hello.draining,
    )
    membership.add_nodes(map(node_from_message, hello.known))


async def _ignore_version(address: str, number: int) -> None:
    """Ignore the version of a peer."""


@dataclass(slots=True)
class PeerClient:
    """Exchanges membership with peers by address."""

    channels: PeerChannels
    service: MembershipService
    on_peer_version: PeerVersionHandler = _ignore_version

    async def exchange(self, address: str) -> None:
        """Exchange hellos with a peer and report its version.

        Raises
        ======
        PeerUnreachable
            The peer did not answer in time.
        """
        stub = peers_pb2_grpc.MembershipStub(self.channels.channel(address))
        call = stub.Exchange(self.service.hello(), timeout=PEER_TIMEOUT_S)
        hello = await ask(call, address)
        apply_hello(self.service.membership, hello)
        await self.on_peer_version(address, hello.version)
