"""The addresses of all routers, and which of them are written to."""

import itertools
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

REPRESENTATIVE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class PeerAddresses:
    """Routers' addresses by failure domain.

    Explanation
    ===========
    Within a failure domain every VM writes to every other. Each other domain
    is told by one VM that speaks for all, to the one that was last heard to
    speak there and to one more in turn, so that a new speaker is found.
    """

    own_address: str
    failure_domain: str
    _domains_by_address: dict[str, str] = field(default_factory=dict)
    _spoke_at_by_domain: defaultdict[str, dict[str, float]] = field(
        default_factory=lambda: defaultdict(dict),
    )
    _turn: Iterator[int] = field(default_factory=itertools.count)

    def add_addresses(self, domains_by_address: Mapping[str, str]) -> None:
        """Take over addresses from the store."""
        self._domains_by_address.update(domains_by_address)
        self._domains_by_address.pop(self.own_address, None)

    def note_representative(
        self, address: str, domain: str, now: float
    ) -> None:
        """Note that a VM spoke for another failure domain."""
        self._spoke_at_by_domain[domain][address] = now
        self._domains_by_address.setdefault(address, domain)

    def count(self) -> int:
        """Return the known VMs, this one included."""
        return len(self._domains_by_address) + 1

    def neighbours(self) -> Sequence[str]:
        """Return the other VMs of the own failure domain."""
        return [
            address
            for address, domain in self._domains_by_address.items()
            if domain == self.failure_domain
        ]

    def remote_recipients(self, now: float) -> Sequence[str]:
        """Return whom to tell in the other failure domains."""
        turn = next(self._turn)
        chosen: list[str] = []
        for domain, addresses in self._others().items():
            in_turn = addresses[turn % len(addresses)]
            known = self._speaker(domain, now) or in_turn
            chosen.extend({known, in_turn})
        return chosen

    def is_in_own_domain(self, address: str) -> bool:
        """Return whether an address lies in the own failure domain."""
        return self._domains_by_address.get(address) == self.failure_domain

    def _speaker(self, domain: str, now: float) -> str:
        """Return the lowest address that spoke for a domain lately.

        Explanation
        ===========
        VMs that have just started speak until they have heard each other.
        """
        lately = (
            address
            for address, at in self._spoke_at_by_domain[domain].items()
            if now - at < REPRESENTATIVE_TIMEOUT_S
        )
        return min(lately, default='')

    def _others(self) -> Mapping[str, Sequence[str]]:
        others: defaultdict[str, list[str]] = defaultdict(list)
        for address, domain in sorted(self._domains_by_address.items()):
            if domain != self.failure_domain:
                others[domain].append(address)
        return others
