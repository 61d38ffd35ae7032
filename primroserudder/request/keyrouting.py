"""Routes a request with an idempotency key to the entry that may run it."""

from dataclasses import dataclass
from typing import Protocol

from .answer import Sink
from .keyed import KeyedRequests
from .keyerrors import MayHaveRun
from .mintedkey import MintedKey, check_key_format, is_minted
from .servicecall import ServiceCall


class KeyPeers(Protocol):
    """Forwards requests to the entries that minted their keys."""

    async def forward(
        self,
        key: MintedKey,
        call: ServiceCall,
        sink: Sink,
    ) -> None:
        """Forward the call to the entry that minted the key.

        Raises
        ======
        RudderError
            The owner refused or failed the request, or is unreachable.
        """


@dataclass(slots=True)
class KeyRouting:
    """Serves keyed requests here or at the entry that minted the key."""

    requests: KeyedRequests
    peers: KeyPeers

    async def serve(self, call: ServiceCall, sink: Sink) -> None:
        """Serve a request that carries an idempotency key.

        Raises
        ======
        RudderError
            The request was refused or failed.
        """
        check_key_format(call.key)
        if not is_minted(call.key):
            await self.requests.serve_recorded(call, sink)
            return
        key = self.requests.minter.parse(call.key, call.workspace)
        if self.requests.minter.is_own(key):
            await self.requests.serve_minted(call, key, sink)
        else:
            await self.peers.forward(key, call, sink)

    async def serve_forwarded(self, call: ServiceCall, sink: Sink) -> None:
        """Serve a request that a peer forwarded to this process.

        Raises
        ======
        RudderError
            The request was refused or failed, or its key was minted by
            another incarnation.
        """
        key = self.requests.minter.parse(call.key, call.workspace)
        if not self.requests.minter.is_own(key):
            raise owner_gone_error(key)
        await self.requests.serve_minted(call, key, sink)


def owner_gone_error(key: MintedKey) -> MayHaveRun:
    """Return the error for a key whose owner has stopped for good."""
    return MayHaveRun(
        f'the key was minted by an earlier process of entry {key.node_id}, '
        'which has stopped; no entry will run the request from now on',
    )
