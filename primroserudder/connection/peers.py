"""gRPC channels to peers and the server for their calls."""

from collections.abc import Awaitable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from grpc import aio

from ..errors import RudderError
from ..process.settings import Listener, SettingsError, TlsFiles
from .tls import peer_channel_credentials, peer_server_credentials

PEER_TIMEOUT_S = 1.0
MAX_MESSAGE_BYTES = 16_777_216
_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    # With SO_REUSEPORT two processes could share one port by accident.
    ('grpc.so_reuseport', 0),
    # Short backoffs reconnect soon to a peer that restarted.
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
)

_Reply = TypeVar('_Reply')


class PeerUnreachable(RudderError):
    """A call to a peer failed."""

    code = 'peer_unreachable'
    status = 503
    default_remedy = 'check that the peer runs and that the network is whole'


@dataclass(slots=True)
class PeerChannels:
    """Channels to peers by address, each opened at its first use."""

    tls: TlsFiles | None = None
    by_address: dict[str, aio.Channel] = field(default_factory=dict)

    def channel(self, address: str) -> aio.Channel:
        """Return the channel to a peer."""
        channel = self.by_address.get(address)
        if channel is None:
            channel = self._open(address)
            self.by_address[address] = channel
        return channel

    async def drop(self, address: str) -> None:
        """Close the channel to a peer, if there is one."""
        channel = self.by_address.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for address in tuple(self.by_address):
            await self.drop(address)

    def dump(self) -> Mapping[str, str]:
        """Return the connectivity state of each channel by address."""
        return {
            address: channel.get_state().name
            for address, channel in self.by_address.items()
        }

    def _open(self, address: str) -> aio.Channel:
        if self.tls is None:
            return aio.insecure_channel(address, options=_OPTIONS)
        credentials = peer_channel_credentials(self.tls)
        return aio.secure_channel(address, credentials, options=_OPTIONS)


async def ask(call: Awaitable[_Reply], address: str) -> _Reply:
    """Await a call to a peer and return its reply.

    Raises
    ======
    PeerUnreachable
        The call failed or timed out.
    """
    try:
        return await call
    except aio.AioRpcError as error:
        code = error.code().name
        raise PeerUnreachable(f'{address}: {code}') from error


def peer_server() -> aio.Server:
    """Return a gRPC server without services."""
    return aio.server(options=_OPTIONS)


def bind(server: aio.Server, listener: Listener) -> int:
    """Bind a server to its port and return the port.

    Raises
    ======
    SettingsError
        The port is in use, or the process may not bind it.
    """
    try:
        return _add_port(server, listener)
    except RuntimeError as error:
        raise SettingsError(
            f'peers: {listener.address}: cannot listen',
            remedy='stop the program that uses the port or set another one',
        ) from error


def _add_port(server: aio.Server, listener: Listener) -> int:
    if listener.tls is None:
        return server.add_insecure_port(listener.address)
    credentials = peer_server_credentials(listener.tls)
    return server.add_secure_port(listener.address, credentials)
