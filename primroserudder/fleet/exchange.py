"""Notices between the site's routers, by datagram.

Explanation
===========
A notice repeats the present state, so that a lost one is mended by the next.
VMs of a failure domain write to each other; one of them, the living one with
the lowest address, sums their notices up for the other domains, and passes
on there what it hears from outside. So the traffic of a VM grows with its
domain and not with the site. What must be agreed on goes through the store,
never through here.
"""

import asyncio
import socket
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import orjson
from pydantic import ValidationError

from ..process.clock import Clock
from .in_flight import InFlightCounts, PeerLoad
from .notice import Notice, Scope, summarize
from .peeraddresses import PeerAddresses

QUICK_INTERVAL_S = 0.04
IDLE_INTERVAL_S = 0.3
# A VM that was silent for so long lives no more, or is cut off.
SILENT_S = 1.5
# A claim on the lease is passed on while its holder was heard so lately.
FRESH_CLAIM_S = 0.4
# A silent neighbour is written to only now and then.
SILENT_INTERVAL_S = 1.0

Listener = Callable[[Notice], None]


@dataclass(frozen=True, slots=True)
class ReceivedNotice:
    """A notice and when it came."""

    notice: Notice
    at: float


@dataclass(slots=True)
class Outbox:
    """The last notice of a scope, and when it was sent."""

    notice: Notice | None = None
    sent_at: float = 0

    def is_due(self, notice: Notice, now: float) -> bool:
        """Return whether a notice is news, or the last one is long ago."""
        if now - self.sent_at >= IDLE_INTERVAL_S:
            return True
        return not notice.equals_except_sequence(self.notice)

    def put(self, notice: Notice, now: float) -> None:
        """Note what was sent."""
        self.notice = notice
        self.sent_at = now


@dataclass(slots=True)
class Exchange(asyncio.DatagramProtocol):
    """Sends this VM's notices and keeps those of the others."""

    address: tuple[str, int]
    peers: PeerAddresses
    clock: Clock
    book: InFlightCounts
    make: Callable[[int], Notice]
    received_by_source: dict[str, ReceivedNotice] = field(default_factory=dict)
    listeners: list[Listener] = field(default_factory=list)
    ticks: int = 0
    unreadable_datagrams: int = 0
    _near: Outbox = field(default_factory=Outbox)
    _far: Outbox = field(default_factory=Outbox)
    _heard_at_by_address: dict[str, float] = field(default_factory=dict)
    _asked_at: dict[str, float] = field(default_factory=dict)
    _transport: asyncio.DatagramTransport | None = None

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

    async def run(self) -> None:
        """Send notices until cancelled."""
        while True:
            self._tell()
            await asyncio.sleep(QUICK_INTERVAL_S)

    def living(self) -> Iterable[Notice]:
        """Return the notices of those who were heard lately."""
        now = self.clock.monotonic()
        return [
            heard.notice
            for heard in self.received_by_source.values()
            if now - heard.at < SILENT_S
        ]

    def neighbours(self) -> Mapping[str, Notice]:
        """Return the living VMs of the own failure domain, by address."""
        return {
            notice.address: notice
            for notice in self.living()
            if notice.scope is Scope.VM
        }

    def neighbours_before(self) -> Sequence[str]:
        """Return the domain's living VMs that come before this one."""
        own = self.peers.own_address
        return sorted(one for one in self.neighbours() if one < own)

    def is_representative(self) -> bool:
        """Return whether this VM, the domain's first, speaks for it."""
        return not self.neighbours_before()

    def datagram_received(
        self,
        packet: bytes,
        sender: tuple[str | int, int],
    ) -> None:
        """Take over a notice, and pass on one from outside."""
        try:
            notice = Notice.model_validate_json(packet)
        except ValidationError:
            # Counted and shown in the state dump: a stray datagram a line
            # would let any sender fill the logs.
            self.unreadable_datagrams += 1
            return
        host, port = sender
        source = f'{host}:{port}'
        if notice.scope is Scope.FAILURE_DOMAIN:
            self.peers.note_representative(
                notice.address, notice.failure_domain, self.clock.monotonic()
            )
            if self.is_representative() and not self.peers.is_in_own_domain(
                source
            ):
                self._send(packet, self._wanted_neighbours())
        self._take(notice)

    def error_received(self, error: Exception) -> None:
        """Ignore that a VM's port is closed: its silence tells the same."""

    def _take(self, notice: Notice) -> None:
        is_own_domain = notice.failure_domain == self.peers.failure_domain
        if notice.scope is Scope.FAILURE_DOMAIN and is_own_domain:
            return
        source = (
            notice.node
            if notice.scope is Scope.VM
            else f'domain {notice.failure_domain}'
        )
        known = self.received_by_source.get(source)
        if known is not None and _is_older(notice, known.notice):
            return
        now = self.clock.monotonic()
        self.received_by_source[source] = ReceivedNotice(notice, now)
        self._heard_at_by_address[notice.address] = now
        self.book.loads_by_peer[source] = PeerLoad(
            notice.running, notice.waiting, now
        )
        for listener in self.listeners:
            listener(notice)

    def _tell(self) -> None:
        now = self.clock.monotonic()
        self.ticks += 1
        own = self.make(self.ticks)
        if self._near.is_due(own, now):
            self._near.put(own, now)
            self._send(_packet(own), self._wanted_neighbours())
        if not self.is_representative():
            return
        summary = summarize(own, self._fresh_neighbours(now))
        if self._far.is_due(summary, now):
            self._far.put(summary, now)
            self._send(_packet(summary), self.peers.remote_recipients(now))

    def _fresh_neighbours(self, now: float) -> list[Notice]:
        """Return the neighbours' notices, without claims that are stale."""
        return [
            heard.notice
            if now - heard.at < FRESH_CLAIM_S
            else heard.notice.model_copy(update={'lease_claim': ''})
            for heard in self.received_by_source.values()
            if heard.notice.scope is Scope.VM and now - heard.at < SILENT_S
        ]

    def _wanted_neighbours(self) -> list[str]:
        now = self.clock.monotonic()
        return [
            address
            for address in self.peers.neighbours()
            if self._is_wanted(address, now)
        ]

    def _is_wanted(self, address: str, now: float) -> bool:
        if now - self._heard_at_by_address.get(address, 0) < SILENT_S:
            return True
        if now - self._asked_at.get(address, 0) < SILENT_INTERVAL_S:
            return False
        self._asked_at[address] = now
        return True

    def _send(self, packet: bytes, addresses: Iterable[str]) -> None:
        if self._transport is None:
            return
        for address in addresses:
            host, _, port = address.rpartition(':')
            self._transport.sendto(packet, (host, int(port)))


def _is_older(notice: Notice, known: Notice) -> bool:
    """Return whether one sender's notice came after a later one."""
    return notice.node == known.node and notice.sequence <= known.sequence


def _packet(notice: Notice) -> bytes:
    return orjson.dumps(notice.model_dump(mode='json', exclude_defaults=True))
