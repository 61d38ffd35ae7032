"""Brings accepted versions into force on all nodes.

Explanation
===========
The node that accepts a version pushes it at once: to all nodes of its own
failure domain and to two relays of each other one, which pass it on. Polling
the head row is the safety net: two nodes of each failure domain, chosen by
rendezvous hash among the living ones, read it every second; the others read
it seldom, in case that both are cut off from the platform.
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
    """What the spread asks of peers, by address."""

    async def push(self, address: str, version: Version, relay: bool) -> None:
        """Give a peer a version; with ``relay`` it passes it on."""

    async def fetch(self, address: str) -> None:
        """Offer the holder the version in force at a peer."""


def chosen_nodes(nodes: Iterable[Node], count: int) -> Sequence[Node]:
    """Return the nodes that poll and relay, by rendezvous hash.

    Explanation
    ===========
    Two processes with the same view choose the same nodes; if the views
    differ, a few more or fewer poll for a while, which is harmless.
    """
    return sorted(nodes, key=_rank)[:count]


def _rank(node: Node) -> int:
    return xxhash.xxh3_64_intdigest(node.node_id.encode())


@dataclass(slots=True)
class VersionDistributor:
    """One process's part in the spread of versions."""

    holder: VersionHolder
    store: VersionStore
    membership: Membership
    peers: VersionPeers
    clock: Clock
    metrics: Metrics
    has_read_head: bool = False
    has_failed_head: bool = False
    has_asked_peers: bool = False
    _next_fallback: float = float('-inf')
    _pushes: set[asyncio.Task[None]] = field(default_factory=set)

    def is_caught_up(self) -> bool:
        """Return whether no reachable source is known to be newer.

        Explanation
        ===========
        A process that has just started serves only once the platform, or
        during its outage all reachable peers, told it which version is in
        force; so a replacement does not go back to an older one.
        """
        has_asked = self.has_failed_head and self.has_asked_peers
        return self.has_read_head or has_asked

    async def poll(self) -> None:
        """Read the head row if it is this process's turn."""
        now = self.clock.monotonic()
        if now < self._next_fallback and not self._is_poller():
            return
        self._next_fallback = now + FALLBACK_POLL_S
        try:
            await self._poll()
        except RudderError:
            self.has_failed_head = True
            raise

    async def fetch_if_newer(self, address: str, number: int) -> None:
        """Fetch a version that a peer says is in force there."""
        if self.holder.wants(number):
            await self.peers.fetch(address)

    def publish(self, version: Version) -> None:
        """Push an accepted version to the nodes, without waiting for them."""
        own = self.membership.own.failure_domain
        nodes = self._living()
        near = [node for node in nodes if node.failure_domain == own]
        far = sorted(
            (node for node in nodes if node.failure_domain != own),
            key=_domain,
        )
        relays = [
            relay
            for _, domain in itertools.groupby(far, _domain)
            for relay in chosen_nodes(domain, POLLERS_PER_DOMAIN)
        ]
        self._start(self._push_all(relays, version, relay=True))
        self._start(self._push_all(near, version, relay=False))

    def relay(self, version: Version) -> None:
        """Pass a version on within the own failure domain."""
        own = self.membership.own.failure_domain
        near = [node for node in self._living() if node.failure_domain == own]
        self._start(self._push_all(near, version, relay=False))

    async def close(self) -> None:
        """Stop the pushes that still run."""
        for task in self._pushes:
            task.cancel()
        await asyncio.gather(*self._pushes, return_exceptions=True)

    async def _poll(self) -> None:
        self.metrics.count('head_reads')
        head = await self.store.read_head()
        if self.holder.wants(head.number):
            body = await self.store.fetch(head.digest)
            if self.holder.offer_body(head.number, head.digest, body):
                self.relay(self.holder.current)
        self.has_read_head = True

    def _is_poller(self) -> bool:
        own = self.membership.own
        near = [
            node
            for node in self._living()
            if node.failure_domain == own.failure_domain
        ]
        return own in chosen_nodes((own, *near), POLLERS_PER_DOMAIN)

    def _living(self) -> Sequence[Node]:
        return [peer.node for peer in self.membership.living()]

    def _start(self, pushes: Awaitable[None]) -> None:
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
        gate = asyncio.Semaphore(MAX_PARALLEL_PUSHES)
        await asyncio.gather(
            *(self._push(gate, node, version, relay) for node in nodes),
        )

    async def _push(
        self,
        gate: asyncio.Semaphore,
        node: Node,
        version: Version,
        relay: bool,
    ) -> None:
        async with gate:
            try:
                await self.peers.push(node.address, version, relay)
            except RudderError as error:
                # The peer hears of it by exchange or by its own poll.
                self.metrics.count('failed_pushes', code=error.code)
                return
        self.metrics.count('pushes')


def _domain(node: Node) -> str:
    return node.failure_domain
