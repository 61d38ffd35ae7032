"""A simulated network of routers that exchange notices."""

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..fleet.membership import (
    Exchange,
    Facts,
    InFlightCounts,
    Peer,
    PeerAddresses,
    Strikes,
    build_exchange,
)
from .fleetdata import ManualClock

TICK_S = 0.05
SLOW_LINK_MBPS = 10.0
FAST_LINK_MBPS = 100.0
# Ticks in which a domain of this size chooses its tree.
SETTLING_TICKS = 60


@dataclass(slots=True)
class _Socket:
    """Passes datagrams to the simulated network."""

    sender: str
    network: 'NoticeNetwork'

    def sendto(self, packet: bytes, target: tuple[str, int]) -> None:
        host, port = target
        self.network.deliver(self.sender, f'{host}:{port}', packet)

    def close(self) -> None:
        """Do nothing."""


@dataclass(slots=True)
class NoticeNetwork:
    """Delivers datagrams at once, except from and to silenced VMs.

    Parameters
    ==========
    claims : dict
        Lease claims by the address of the VM that holds the lease.
    largest : int
        Size of the largest datagram so far, in bytes.
    """

    loss: float = 0
    link_mbps: float = FAST_LINK_MBPS
    clock: ManualClock = field(default_factory=ManualClock)
    exchanges: dict[str, Exchange] = field(default_factory=dict)
    counts: dict[str, InFlightCounts] = field(default_factory=dict)
    silenced: set[str] = field(default_factory=set)
    claims: dict[str, str] = field(default_factory=dict)
    strikes: dict[str, Strikes] = field(default_factory=dict)
    sent: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    received: Counter[str] = field(default_factory=Counter)
    largest: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def add(self, address: str, domain: str, speed: float = 1) -> None:
        """Add a VM that knows nobody yet."""
        host, _, port = address.rpartition(':')
        counts = InFlightCounts()
        exchange = build_exchange(
            (host, int(port)),
            PeerAddresses(address, domain, speed),
            self.clock,
            counts,
            self.link_mbps,
            lambda: Facts(lease_claim=self.claims.get(address, '')),
            lambda: self.strikes.get(address, Strikes()),
        )
        exchange.publisher.rng = random.Random(address)
        exchange._transport = _Socket(address, self)  # type: ignore[assignment]
        self.exchanges[address] = exchange
        self.counts[address] = counts

    def restart(self, address: str) -> None:
        """Replace a VM's process by a new one that knows nobody."""
        peers = self.exchanges[address].peers
        self.add(address, peers.failure_domain, peers.own_speed)

    def introduce(self, *addresses: str) -> None:
        """Let some VMs, or all, read the table of routers."""
        peers = {
            address: Peer(
                exchange.peers.failure_domain, exchange.peers.own_speed
            )
            for address, exchange in self.exchanges.items()
        }
        for address in addresses or self.exchanges:
            self.exchanges[address].peers.add(peers)

    def deliver(self, sender: str, target: str, packet: bytes) -> None:
        """Deliver a datagram, unless it gets lost."""
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(packet)
        self.largest = max(self.largest, len(packet))
        is_lost = self.rng.random() < self.loss
        if target not in self.exchanges:
            return
        if is_lost or sender in self.silenced or target in self.silenced:
            return
        self.received[target] += 1
        host, _, port = sender.rpartition(':')
        self.exchanges[target].datagram_received(packet, (host, int(port)))

    def tick(self, ticks: int = 1) -> None:
        """Let all VMs send what is due, and time pass."""
        for _ in range(ticks):
            for address, exchange in self.exchanges.items():
                if address not in self.silenced:
                    exchange.tick()
            self.clock.advance(TICK_S)

    def forget_traffic(self) -> None:
        """Count the datagrams from now on only."""
        self.sent.clear()
        self.sent_bytes.clear()
        self.received.clear()

    def depth(self, address: str) -> int:
        """Return the number of a VM's ancestors."""
        parent = self.exchanges[address].tree.parent
        return 1 + self.depth(parent) if parent else 0

    def roots(self) -> Mapping[str, list[str]]:
        """Return the live roots by failure domain."""
        roots: dict[str, list[str]] = {}
        now = self.clock.monotonic()
        for address, exchange in self.exchanges.items():
            if address not in self.silenced and exchange.tree.is_root(now):
                domain = exchange.peers.failure_domain
                roots.setdefault(domain, []).append(address)
        return roots


def notice_network(
    domains: int,
    vms: int,
    loss: float = 0,
    link_mbps: float = FAST_LINK_MBPS,
) -> NoticeNetwork:
    """Return a settled network; lower addresses have faster VMs."""
    network = NoticeNetwork(loss, link_mbps)
    for domain in range(domains):
        for vm in range(1, vms + 1):
            network.add(f'10.{domain}.0.{vm}:7', f'fd-{domain}', 1 / vm)
    network.introduce()
    network.tick(SETTLING_TICKS)
    return network
