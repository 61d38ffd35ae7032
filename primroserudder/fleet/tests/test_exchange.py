"""Notices reach every VM, and their number does not grow with the site."""

from collections import Counter
from dataclasses import dataclass, field

import pytest

from ...testing.fleetdata import ManualClock
from ..exchange import NOTICE_TIMEOUT_S, Exchange
from ..loadbook import LoadBook
from ..notice import Notice
from ..peeraddresses import PeerAddresses

TICK_S = 0.04


@dataclass(slots=True)
class _Wire:
    """Delivers datagrams at once, or drops those to a silenced VM."""

    sender: str
    net: '_Net'

    def sendto(self, packet: bytes, target: tuple[str, int]) -> None:
        host, port = target
        self.net.deliver(self.sender, f'{host}:{port}', packet)

    def close(self) -> None:
        """Do nothing."""


@dataclass(slots=True)
class _Net:
    clock: ManualClock = field(default_factory=ManualClock)
    by_address: dict[str, Exchange] = field(default_factory=dict)
    silenced: set[str] = field(default_factory=set)
    sent: Counter[str] = field(default_factory=Counter)
    far: Counter[str] = field(default_factory=Counter)

    def add(self, address: str, domain: str) -> LoadBook:
        host, _, port = address.rpartition(':')
        book = LoadBook(self.clock)

        def make(sequence: int) -> Notice:
            return Notice(
                node=address,
                failure_domain=domain,
                address=address,
                sequence=sequence,
                running=dict(book.running_by_engine),
                lease_claim='claim/1' if address.endswith('1:7') else '',
            )

        peers = PeerAddresses(address, domain)
        exchange = Exchange((host, int(port)), peers, self.clock, book, make)
        exchange._transport = _Wire(address, self)  # type: ignore[assignment]
        self.by_address[address] = exchange
        return book

    def deliver(self, sender: str, target: str, packet: bytes) -> None:
        self.sent[sender] += 1
        near = self.by_address[sender].peers.is_in_own_domain(target)
        self.far[sender] += not near
        if sender in self.silenced or target in self.silenced:
            return
        host, _, port = sender.rpartition(':')
        self.by_address[target].datagram_received(packet, (host, int(port)))

    def tick(self, ticks: int = 1) -> None:
        for _ in range(ticks):
            for address, exchange in self.by_address.items():
                if address not in self.silenced:
                    exchange._send_due_notices()
            self.clock.advance(TICK_S)


def _net(domains: int, vms: int) -> tuple[_Net, dict[str, LoadBook]]:
    net = _Net()
    domains_by_address = {
        f'10.{domain}.0.{vm}:7': f'fd-{domain}'
        for domain in range(domains)
        for vm in range(1, vms + 1)
    }
    books = {
        address: net.add(address, domain)
        for address, domain in domains_by_address.items()
    }
    for exchange in net.by_address.values():
        exchange.peers.add_addresses(domains_by_address)
    return net, books


def test_every_vm_knows_the_load_of_all() -> None:
    net, books = _net(3, 3)
    for book in books.values():
        book.begin('engine')
    net.tick(10)
    assert {book.running('engine') for book in books.values()} == {9}


def test_load_that_ended_is_forgotten_everywhere() -> None:
    net, books = _net(3, 2)
    first = next(iter(books.values()))
    first.begin('engine')
    net.tick(10)
    first.end('engine')
    net.tick(10)
    assert {book.running('engine') for book in books.values()} == {0}


def test_another_vm_speaks_when_the_speaker_is_silent() -> None:
    net, books = _net(3, 3)
    net.tick(10)
    net.silenced.add('10.0.0.1:7')
    net.tick(int(NOTICE_TIMEOUT_S / TICK_S) + 20)
    books['10.0.0.2:7'].begin('engine')
    net.tick(20)
    assert books['10.2.0.3:7'].running('engine') == 1


def test_claim_of_a_silent_holder_is_not_passed_on() -> None:
    net, _ = _net(2, 3)
    net.tick(10)
    far = net.by_address['10.1.0.2:7']
    assert any(one.lease_claim for one in far.living())
    net.silenced |= {'10.0.0.1:7', '10.1.0.1:7'}
    net.tick(int(3 * NOTICE_TIMEOUT_S / TICK_S))
    assert not any(one.lease_claim for one in far.living())


@pytest.mark.parametrize('domains', [3, 14])
def test_a_vms_datagrams_grow_with_its_domain_and_not_with_the_site(
    domains: int,
) -> None:
    net, books = _net(domains, 6)
    net.tick(10)
    net.sent.clear()
    net.far.clear()
    for number in range(25):
        for book in books.values():
            book.running_by_engine['engine'] = number + 1
        net.tick()
    listener = '10.1.0.3:7'
    assert net.far[listener] == 0
    # Five neighbours each tick, and what the speaker hears is passed on.
    assert net.sent[listener] <= 25 * 5
