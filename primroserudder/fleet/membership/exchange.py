"""Exchange of notices between the site's routers over UDP.

Explanation
===========
Each notice repeats the sender's current state, so that the next notice makes
up for a lost one. The VMs of a failure domain send notices to each
other. The live VM with the lowest address is the representative of its
domain: it sends a summary of the domain's notices to the other domains, and
forwards their summaries to its neighbours. The traffic of a VM therefore
grows with its domain and not with the site. Decisions that need agreement
go through the store, never through notices.
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

TICK_INTERVAL_S = 0.04
UNCHANGED_RESEND_INTERVAL_S = 0.3
# A VM that sends no notice for this long is down or unreachable.
NOTICE_TIMEOUT_S = 1.5
# The summary includes a lease claim only if the claimant's notice is newer
# than this.
CLAIM_FORWARD_MAX_AGE_S = 0.4
# A silent neighbour gets at most one notice in this interval.
SILENT_PEER_PROBE_INTERVAL_S = 1.0

Listener = Callable[[Notice], None]


@dataclass(frozen=True, slots=True)
class ReceivedNotice:
    """A notice and the time at which it was received."""

    notice: Notice
    at: float


@dataclass(slots=True)
class Outbox:
    """The last notice that was sent for a scope, and the time of sending."""

    notice: Notice | None = None
    sent_at: float = 0

    def is_due(self, notice: Notice, now: float) -> bool:
        """Return whether the state changed or the resend interval is over."""
        if now - self.sent_at >= UNCHANGED_RESEND_INTERVAL_S:
            return True
        return not notice.equals_except_sequence(self.notice)

    def record_sent(self, notice: Notice, now: float) -> None:
        """Record that a notice was sent."""
        self.notice = notice
        self.sent_at = now


@dataclass(slots=True)
class Exchange(asyncio.DatagramProtocol):
    """Sends this VM's notices and keeps the last ones of other senders."""

    address: tuple[str, int]
    peers: PeerAddresses
    clock: Clock
    in_flight_counts: InFlightCounts
    make_notice: Callable[[int], Notice]
    received_by_source: dict[str, ReceivedNotice] = field(default_factory=dict)
    listeners: list[Listener] = field(default_factory=list)
    ticks: int = 0
    unreadable_datagrams: int = 0
    _domain_outbox: Outbox = field(default_factory=Outbox)
    _remote_outbox: Outbox = field(default_factory=Outbox)
    _received_at_by_address: dict[str, float] = field(default_factory=dict)
    _probed_at: dict[str, float] = field(default_factory=dict)
    _transport: asyncio.DatagramTransport | None = None

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
            self._send_due_notices()
            await asyncio.sleep(TICK_INTERVAL_S)

    def living(self) -> Iterable[Notice]:
        """Return the last notices of all senders that have not timed out."""
        now = self.clock.monotonic()
        return [
            received.notice
            for received in self.received_by_source.values()
            if now - received.at < NOTICE_TIMEOUT_S
        ]

    def neighbours(self) -> Mapping[str, Notice]:
        """Return the live neighbours' notices by address."""
        return {
            notice.address: notice
            for notice in self.living()
            if notice.scope is Scope.VM
        }

    def neighbours_before(self) -> Sequence[str]:
        """Return the live neighbours with a lower address than this VM's."""
        own = self.peers.own_address
        return sorted(address for address in self.neighbours() if address < own)

    def is_representative(self) -> bool:
        """Return whether this VM has the lowest live address in its domain."""
        return not self.neighbours_before()

    def datagram_received(
        self,
        packet: bytes,
        sender: tuple[str | int, int],
    ) -> None:
        """Record a notice; forward a summary that another domain sent."""
        try:
            notice = Notice.model_validate_json(packet)
        except ValidationError:
            # Unreadable datagrams are counted for the state dump; a log line
            # for each would let any sender fill the logs.
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
                self._send(packet, self._neighbours_to_notify())
        self._record(notice)

    def error_received(self, error: Exception) -> None:
        """Ignore send errors; a VM that is down stops sending notices."""

    def _record(self, notice: Notice) -> None:
        is_own_domain = notice.failure_domain == self.peers.failure_domain
        if notice.scope is Scope.FAILURE_DOMAIN and is_own_domain:
            return
        source = (
            notice.node
            if notice.scope is Scope.VM
            else f'domain {notice.failure_domain}'
        )
        last = self.received_by_source.get(source)
        if last is not None and _is_outdated(notice, last.notice):
            return
        now = self.clock.monotonic()
        self.received_by_source[source] = ReceivedNotice(notice, now)
        self._received_at_by_address[notice.address] = now
        self.in_flight_counts.loads_by_peer[source] = PeerLoad(
            notice.running, notice.waiting, now
        )
        for listener in self.listeners:
            listener(notice)

    def _send_due_notices(self) -> None:
        now = self.clock.monotonic()
        self.ticks += 1
        own = self.make_notice(self.ticks)
        if self._domain_outbox.is_due(own, now):
            self._domain_outbox.record_sent(own, now)
            self._send(_encode(own), self._neighbours_to_notify())
        if not self.is_representative():
            return
        summary = summarize(own, self._live_neighbour_notices(now))
        if self._remote_outbox.is_due(summary, now):
            self._remote_outbox.record_sent(summary, now)
            self._send(_encode(summary), self.peers.remote_recipients(now))

    def _live_neighbour_notices(self, now: float) -> list[Notice]:
        """Return live neighbours' notices without stale lease claims."""
        return [
            received.notice
            if now - received.at < CLAIM_FORWARD_MAX_AGE_S
            else received.notice.model_copy(update={'lease_claim': ''})
            for received in self.received_by_source.values()
            if received.notice.scope is Scope.VM
            and now - received.at < NOTICE_TIMEOUT_S
        ]

    def _neighbours_to_notify(self) -> list[str]:
        now = self.clock.monotonic()
        return [
            address
            for address in self.peers.neighbours()
            if self._should_notify(address, now)
        ]

    def _should_notify(self, address: str, now: float) -> bool:
        if (
            now - self._received_at_by_address.get(address, 0)
            < NOTICE_TIMEOUT_S
        ):
            return True
        if now - self._probed_at.get(address, 0) < SILENT_PEER_PROBE_INTERVAL_S:
            return False
        self._probed_at[address] = now
        return True

    def _send(self, packet: bytes, addresses: Iterable[str]) -> None:
        if self._transport is None:
            return
        for address in addresses:
            host, _, port = address.rpartition(':')
            self._transport.sendto(packet, (host, int(port)))


def _is_outdated(notice: Notice, last: Notice) -> bool:
    """Return whether a notice is not newer than its sender's last one."""
    return notice.node == last.node and notice.sequence <= last.sequence


def _encode(notice: Notice) -> bytes:
    return orjson.dumps(notice.model_dump(mode='json', exclude_defaults=True))
