"""Many VMs that get large configurations over busy links, in virtual time.

Explanation
===========
Each VM follows the operators' table with the code of a router: its follower,
its relays, its client of the store. Only links and the store are models. The
VMs of a failure domain form a tree; a VM has as many children as its link
bears notices for. In each domain a few VMs have fast links. Requests take up a
share of each link.
"""

import asyncio
import itertools
import random
import zlib
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, cast

import orjson
from aiohttp import web

from ..fleet.membership.bytebudget import ByteBudget
from ..fleet.membership.children import children_limit
from ..fleet.relaying import RelayedTableSource, TableRelay
from ..fleet.site_view import SiteView
from ..platform import PlatformStore
from ..standins.tablerows import TableRows
from .platformsite import HOST, configuration
from .ratedlinks import Peer, RatedLink, RatedSession, bytes_per_s
from .tablecopies import TableCopies

STORE_ADDRESS = 'store:1'
STORE_MBPS = 4000
STORE_CALL_S = 0.004
DOMAINS = ('fd-1', 'fd-2', 'fd-3')
FAST_VMS = 2
FAST_MBPS = 100
NOTICE_S = 0.3
START_CHECK_S = 0.1
TABLE = 'op'
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class SiteSize:
    """How many VMs a site has, and what they can do.

    Parameters
    ==========
    slow_mbps : float
        Rate of the links of all but the first VMs of each failure domain.
    used_share : float
        Share of each link that requests use.
    late_s : float
        How late a process answers at most, for want of processor time.
    """

    vms: int
    slow_mbps: float
    used_share: float = 0.5
    late_s: float = 0


def large_configuration(version: int, routes: int) -> Mapping[str, object]:
    """Return a configuration with many routes besides the usual ones."""
    document = dict(configuration(version))
    added = [_added_route(number) for number in range(routes)]
    usual = cast(Sequence[object], document['Routes'])
    return {**document, 'Routes': [*usual, *added]}


def _added_route(number: int) -> Mapping[str, object]:
    # Names without a pattern, as operators' have none that compresses.
    name = zlib.crc32(str(number).encode())
    prefix = name ^ number
    return {
        'Name': f'r-{name}',
        'Host': HOST,
        'Prefix': f'/{prefix}/',
        'RouteKind': 'streaming',
        'TimeoutMs': 6000,
        'SloMs': 304,
        'Priority': 1,
        'Service': 'model',
        'MaxAttempts': 2,
        'Anonymous': False,
        'Sticky': True,
        'Resumable': True,
        'GapSloMs': 200,
    }


@dataclass(slots=True)
class RelayingVm:
    """One VM; what reads and relays tables is a router's."""

    site: 'LargeVersions'
    address: str
    domain: str
    link: RatedLink
    parents: tuple[str, ...] = ()
    store: PlatformStore = field(init=False)
    tables: RelayedTableSource = field(init=False)
    view: SiteView = field(init=False)
    relay: TableRelay = field(init=False)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Start to follow the operators' table."""
        session = RatedSession(self.link, self.site.peer)
        self.store = PlatformStore(STORE_ADDRESS, cast(Any, session))
        copies = TableCopies(
            self.store, session, lambda: self.parents, self._note_change
        )
        self.tables = copies.tables
        self.view = copies.view
        self.relay = copies.relay
        self.store.on_arrival = self.tables.client.note_arrival
        self.tasks = [
            asyncio.ensure_future(self.view.configurations.run()),
            asyncio.ensure_future(self._hear_notices()),
        ]

    async def answer(
        self, path: str, query: Mapping[str, str]
    ) -> web.StreamResponse:
        """Answer another VM."""
        await asyncio.sleep(self.site.rng.uniform(0, self.site.size.late_s))
        request = _Request(path, query)
        return await self.relay.answer(cast(web.BaseRequest, request))

    def _note_change(self) -> None:
        now = asyncio.get_running_loop().time()
        version = self.view.active.current_version
        self.site.in_force_at.setdefault((self.address, version), now)

    async def _hear_notices(self) -> None:
        """Hear what the VMs next to this one have."""
        while True:
            await asyncio.sleep(NOTICE_S)
            for other in self.site.neighbours(self):
                self.tables.note_peer_versions(
                    other.view.versions(), other.view.store_era()
                )


@dataclass(slots=True)
class _Request:
    """What a relay reads of a request."""

    path: str
    query: Mapping[str, str]


