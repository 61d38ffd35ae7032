"""The links to all neighbours, and what to send over each of them."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from .in_flight import InFlightCounts, add_counts
from .limitreport import LimitReport
from .link import Link, Load
from .notice import Facts, LoadPart, merge_facts

# Requests that a lost parent reported are assumed to run for this long, since
# unknown load must not look like none.
UNKNOWN_LOAD_S = 3.0


@dataclass(slots=True)
class Links:
    """All links of this VM.

    Explanation
    ===========
    A child gets what this VM and its other neighbours know; the parent, and
    the other domains, get what this VM and its children know.
    """

    counts: InFlightCounts
    own_facts: Callable[[], Facts]
    own_limits: LimitReport = field(default_factory=LimitReport)
    by_address: dict[str, Link] = field(default_factory=dict)
    _parent: str = ''
    _lost: Link | None = None
    _lost_until: float = 0

    def link(self, address: str) -> Link:
        """Return the link to a neighbour, new if there is none."""
        link = self.by_address.get(address)
        if link is None:
            link = Link(address, self.counts)
            self.by_address[address] = link
        return link

    def keep(
        self, neighbours: Collection[str], parent: str, now: float
    ) -> None:
        """Drop the links to all others; note a change of the parent."""
        if parent != self._parent:
            self._set_parent(parent, now)
        for address in self.by_address.keys() - neighbours:
            self.by_address.pop(address).drop()
        if self._lost is not None and self._is_replaced(parent, now):
            self._lost.drop()
            self._lost = None

    def upward_parts(self, children: Iterable[str]) -> list[LoadPart]:
        """Return the load of this VM and its children."""
        load = self._own_load()
        for link in self._links(children):
            load.add(link)
        return load.parts()

    def downward_parts(self, child: str) -> list[LoadPart]:
        """Return the load of all VMs but those below a child."""
        load = self._own_load()
        add_counts(load.running, self.counts.others_running)
        add_counts(load.waiting, self.counts.others_waiting)
        add_counts(load.sent, self.counts.others_sent)
        add_counts(load.looks, self.counts.others_looks)
        add_counts(load.cold, self.counts.others_cold)
        add_counts(load.reading, self.counts.others_reading)
        add_counts(load.held, self.counts.others_held)
        load.vms += self.counts.others_vms
        for link in self._links((child,)):
            load.add(link, -1)
        return load.parts()

    def facts(self, sources: Iterable[str], now: float) -> Facts:
        """Return what this VM and some neighbours know together."""
        known = [link.aged_facts(now) for link in self._links(sources)]
        own = self.own_facts()
        return merge_facts((own, *known)) if known else own

    def formats(self) -> Mapping[str, int]:
        """Return the version of the notices of each neighbour."""
        return {
            address: link.version for address, link in self.by_address.items()
        }

    def facts_of_others(self) -> Sequence[Facts]:
        """Return what each neighbour knows."""
        return [link.facts for link in self.by_address.values()]

    def _own_load(self) -> Load:
        return Load(
            self.counts.own_running(),
            self.counts.own_waiting(),
            self.own_limits.sent_by_key(),
            self.own_limits.looks_by_key(),
            self.own_limits.news(),
            cold=self.own_limits.cold_by_key(),
            reading=self.counts.own_reading(),
            held=self.counts.own_held(),
        )

    def _links(self, addresses: Iterable[str]) -> Iterable[Link]:
        return [
            link
            for address in addresses
            if (link := self.by_address.get(address)) is not None
        ]

    def _set_parent(self, parent: str, now: float) -> None:
        lost = self.by_address.pop(self._parent, None)
        if lost is not None:
            if self._lost is not None:
                self._lost.drop()
            self._lost = lost
            self._lost_until = now + UNKNOWN_LOAD_S
        self._parent = parent

    def _is_replaced(self, parent: str, now: float) -> bool:
        link = self.by_address.get(parent)
        return now >= self._lost_until or (
            link is not None and link.received_at > 0
        )
