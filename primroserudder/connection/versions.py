"""How peers push and fetch configuration versions over gRPC."""

from collections.abc import Callable
from dataclasses import dataclass

from grpc import aio

from ..version.delta import Delta, apply_delta, make_delta
from ..version.holder import Version, VersionHolder
from ..wire import versions_pb2, versions_pb2_grpc
from .peers import PEER_TIMEOUT_S, PeerChannels, ask


@dataclass(slots=True)
class VersionsService(versions_pb2_grpc.VersionsServicer):
    """Takes and gives configuration versions."""

    holder: VersionHolder
    relay: Callable[[Version], None]

    async def Push(  # noqa: N802
        self,
        request: versions_pb2.VersionUpdate,
        context: aio.ServicerContext[
            versions_pb2.VersionUpdate,
            versions_pb2.VersionHeld,
        ],
    ) -> versions_pb2.VersionHeld:
        """Put a pushed version in force if it is newer."""
        if take_update(self.holder, request) and request.relay:
            self.relay(self.holder.current)
        return held(self.holder)

    async def Fetch(  # noqa: N802
        self,
        request: versions_pb2.VersionHeld,
        context: aio.ServicerContext[
            versions_pb2.VersionHeld,
            versions_pb2.VersionUpdate,
        ],
    ) -> versions_pb2.VersionUpdate:
        """Return the version in force as a change of the asker's."""
        base = self.holder.recent_body(request.digest)
        return make_update(self.holder.current, base, request.digest)


def held(holder: VersionHolder) -> versions_pb2.VersionHeld:
    """Return which version is in force here."""
    refused = holder.refused
    return versions_pb2.VersionHeld(
        number=holder.current.number,
        digest=holder.current.digest,
        refused=0 if refused is None else refused.number,
    )


def make_update(
    version: Version,
    base: bytes | None = None,
    base_digest: str = '',
) -> versions_pb2.VersionUpdate:
    """Return a version as a message, whole if there is no base."""
    delta = make_delta(base or b'', version.body)
    return versions_pb2.VersionUpdate(
        number=version.number,
        digest=version.digest,
        base_digest='' if base is None else base_digest,
        prefix_bytes=delta.prefix_bytes,
        suffix_bytes=delta.suffix_bytes,
        middle=delta.middle,
    )


def take_update(
    holder: VersionHolder,
    update: versions_pb2.VersionUpdate,
) -> bool:
    """Offer the holder a version; return whether it came into force.

    Explanation
    ===========
    A change of a document that is not held here is left alone: the answer
    tells the sender, who then sends the whole document.
    """
    base: bytes | None = b''
    if update.base_digest:
        base = holder.recent_body(update.base_digest)
    if base is None:
        return False
    delta = Delta(update.prefix_bytes, update.suffix_bytes, update.middle)
    body = apply_delta(base, delta)
    return holder.offer_body(update.number, update.digest, body)


@dataclass(slots=True)
class VersionClient:
    """Pushes versions to peers and fetches them."""

    channels: PeerChannels
    holder: VersionHolder

    async def push(self, address: str, version: Version, relay: bool) -> None:
        """Give a peer a version, as a change of the one before if it can."""
        stub = versions_pb2_grpc.VersionsStub(self.channels.channel(address))
        recent = self.holder.recent
        base = recent[-1] if recent else None
        update = (
            make_update(version)
            if base is None
            else make_update(version, base.body, base.digest)
        )
        update.relay = relay
        answer = await ask(stub.Push(update, timeout=PEER_TIMEOUT_S), address)
        if max(answer.number, answer.refused) >= version.number:
            return
        whole = make_update(version)
        whole.relay = relay
        await ask(stub.Push(whole, timeout=PEER_TIMEOUT_S), address)

    async def fetch(self, address: str) -> None:
        """Offer the holder the version in force at a peer."""
        stub = versions_pb2_grpc.VersionsStub(self.channels.channel(address))
        call = stub.Fetch(held(self.holder), timeout=PEER_TIMEOUT_S)
        take_update(self.holder, await ask(call, address))
