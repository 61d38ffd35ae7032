"""Distribution of accepted versions to all nodes.

Explanation
===========
The node that accepts a version pushes it at once to all nodes of its own
failure domain and to two relays in each other failure domain, which forward
it within theirs. Polling of the head row covers failed pushes: two nodes of
each failure domain, selected by rendezvous hashing among the live ones, read
it every second. The other nodes read it every 30 seconds, in case both of
these are cut off from the platform.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from ..errors import RudderError
from ..process.clock import Clock
from ..process.membership import Membership, Node
from ..process.metrics import Metrics
from .holder import Version, VersionHolder
from .store import VersionStore

HEAD_POLL_S = 1.0
FALLBACK_POLL_S = 30.0
POLLERS_PER_DOMAIN = 2
MAX_PARALLEL_PUSHES = 16


class VersionPeers(Protocol):
    """Calls to peers that distribution of versions needs."""

    async def push(self, address: str, version: Version, relay: bool) -> None:
        """Push a version; ``relay`` has the peer forward it."""

    async def fetch(self, address: str) -> None:
        """Fetch a peer's version in force and offer it to the holder."""


def select_nodes(nodes: Iterable[Node], count: int) -> Sequence[Node]:
    """Select the nodes that poll and relay, by rendezvous hashing.

    Explanation
    ===========
    Processes with the same view of the membership select the same nodes.
    While the views differ, a few more or fewer nodes poll, which is harmless.
    """
    return sorted(nodes, key=_rank)[:count]


def _rank(node: Node) -> int:
    return xxhash.xxh3_64_intdigest(node.node_id.encode())


@dataclass(slots=True)
class VersionDistributor:
    """Pushes, relays and polls versions for one process."""

    holder: VersionHolder
    store: VersionStore
    membership: Membership
    peers: VersionPeers
    clock: Clock
    metrics: Metrics
    has_read_head: bool = False
    has_head_read_failed: bool = False
    has_asked_peers: bool = False
    _next_fallback: float = float('-inf')
    _pushes: set[asyncio.Task[None]] = field(default_factory=set)

    def is_caught_up(self) -> bool:
        """Return whether this process may serve its version in force.

        Explanation
        ===========
        A process that has just started serves only after it has read the
        current version from the platform or, during an outage of the
        platform, from all reachable peers. A replacement process therefore
        does not revert to an older version.
        """
        has_only_peers = self.has_head_read_failed and self.has_asked_peers
        return self.has_read_head or has_only_peers

    async def poll(self) -> None:
        """Read the head row if this node polls or its fallback is due."""
        now = self.clock.monotonic()
        if now < self._next_fallback and not self._is_poller():
            return
        self._next_fallback = now + FALLBACK_POLL_S
        try:
            await self._read_head()
        except RudderError:
            self.has_head_read_failed = True
            raise

    async def fetch_if_newer(self, address: str, number: int) -> None:
        """Fetch the version in force at a peer if its number is newer."""
        if self.holder.should_fetch(number):
            await self.peers.fetch(address)

    def publish(self, version: Version) -> None:
        """Push an accepted version to other nodes in the background."""
        own_domain = self.membership.own.failure_domain
        nodes = self._live_nodes()
        local_nodes = [
            node for node in nodes if node.failure_domain == own_domain
        ]
        remote_nodes = sorted(
            (node for node in nodes if node.failure_domain != own_domain),
            key=_domain,
        )
        relays = [
            relay
            for _, domain in itertools.groupby(remote_nodes, _domain)
            for relay in select_nodes(domain, POLLERS_PER_DOMAIN)
        ]
        self._start_push(self._push_all(relays, version, relay=True))
        self._start_push(self._push_all(local_nodes, version, relay=False))

    def relay(self, version: Version) -> None:
        """Forward a version in this node's domain, in the background."""
        own_domain = self.membership.own.failure_domain
        local_nodes = [
            node
            for node in self._live_nodes()
            if node.failure_domain == own_domain
        ]
        self._start_push(self._push_all(local_nodes, version, relay=False))

    async def close(self) -> None:
        """Cancel the pushes in progress."""
        for task in self._pushes:
            task.cancel()
        await asyncio.gather(*self._pushes, return_exceptions=True)

    async def _read_head(self) -> None:
        self.metrics.count('head_reads')
        head = await self.store.read_head()
        if self.holder.should_fetch(head.number):
            body = await self.store.fetch(head.digest)
            if self.holder.offer_body(head.number, head.digest, body):
                self.relay(self.holder.current)
        self.has_read_head = True

    def _is_poller(self) -> bool:
        own = self.membership.own
        local_nodes = [
            node
            for node in self._live_nodes()
            if node.failure_domain == own.failure_domain
        ]
        return own in select_nodes((own, *local_nodes), POLLERS_PER_DOMAIN)

    def _live_nodes(self) -> Sequence[Node]:
        return [peer.node for peer in self.membership.live_peers()]

    def _start_push(self, pushes: Awaitable[None]) -> None:
        task = asyncio.ensure_future(pushes)
        self._pushes.add(task)
        task.add_done_callback(self._pushes.discard)

    async def _push_all(
        self,
        nodes: Sequence[Node],
        version: Version,
        *,
        relay: bool,
    ) -> None:
        semaphore = asyncio.Semaphore(MAX_PARALLEL_PUSHES)
        await asyncio.gather(
            *(self._push(semaphore, node, version, relay) for node in nodes),
        )

    async def _push(
        self,
        semaphore: asyncio.Semaphore,
        node: Node,
        version: Version,
        relay: bool,
    ) -> None:
        async with semaphore:
            try:
                await self.peers.push(node.address, version, relay)
            except RudderError as error:
                # The peer gets the version by an exchange or by its own poll.
                self.metrics.count('failed_pushes', code=error.code)
                return
        self.metrics.count('pushes')


def _domain(node: Node) -> str:
    return node.failure_domain