@dataclass(slots=True)
class LargeVersions:
    """A site whose configuration grows by many routes.

    Parameters
    ==========
    in_force_at : dict
        When a VM activated a version, by its address and the version.
    """

    size: SiteSize
    rng: random.Random = field(init=False)
    rows: TableRows = field(default_factory=TableRows)
    store_link: RatedLink = field(init=False)
    vms_by_address: dict[str, RelayingVm] = field(default_factory=dict)
    in_force_at: dict[tuple[str, int], float] = field(default_factory=dict)
    written_at: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the VMs, and the store with a first configuration."""
        self.rng = random.Random(str(self.size))
        self.store_link = RatedLink(bytes_per_s(STORE_MBPS, 0))
        self.rows.put(TABLE, 'config', configuration(1))
        vms_by_domain = Counter(
            itertools.islice(itertools.cycle(DOMAINS), self.size.vms)
        )
        for domain, count in vms_by_domain.items():
            self._add_domain(domain, count)

    async def start(self) -> None:
        """Start all VMs, and wait until they have a configuration."""
        for vm in self.vms_by_address.values():
            vm.start()
        while not all(map(_has_configuration, self.vms_by_address.values())):
            await asyncio.sleep(START_CHECK_S)

    def write(self, version: int, routes: int) -> None:
        """Write a version, as operators do."""
        self.rows.put(TABLE, 'config', large_configuration(version, routes))
        self.written_at[version] = asyncio.get_running_loop().time()

    def stop(self) -> None:
        """Stop all VMs."""
        for vm in self.vms_by_address.values():
            for task in vm.tasks:
                task.cancel()

    def late_vms(self, version: int, bound_s: float) -> Mapping[str, float]:
        """Return the VMs that got no such or newer version within a bound.

        Explanation
        ===========
        By address, the time until they had one in seconds, infinity if they
        have none yet.
        """
        delays = {
            address: self._delay_s(address, version)
            for address in self.vms_by_address
        }
        return {vm: delay for vm, delay in delays.items() if delay > bound_s}

    def carried_bytes(self) -> int:
        """Return the bytes that all links carried."""
        return sum(vm.link.carried_bytes for vm in self.vms_by_address.values())

    def peer(self, address: str) -> Peer | None:
        """Return whom an address belongs to."""
        if address == STORE_ADDRESS:
            return Peer(self.store_link, self._answer_as_store)
        vm = self.vms_by_address[address]
        return Peer(vm.link, vm.answer)

    def neighbours(self, vm: RelayingVm) -> Sequence[RelayingVm]:
        """Return the VMs that send notices to a VM."""
        children = [
            other
            for other in self.vms_by_address.values()
            if other.parents[:1] == (vm.address,)
        ]
        parents = [self.vms_by_address[parent] for parent in vm.parents[:1]]
        return [*parents, *children]

    def _delay_s(self, address: str, version: int) -> float:
        had_at = [
            at
            for (vm, had), at in self.in_force_at.items()
            if vm == address and had >= version
        ]
        return min(had_at, default=float('inf')) - self.written_at[version]

    def _add_domain(self, domain: str, count: int) -> None:
        places: list[RelayingVm] = []
        for number in range(count):
            mbps = FAST_MBPS if number < FAST_VMS else self.size.slow_mbps
            link = RatedLink(bytes_per_s(mbps, self.size.used_share))
            vm = RelayingVm(self, f'{domain}-{number}:1', domain, link)
            places.append(vm)
            self.vms_by_address[vm.address] = vm
        _form_tree(places, self.size.slow_mbps)

    async def _answer_as_store(
        self, path: str, query: Mapping[str, str]
    ) -> web.StreamResponse:
        await asyncio.sleep(STORE_CALL_S)
        if path.endswith('rows-feed'):
            since = int(query['SinceRev'])
            wait_s = int(query['WaitMs']) / MS_PER_S
            changed = await self.rows.changes(query['Table'], since, wait_s)
        else:
            changed = list(self.rows.rows_by_id.values())
        body = {
            'Rows': [row.to_response() for row in changed],
            'HasMore': False,
            'RowVersion': self.rows.revision,
            'NowMs': asyncio.get_running_loop().time() * MS_PER_S,
        }
        return web.Response(
            body=orjson.dumps(body), headers={'Store-Era': str(self.rows.era)}
        )


def _has_configuration(vm: RelayingVm) -> bool:
    return bool(vm.view.active.current_version)


def _form_tree(vms: Sequence[RelayingVm], slow_mbps: float) -> None:
    """Give each VM but the first a parent, as full as its link bears."""
    orphans = iter(vms[1:])
    for place, vm in enumerate(vms):
        mbps = FAST_MBPS if place < FAST_VMS else slow_mbps
        limit = children_limit(ByteBudget(mbps).bytes_per_s)
        for child in itertools.islice(orphans, limit):
            child.parents = _relays(vms, vm)


def _relays(vms: Sequence[RelayingVm], parent: RelayingVm) -> tuple[str, ...]:
    """Return whom a child of a VM reads from, the nearest first."""
    root, backup = vms[0].address, vms[1].address
    if parent.address == root:
        return (root,)
    ancestors = (parent.address, *parent.parents[:1], root, backup)
    return tuple(dict.fromkeys(ancestors))
