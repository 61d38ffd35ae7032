"""What the site's VMs tell each other by datagram, several times a second.

Explanation
===========
A datagram tells a VM's requests under way by engine, who wait, and what it
noticed of groups: those whose streams are silent, those that the lease's
holder closes. It repeats the present state, so that a lost one is mended by
the next. What must be agreed on goes through the store, never through here.
"""

import asyncio
import socket
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from ..process.clock import Clock
from .loadbook import LoadBook, PeerLoad

QUICK_INTERVAL_S = 0.04
IDLE_INTERVAL_S = 0.3
# A VM that was silent for so long is asked only now and then.
SILENT_S = 3.0
SILENT_INTERVAL_S = 1.0


class Bulletin(BaseModel):
    """One VM's state, as a datagram carries it."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    node: str
    address: str
    sequence: int
    running: Mapping[str, int] = {}
    waiting: Mapping[str, int] = {}
    # Heads whose streams all stand still.
    silent_heads: tuple[str, ...] = ()
    # Groups that the lease's holder found broken.
    broken_groups: tuple[str, ...] = ()
    lease_claim: str = ''
    struck: tuple[str, ...] = ()
    has_traffic: bool = False


@dataclass(slots=True)
class Peer:
    """Another VM of ours, as last heard."""

    bulletin: Bulletin
    heard_at: float


@dataclass(slots=True)
class Exchange(asyncio.DatagramProtocol):
    """Sends this VM's bulletin to all others and keeps theirs."""

    address: tuple[str, int]
    clock: Clock
    book: LoadBook
    make: Callable[[int], Bulletin]
    peers_by_node: dict[str, Peer] = field(default_factory=dict)
    heard_at_by_address: dict[str, float] = field(default_factory=dict)
    listeners: list[Callable[[Bulletin], None]] = field(default_factory=list)
    sent: int = 0
    _asked_at: dict[str, float] = field(default_factory=dict)
    _transport: asyncio.DatagramTransport | None = None
    _last: Bulletin | None = None
    _sent_at: float = 0

    async def start(self) -> None:
        """Open the port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=self.address,
            family=socket.AF_INET,
        )
        self._transport = transport

    def stop(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()

    @property
    def own_address(self) -> str:
        """Return where this VM's datagrams arrive."""
        host, port = self.address
        return f'{host}:{port}'

    def learn(self, addresses: Collection[str]) -> None:
        """Take over addresses of VMs from the store."""
        for address in addresses:
            if address != self.own_address:
                self.heard_at_by_address.setdefault(address, 0)

    async def run(self) -> None:
        """Send bulletins until cancelled."""
        while True:
            self._send_if_due()
            await asyncio.sleep(QUICK_INTERVAL_S)

    def count_vms(self) -> int:
        """Return the VMs known, this one and silent ones included."""
        return len(self.heard_at_by_address) + 1

    def living(self) -> Mapping[str, Peer]:
        """Return the VMs heard lately, by node."""
        now = self.clock.monotonic()
        return {
            node: peer
            for node, peer in self.peers_by_node.items()
            if now - peer.heard_at < SILENT_S
        }

    def datagram_received(
        self,
        packet: bytes,
        sender: tuple[str | int, int],
    ) -> None:
        """Take over another VM's bulletin."""
        try:
            bulletin = Bulletin.model_validate_json(packet)
        except ValidationError:
            return
        known = self.peers_by_node.get(bulletin.node)
        if known and known.bulletin.sequence >= bulletin.sequence:
            return
        now = self.clock.monotonic()
        self.peers_by_node[bulletin.node] = Peer(bulletin, now)
        self.heard_at_by_address[bulletin.address] = now
        self.book.loads_by_peer[bulletin.node] = PeerLoad(
            bulletin.running, bulletin.waiting, now
        )
        for listener in self.listeners:
            listener(bulletin)

    def error_received(self, error: Exception) -> None:
        """Ignore that a VM's port is closed: its silence tells the same."""

    def _send_if_due(self) -> None:
        now = self.clock.monotonic()
        self.sent += 1
        bulletin = self.make(self.sent)
        is_due = now - self._sent_at >= IDLE_INTERVAL_S
        if not is_due and self._is_same(bulletin):
            return
        self._last = bulletin
        self._sent_at = now
        packet = orjson.dumps(bulletin.model_dump(exclude_defaults=True))
        for address, heard_at in self.heard_at_by_address.items():
            if self._is_wanted(address, heard_at, now):
                self._send(packet, address)

    def _is_same(self, bulletin: Bulletin) -> bool:
        if self._last is None:
            return False
        return (
            bulletin.model_copy(update={'sequence': self._last.sequence})
            == self._last
        )

    def _is_wanted(self, address: str, heard_at: float, now: float) -> bool:
        if now - heard_at < SILENT_S:
            return True
        if now - self._asked_at.get(address, 0) < SILENT_INTERVAL_S:
            return False
        self._asked_at[address] = now
        return True

    def _send(self, packet: bytes, address: str) -> None:
        host, _, port = address.rpartition(':')
        if self._transport is not None:
            self._transport.sendto(packet, (host, int(port)))
