"""Addresses of the other routers, and the choice of notice recipients."""

import itertools
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

REPRESENTATIVE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class PeerAddresses:
    """Addresses of the other routers by failure domain.

    Explanation
    ===========
    Within a failure domain every VM sends notices to every other VM. Only
    the domain's representative sends to other domains: to each domain's
    current representative and, round robin, to one more VM there, so that
    a new representative also receives notices.
    """

    own_address: str
    failure_domain: str
    _domains_by_address: dict[str, str] = field(default_factory=dict)
    _representative_seen_at_by_domain: defaultdict[str, dict[str, float]] = (
        field(
            default_factory=lambda: defaultdict(dict),
        )
    )
    _round_robin: Iterator[int] = field(default_factory=itertools.count)

    def add_addresses(self, domains_by_address: Mapping[str, str]) -> None:
        """Add addresses that were read from the store."""
        self._domains_by_address.update(domains_by_address)
        self._domains_by_address.pop(self.own_address, None)

    def note_representative(
        self, address: str, domain: str, now: float
    ) -> None:
        """Record the representative of another failure domain."""
        self._representative_seen_at_by_domain[domain][address] = now
        self._domains_by_address.setdefault(address, domain)

    def count(self) -> int:
        """Return the number of known VMs, including this one."""
        return len(self._domains_by_address) + 1

    def neighbours(self) -> Sequence[str]:
        """Return the addresses of the other VMs in this failure domain."""
        return [
            address
            for address, domain in self._domains_by_address.items()
            if domain == self.failure_domain
        ]

    def remote_recipients(self, now: float) -> Sequence[str]:
        """Return the addresses to notify in the other failure domains."""
        turn = next(self._round_robin)
        recipients: list[str] = []
        for domain, addresses in self._remote_addresses_by_domain().items():
            next_address = addresses[turn % len(addresses)]
            representative = self._representative(domain, now) or next_address
            recipients.extend({representative, next_address})
        return recipients

    def is_in_own_domain(self, address: str) -> bool:
        """Return whether an address is in this VM's failure domain."""
        return self._domains_by_address.get(address) == self.failure_domain

    def _representative(self, domain: str, now: float) -> str:
        """Return a domain's recent representative with the lowest address.

        Explanation
        ===========
        A domain can have several representatives for a moment, because each
        VM acts as one after its start until it receives its neighbours'
        notices. Returns an empty string if there was none recently.
        """
        recent = (
            address
            for address, at in self._representative_seen_at_by_domain[
                domain
            ].items()
            if now - at < REPRESENTATIVE_TIMEOUT_S
        )
        return min(recent, default='')

    def _remote_addresses_by_domain(self) -> Mapping[str, Sequence[str]]:
        addresses_by_domain: defaultdict[str, list[str]] = defaultdict(list)
        for address, domain in sorted(self._domains_by_address.items()):
            if domain != self.failure_domain:
                addresses_by_domain[domain].append(address)
        return addresses_by_domain
