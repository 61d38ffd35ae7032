"""The exchange by which peers tell each other what is in force."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from grpc import aio
from loguru import logger

from ..errors import RudderError
from ..process.membership import Membership, Node
from ..version.holder import Version, VersionHolder
from ..wire import peers_pb2, peers_pb2_grpc
from .peers import PEER_TIMEOUT_S, PeerChannels, ask


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
    """Answers peers' exchanges."""

    membership: Membership
    holder: VersionHolder
    is_draining: Callable[[], bool]

    async def Exchange(  # noqa: N802
        self,
        request: peers_pb2.Hello,
        context: aio.ServicerContext[peers_pb2.Hello, peers_pb2.Hello],
    ) -> peers_pb2.Hello:
        """Take over what the sender tells and tell the same."""
        take_over(self.membership, request)
        return self.hello()

    def hello(self) -> peers_pb2.Hello:
        """Return what this process tells its peers."""
        return peers_pb2.Hello(
            sender=node_to_message(self.membership.own),
            version=self.holder.current.number,
            known=map(node_to_message, self.membership.nodes()),
            draining=self.is_draining(),
        )


@dataclass(slots=True)
class VersionsService(peers_pb2_grpc.VersionsServicer):
    """Takes and gives configuration versions."""

    holder: VersionHolder

    async def Push(  # noqa: N802
        self,
        request: peers_pb2.VersionBody,
        context: aio.ServicerContext[
            peers_pb2.VersionBody,
            peers_pb2.VersionInForce,
        ],
    ) -> peers_pb2.VersionInForce:
        """Put a pushed version in force if it is newer."""
        self.holder.offer_body(
            request.number,
            request.digest,
            request.document,
        )
        return peers_pb2.VersionInForce(number=self.holder.current.number)

    async def Fetch(  # noqa: N802
        self,
        request: peers_pb2.VersionRequest,
        context: aio.ServicerContext[
            peers_pb2.VersionRequest,
            peers_pb2.VersionBody,
        ],
    ) -> peers_pb2.VersionBody:
        """Return the version in force, whatever number was asked for."""
        return version_to_message(self.holder.current)


def version_to_message(version: Version) -> peers_pb2.VersionBody:
    """Return a version as a message."""
    return peers_pb2.VersionBody(
        number=version.number,
        digest=version.digest,
        document=version.body,
    )


def take_over(membership: Membership, hello: peers_pb2.Hello) -> None:
    """Note the sender of a hello and the nodes that it knows."""
    membership.hear(
        node_from_message(hello.sender),
        hello.version,
        is_draining=hello.draining,
    )
    membership.learn(map(node_from_message, hello.known))


@dataclass(slots=True)
class PeerClient:
    """Calls peers by address."""

    channels: PeerChannels
    service: MembershipService

    async def exchange(self, address: str) -> None:
        """Exchange with a peer and fetch its version if it is newer."""
        stub = peers_pb2_grpc.MembershipStub(self.channels.channel(address))
        call = stub.Exchange(self.service.hello(), timeout=PEER_TIMEOUT_S)
        hello = await ask(call, address)
        take_over(self.service.membership, hello)
        if hello.version > self.service.holder.current.number:
            await self.fetch(address, hello.version)

    async def fetch(self, address: str, number: int) -> None:
        """Fetch a version from a peer and offer it."""
        stub = peers_pb2_grpc.VersionsStub(self.channels.channel(address))
        request = peers_pb2.VersionRequest(number=number)
        body = await ask(stub.Fetch(request, timeout=PEER_TIMEOUT_S), address)
        self.service.holder.offer_body(body.number, body.digest, body.document)

    async def push(self, addresses: Iterable[str], version: Version) -> None:
        """Push a version to peers; those that miss it fetch it later."""
        message = version_to_message(version)
        for address in addresses:
            channel = self.channels.channel(address)
            stub = peers_pb2_grpc.VersionsStub(channel)
            try:
                await ask(stub.Push(message, timeout=PEER_TIMEOUT_S), address)
            except RudderError as error:
                logger.debug('push to {} failed: {}', address, error)
