"""Takes a keyed request to where it may run."""

from dataclasses import dataclass
from typing import Protocol

from .answer import Sink
from .keyed import KeyedRequests
from .keyerrors import MayHaveRun
from .mintedkey import MintedKey, check_text, is_minted
from .servicecall import ServiceCall


class KeyPeers(Protocol):
    """Passes requests on to the entries that minted their keys."""

    async def forward(
        self,
        key: MintedKey,
        call: ServiceCall,
        sink: Sink,
    ) -> None:
        """Have the owner of the key serve the call.

        Raises
        ======
        RudderError
            What the owner answered, or that it can't be reached.
        """


@dataclass(slots=True)
class KeyRouting:
    """Serves keyed requests here or through the entry that owns the key."""

    requests: KeyedRequests
    peers: KeyPeers

    async def serve(self, call: ServiceCall, sink: Sink) -> None:
        """Serve a request that carries an idempotency key.

        Raises
        ======
        RudderError
            The request was refused or failed.
        """
        check_text(call.key)
        if not is_minted(call.key):
            await self.requests.serve_recorded(call, sink)
            return
        key = self.requests.minter.parse(call.key, call.workspace)
        if self.requests.minter.is_own(key):
            await self.requests.serve_minted(call, key, sink)
        else:
            await self.peers.forward(key, call, sink)

    async def serve_forwarded(self, call: ServiceCall, sink: Sink) -> None:
        """Serve a request that a peer passed on to this process.

        Raises
        ======
        RudderError
            The request was refused or failed.
        """
        key = self.requests.minter.parse(call.key, call.workspace)
        if not self.requests.minter.is_own(key):
            raise owner_gone_error(key)
        await self.requests.serve_minted(call, key, sink)


def owner_gone_error(key: MintedKey) -> MayHaveRun:
    """Return the final answer to a key whose owner is gone."""
    return MayHaveRun(
        f'the key is bound to a past run of entry {key.node_id}; no entry '
        'will run the request from now on',
    )
