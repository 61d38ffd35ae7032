"""Exchange of notices between the site's routers over UDP.

Explanation
===========
A VM sends to each neighbour in the tree what it knows from itself and from its
other neighbours. On a tree no request is counted twice, and what a VM no longer
reports vanishes everywhere. Each notice repeats the current state, so that the
next one makes up for a lost one. The bytes that a VM sends are limited to a
share of its link. Decisions that need agreement go through the store, never
through notices.
"""

import asyncio
import socket
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ...process.clock import Clock
from ...process.loops import wait_at_most
from .bytebudget import ByteBudget
from .children import children_limit
from .links import Links
from .notice import (
    Direction,
    Facts,
    Notice,
    Strikes,
    UnreadableNotice,
    decode_notice,
)
from .noticesender import NoticeSender
from .peeraddresses import Peer, PeerAddresses
from .publisher import Publisher
from .tree import Tree

# Small domains can afford fresher counts.
MIN_TICK_INTERVAL_S = 0.02
TICK_INTERVAL_PER_VM_S = 0.001
MAX_TICK_INTERVAL_S = 0.05
# Without news, a VM looks this often for facts of its own that changed.
IDLE_TICK_INTERVAL_S = 0.1

# Takes the facts and strikes that a neighbour sent.
Listener = Callable[[str, Facts, Strikes], None]


@dataclass(slots=True)
class Exchange(asyncio.DatagramProtocol):
    """Sends this VM's notices and keeps what its neighbours sent."""

    address: tuple[str, int]
    peers: PeerAddresses
    clock: Clock
    links: Links
    budget: ByteBudget
    own_strikes: Callable[[], Strikes]
    listeners: list[Listener] = field(default_factory=list)
    tree: Tree = field(init=False)
    sender: NoticeSender = field(init=False)
    publisher: Publisher = field(init=False)
    unreadable_datagrams: int = 0
    _news: asyncio.Event = field(default_factory=asyncio.Event)
    _transport: asyncio.DatagramTransport | None = None

    def __post_init__(self) -> None:
        """Begin without neighbours."""
        limit = children_limit(self.budget.bytes_per_s)
        self.tree = Tree(self.peers, self.clock.monotonic(), limit)
        self.sender = NoticeSender(
            self.peers,
            self.tree,
            self.budget,
            self._transmit,
            self.own_strikes,
        )
        self.publisher = Publisher(
            self.peers, self.tree, self.links, self.sender
        )

    async def start(self) -> None:
        """Open the UDP port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=self.address,
            family=socket.AF_INET,
        )
        self._transport = transport

    def stop(self) -> None:
        """Close the UDP port."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send notices until cancelled."""
        while True:
            self._news.clear()
            changes = self.links.counts.changes
            self.tick()
            interval_s = tick_interval_s(len(self.peers.neighbours()))
            await asyncio.sleep(interval_s)
            if changes == self.links.counts.changes:
                await wait_at_most(
                    self._news, IDLE_TICK_INTERVAL_S - interval_s
                )

    def tick(self) -> None:
        """Drop silent neighbours and send what is due."""
        now = self.clock.monotonic()
        self.budget.refill(now)
        self.tree.expire(now)
        self.links.keep(self.tree.neighbours(), self.tree.parent, now)
        for address in self.tree.questions(now):
            self.sender.ask(address, Direction.QUESTION)
        self.publisher.send_states(now)

    def datagram_received(
        self,
        packet: bytes,
        sender: tuple[str | int, int],
    ) -> None:
        """Take over a notice, answer a question, pass on what is the root's."""
        self._news.set()
        try:
            notice = decode_notice(packet)
        except UnreadableNotice:
            # Unreadable datagrams are counted for the state dump; a log line
            # for each would let any sender fill the logs.
            self.unreadable_datagrams += 1
            return
        host, port = sender
        source = notice.origin or f'{host}:{port}'
        if not self.peers.knows(source):
            peer = Peer(notice.failure_domain, notice.speed)
            self.peers.add({source: peer})
        self._take_over(source, notice, packet)

    def error_received(self, error: Exception) -> None:
        """Ignore send errors; a VM that is down stops sending notices."""

    def is_settled(self) -> bool:
        """Return whether this VM knows its parent, or that it is a root."""
        return self.tree.is_settled(self.clock.monotonic())

    def rank(self) -> int:
        """Return this VM's position in its domain, zero for the root."""
        return self.tree.rank

    def any_reaches_store(self) -> bool:
        """Return whether another VM has up-to-date copies of the tables."""
        return any(
            facts.reaches_store for facts in self.links.facts_of_others()
        )

    def broken_groups(self) -> Collection[int]:
        """Return the keys of the groups that the lease holder found broken."""
        return {
            group
            for facts in self.links.facts_of_others()
            for group in facts.broken_groups
        }

    def _take_over(self, source: str, notice: Notice, packet: bytes) -> None:
        now = self.clock.monotonic()
        parent = self.tree.parent
        is_neighbour = self.tree.note(source, notice, now)
        if self.tree.parent != parent:
            self.links.keep(self.tree.neighbours(), self.tree.parent, now)
            self.sender.leave(parent)
        if is_neighbour:
            self._receive(source, notice, now)
        elif source != parent:
            self._reply(source, notice, packet)

    def _reply(self, source: str, notice: Notice, packet: bytes) -> None:
        """Reply to a VM that is no neighbour, or pass its notice on."""
        if notice.direction is Direction.QUESTION:
            self.sender.ask(source, Direction.ANSWER)
        elif notice.direction is Direction.TO_CHILD:
            self.sender.leave(source)
        elif notice.direction is Direction.TO_DOMAIN and self.tree.parent:
            self.sender.forward(packet, self.tree.parent)

    def _receive(self, source: str, notice: Notice, now: float) -> None:
        if not self.links.link(source).receive(notice, now):
            return
        if notice.load is not None and notice.load.limits:
            self.links.own_limits.merge(notice.load.limits)
        for listener in self.listeners:
            listener(source, notice.facts, notice.strikes)

    def _transmit(self, packet: bytes, address: str) -> None:
        if self._transport is None:
            return
        host, _, port = address.rpartition(':')
        self._transport.sendto(packet, (host, int(port)))


def tick_interval_s(neighbours: int) -> float:
    """Return the seconds between notices in a domain with other VMs.

    Examples
    ========
    >>> tick_interval_s(0), round(tick_interval_s(2), 3), tick_interval_s(39)
    (0.02, 0.022, 0.05)
    """
    interval_s = MIN_TICK_INTERVAL_S + TICK_INTERVAL_PER_VM_S * neighbours
    return min(interval_s, MAX_TICK_INTERVAL_S)
