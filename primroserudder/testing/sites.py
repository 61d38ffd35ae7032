"""Nodes that spread configuration versions to each other in one test."""

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..connection.peers import PeerUnreachable
from ..connection.versions import apply_update, held_message, make_update
from ..process.clock import LoopClock
from ..process.membership import Membership, Node
from ..process.metrics import Metrics
from ..standins.memory import MemoryPlatform
from ..version.distribution import VersionDistributor
from ..version.holder import Version, VersionHolder
from ..version.store import VersionStore
from ..wire.versions_pb2 import VersionUpdate
from .faulty import FaultyPlatform

PEER_DELAY_S = 0.002


@dataclass(slots=True)
class SiteNode:
    """The parts of a process that handle configuration versions."""

    node: Node
    platform: FaultyPlatform
    membership: Membership
    holder: VersionHolder
    store: VersionStore
    distributor: VersionDistributor


@dataclass(slots=True)
class DirectPeers:
    """Exchange versions without a network; cut nodes reach no peer."""

    site: 'VersionSite'
    own: str

    async def push(self, address: str, version: Version, relay: bool) -> None:
        """Send a version to a peer."""
        peer = await self.site.reach(self.own, address)
        recent = self.site.by_id[self.own].holder.recent
        if recent:
            base = recent[-1]
            self._give(
                peer, make_update(version, base.body, base.digest), relay
            )
        if peer.holder.current.number < version.number:
            self._give(peer, make_update(version), relay)

    async def fetch(self, address: str) -> None:
        """Fetch the version in force at a peer and offer it to the holder."""
        peer = await self.site.reach(self.own, address)
        own = self.site.by_id[self.own].holder
        base = peer.holder.recent_body(held_message(own).digest)
        apply_update(
            own,
            make_update(peer.holder.current, base, held_message(own).digest),
        )

    def _give(self, peer: SiteNode, update: VersionUpdate, relay: bool) -> None:
        self.site.sent_bytes[self.own] += update.ByteSize()
        self.site.received_bytes[peer.node.address] += update.ByteSize()
        if apply_update(peer.holder, update) and relay:
            peer.distributor.relay(peer.holder.current)


@dataclass(slots=True)
class VersionSite:
    """All nodes of a site, by node id; the id is also the address."""

    memory: MemoryPlatform = field(default_factory=MemoryPlatform)
    by_id: dict[str, SiteNode] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    received_bytes: Counter[str] = field(default_factory=Counter)

    def start(self, node_id: str, failure_domain: str = 'fd-1') -> SiteNode:
        """Start a node without a version; replace any node of the same id."""
        node = Node(node_id, 'i1', failure_domain, 'entry', node_id)
        membership = Membership(node, LoopClock())
        platform = FaultyPlatform(self.memory)
        holder = VersionHolder()
        store = VersionStore(platform)
        distributor = VersionDistributor(
            holder=holder,
            store=store,
            membership=membership,
            peers=DirectPeers(self, node_id),
            clock=LoopClock(),
            metrics=Metrics(),
        )
        site_node = SiteNode(
            node, platform, membership, holder, store, distributor
        )
        self.by_id[node_id] = site_node
        return site_node

    def introduce(self) -> None:
        """Record a contact of each node with every node."""
        for node in self.by_id.values():
            for other in self.by_id.values():
                node.membership.note_contact(
                    other.node, other.holder.current.number
                )

    async def reach(self, own: str, address: str) -> SiteNode:
        """Return the node at an address after the network delay."""
        await asyncio.sleep(PEER_DELAY_S)
        if {own, address} & self.cut:
            raise PeerUnreachable(f'{address}: the peer is cut off')
        return self.by_id[address]

    async def exchange(self, own: str, other: str) -> None:
        """Report a peer's version number to a node, as an exchange does."""
        peer = await self.reach(own, other)
        number = peer.holder.current.number
        await self.by_id[own].distributor.fetch_if_newer(other, number)

    def numbers(self, node_ids: Iterable[str] = ()) -> set[int]:
        """Return the versions in force at some nodes, by default at all."""
        selected = tuple(node_ids) or tuple(self.by_id)
        return {self.by_id[name].holder.current.number for name in selected}
