"""Push and fetch of configuration versions between peers over gRPC."""

from collections.abc import Callable
from dataclasses import dataclass

from grpc import aio

from ..version.delta import Delta, apply_delta, make_delta
from ..version.holder import Version, VersionHolder
from ..wire import versions_pb2, versions_pb2_grpc
from .peers import PEER_TIMEOUT_S, PeerChannels, ask


@dataclass(slots=True)
class VersionsService(versions_pb2_grpc.VersionsServicer):
    """Accepts pushed configuration versions and serves fetches."""

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
        if apply_update(self.holder, request) and request.relay:
            self.relay(self.holder.current)
        return held_message(self.holder)

    async def Fetch(  # noqa: N802
        self,
        request: versions_pb2.VersionHeld,
        context: aio.ServicerContext[
            versions_pb2.VersionHeld,
            versions_pb2.VersionUpdate,
        ],
    ) -> versions_pb2.VersionUpdate:
        """Return the version in force as a delta to the sender's version."""
        base = self.holder.recent_body(request.digest)
        return make_update(self.holder.current, base, request.digest)


def held_message(holder: VersionHolder) -> versions_pb2.VersionHeld:
    """Return a message with the versions in force and refused here."""
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
    """Return a version as a delta message, whole without a base."""
    delta = make_delta(base or b'', version.body)
    return versions_pb2.VersionUpdate(
        number=version.number,
        digest=version.digest,
        base_digest='' if base is None else base_digest,
        prefix_bytes=delta.prefix_bytes,
        suffix_bytes=delta.suffix_bytes,
        middle=delta.middle,
    )


def apply_update(
    holder: VersionHolder,
    update: versions_pb2.VersionUpdate,
) -> bool:
    """Offer the holder a version; return whether it came into force.

    Explanation
    ===========
    A delta to a document that this process does not hold is ignored. The
    sender detects this from the reply and then sends the whole document.
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
        """Push a version to a peer, first as a delta to the previous one."""
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
        call = stub.Fetch(held_message(self.holder), timeout=PEER_TIMEOUT_S)
        apply_update(self.holder, await ask(call, address))
