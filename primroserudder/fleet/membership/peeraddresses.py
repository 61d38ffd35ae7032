"""Addresses of the other routers, and their order within a domain."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..model import is_address

OrderKey = tuple[float, str]


@dataclass(frozen=True, slots=True)
class Peer:
    """A router as its row in the store describes it.

    Explanation
    ===========
    ``speed`` is the processor speed of its VM, in cores.
    """

    failure_domain: str
    speed: float = 0


@dataclass(slots=True)
class PeerAddresses:
    """The other routers by address, faster VMs before slower ones.

    Explanation
    ===========
    All VMs order the routers of a domain in the same way, also while they
    know different ones: the order of two depends on these two alone.
    """

    own_address: str
    failure_domain: str
    own_speed: float = 0
    _peers_by_address: dict[str, Peer] = field(default_factory=dict)
    _earlier: Sequence[str] | None = None

    def add(self, peers_by_address: Mapping[str, Peer]) -> None:
        """Add routers that were read from the store or sent a notice.

        Explanation
        ===========
        What is no address is left out: a datagram can't be sent there.
        """
        before = len(self._peers_by_address)
        self._peers_by_address.update(
            (address, peer)
            for address, peer in peers_by_address.items()
            if is_address(address)
        )
        self._peers_by_address.pop(self.own_address, None)
        if len(self._peers_by_address) != before:
            self._earlier = None

    def knows(self, address: str) -> bool:
        """Return whether a router is known."""
        return address in self._peers_by_address

    def addresses(self) -> Sequence[str]:
        """Return the addresses of all other known VMs."""
        return tuple(self._peers_by_address)

    def domain_of(self, address: str) -> str:
        """Return the failure domain of a VM, empty if it is unknown."""
        peer = self._peers_by_address.get(address)
        return '' if peer is None else peer.failure_domain

    def count(self) -> int:
        """Return the number of known VMs, including this one."""
        return len(self._peers_by_address) + 1

    def order_key(self, address: str) -> OrderKey:
        """Return what orders the routers, lower first."""
        if address == self.own_address:
            return -self.own_speed, address
        peer = self._peers_by_address.get(address)
        return (0 if peer is None else -peer.speed), address

    def is_earlier(self, address: str) -> bool:
        """Return whether a router comes before this one in the order."""
        return self.order_key(address) < self.order_key(self.own_address)

    def earlier_neighbours(self) -> Sequence[str]:
        """Return the domain's routers before this one, the first first."""
        if self._earlier is None:
            earlier = filter(self.is_earlier, self.neighbours())
            self._earlier = sorted(earlier, key=self.order_key)
        return self._earlier

    def neighbours(self) -> Sequence[str]:
        """Return the addresses of the other VMs in this failure domain."""
        return [
            address
            for address, peer in self._peers_by_address.items()
            if peer.failure_domain == self.failure_domain
        ]

    def remote_addresses_by_domain(self) -> Mapping[str, Sequence[str]]:
        """Return the routers of the other failure domains, in order."""
        addresses_by_domain: defaultdict[str, list[str]] = defaultdict(list)
        for address in sorted(self._peers_by_address, key=self.order_key):
            domain = self._peers_by_address[address].failure_domain
            if domain != self.failure_domain:
                addresses_by_domain[domain].append(address)
        return addresses_by_domain
