"""Many VMs of which a failure domain is evacuated, in virtual time.

Explanation
===========
Each VM follows the operators' table with the code of a router: its follower,
its relays, its view of the site, its choice of targets and its queues of
requests. The store, the links between VMs and the engines are plain models.
Nothing uses a network or the machine's clock.

The members of a failure domain read the table from each other along a tree, as
routers do, and notice after a while that one of them has died. Requests arrive
evenly in time at random VMs and hold a slot for a while. Without the evacuated
domain the site lacks slots.
"""

import asyncio
import enum
import random
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, cast

from aiohttp import ClientConnectionError, ClientTimeout, web

from ..fleet.balancing import Balancer
from ..fleet.call import Call
from ..fleet.directory import Directory
from ..fleet.enginelimits import LimitGate, LimitRegistry
from ..fleet.evacuation.guard import EvacuationGuard
from ..fleet.forwarding import EngineReach, Forwarder
from ..fleet.health import TargetHealth
from ..fleet.membership import InFlightCounts
from ..fleet.model import Engine, Service, Target
from ..fleet.relayedtables import RelayedTableSource
from ..fleet.routes import NO_WORKSPACE, Destination
from ..fleet.site_view import SiteView
from ..fleet.slotqueues import SlotQueues
from ..fleet.tablerelay import TableRelay
from ..fleet.target_selector import TargetSelector
from ..fleet.waitqueue import NoFreeSlot
from ..platform import decode_configuration
from ..process.clock import LoopClock
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from ..process.platform import PlatformUnavailable, Row
from ..process.tablepages import (
    Change,
    ChangePage,
    HistoryLost,
    StoreVersion,
    TablePage,
)
from ..standins.tablerows import RowsCopy, TableRows
from .fleetdata import call, route
from .platformsite import configuration

DOMAINS = ('fd-1', 'fd-2', 'fd-3')
EVACUATED = DOMAINS[0]
TABLE = 'op'
ROW_KEY = f'evacuate/{EVACUATED}'
SERVICE = Service('ledger', 50)

ENGINES_PER_DOMAIN = 8
SLOTS = 2
HOLD_S = 0.8
# Of the slots of all domains; two of three domains lack slots.
LOAD = 0.8
MAX_WAIT_S = 0.14
# From a slot to the first byte at the engine.
SENDING_S = 0.05
LINK_S = (0.002, 0.06)
STORE_CALL_S = (0.005, 0.15)
CHILDREN = 4
# A dead VM is replaced in the tree after this time.
TREE_REPAIR_S = 1.2
NOTICE_S = 0.3
FEED_PAUSE_S = 0.3
UNSTABLE_SHARE = 0.6
RESTORED_AFTER_S = 1.5
# From a restore that lost the row until operators write it again.
WRITTEN_AGAIN_S = (2.5, 3.5)

EVACUATED_AT_S = 4.0
REVOKED_AT_S = 11.0
END_S = 18.2
# Trouble begins within this time before or after the row is written.
TROUBLE_S = 1.0
# Rates are measured for so long.
RATE_WINDOW_S = 2.0
RETURN_S = 5.0


class Trouble(enum.Enum):
    """What happens about the time of the evacuation."""

    NONE = enum.auto()
    ROOT_DIES = enum.auto()
    RELAY_DIES = enum.auto()
    RELAY_SILENT = enum.auto()
    STORE_UNSTABLE = enum.auto()
    STORE_RESTORED = enum.auto()
    VM_STARTS = enum.auto()
    VM_OUT_OF_TOUCH = enum.auto()


class _SilentLog(DecisionLog):
    """Writes nothing."""

    def note(self, decision: str, **inputs: object) -> None:
        """Count the line."""
        self.written += 1


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an engine."""

    at: float
    domain: str
    is_in_touch: bool


@dataclass(slots=True)
class _Store:
    """The platform's store as a VM reads it."""

    rng: random.Random
    rows: TableRows = field(default_factory=TableRows)
    is_unstable: bool = False

    async def read_table(self, table: str) -> TablePage:
        """Return all rows."""
        await self._call()
        rows = tuple(
            Row(f'{table}/{key}', row.revision, self.rows.fields(table, key))
            for (of, key), row in self.rows.rows_by_id.items()
            if of == table
        )
        return TablePage(
            cast(Sequence[Row], rows), self.rows.revision, self.rows.era
        )

    async def changes(
        self, table: str, since: StoreVersion, wait_s: float
    ) -> ChangePage:
        """Return the changes after a version."""
        await self._call()
        rows = self.rows
        if not rows.truncated_revision <= since.revision <= rows.revision:
            raise HistoryLost('the history is gone')
        changed = await rows.changes(table, since.revision, wait_s)
        revision, era = rows.revision, rows.era
        await asyncio.sleep(self.rng.uniform(*STORE_CALL_S))
        changes = [
            Change(f'{table}/{row.key}', None)
            if row.value is None
            else Change(
                f'{table}/{row.key}',
                Row(f'{table}/{row.key}', row.revision, {'Version': 1}),
            )
            for row in changed
        ]
        return ChangePage(changes, revision, era=era)

    async def _call(self) -> None:
        await asyncio.sleep(self.rng.uniform(*STORE_CALL_S))
        if self.is_unstable and self.rng.random() < UNSTABLE_SHARE:
            raise PlatformUnavailable('the store is unstable')


@dataclass(slots=True)
class _CutStore:
    """The store as a VM sees it that may lose its links."""

    store: _Store
    is_cut: bool = False

    async def read_table(self, table: str) -> TablePage:
        """Return all rows."""
        self._check()
        return await self.store.read_table(table)

    async def changes(
        self, table: str, since: StoreVersion, wait_s: float
    ) -> ChangePage:
        """Return the changes after a version."""
        self._check()
        page = await self.store.changes(table, since, wait_s)
        self._check()
        return page

    def _check(self) -> None:
        if self.is_cut:
            raise PlatformUnavailable('no link to the store')


@dataclass(slots=True)
class _Request:
    """What a relay reads of a request."""

    path: str
    query: Mapping[str, str]


@dataclass(slots=True)
class _Body:
    octets: bytes

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield the whole body."""
        yield self.octets


@dataclass(slots=True)
class _Answer:
    """What a VM reads of a relay's answer."""

    status: int
    content: _Body


@dataclass(slots=True)
class _Exchange:
    """A request from one VM to another, as a context manager."""

    site: 'EvacuationModel'
    sender: 'ModelVm'
    url: str
    query: Mapping[str, str]
    timeout: ClientTimeout

    async def __aenter__(self) -> _Answer:
        """Return the answer of the other VM."""
        address, _, path = self.url.removeprefix('http://').partition('/')
        async with asyncio.timeout(self.timeout.total):
            await self._pass_link(address)
            relay = self.site.vms_by_address[address].relay
            request = _Request(f'/{path}', self.query)
            response = await relay.answer(cast(web.BaseRequest, request))
            await self._pass_link(address)
        body = getattr(response, 'body', b'') or b''
        return _Answer(response.status, _Body(body))

    async def __aexit__(self, *_: object) -> None:
        """Do nothing; the answer was read whole."""

    async def _pass_link(self, address: str) -> None:
        await asyncio.sleep(self.site.rng.uniform(*LINK_S))
        receiver = self.site.vms_by_address[address]
        if receiver.is_silent:
            await asyncio.sleep(END_S)
        is_cut = receiver.store.is_cut or self.sender.store.is_cut
        if is_cut or not receiver.is_alive:
            raise ClientConnectionError('no link')


@dataclass(slots=True)
class _Session:
    """Sends requests to other VMs of the model."""

    site: 'EvacuationModel'
    sender: 'ModelVm'

    def get(
        self, url: str, *, params: Mapping[str, str], timeout: ClientTimeout
    ) -> _Exchange:
        """Return the exchange of a request and its answer."""
        return _Exchange(self.site, self.sender, url, params, timeout)


@dataclass(slots=True)
class ModelVm:
    """One VM; the parts that decide are those of a router."""

    site: 'EvacuationModel'
    address: str
    domain: str
    store: _CutStore
    is_alive: bool = True
    is_silent: bool = False
    died_at: float = float('inf')
    tables: RelayedTableSource = field(init=False)
    view: SiteView = field(init=False)
    relay: TableRelay = field(init=False)
    selector: TargetSelector = field(init=False)
    slots: SlotQueues = field(init=False)
    guard: EvacuationGuard = field(init=False)
    request: Call = field(init=False)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Start as a new process."""
        clock = LoopClock()
        log = _SilentLog('vm', clock)
        self.tables = RelayedTableSource(
            self.store,
            cast(Any, _Session(self.site, self)),
            clock,
            log,
            lambda: self.site.relays(self),
        )
        self.view = SiteView(
            self.tables, clock, log, lambda: FEED_PAUSE_S, self._on_change
        )
        self.relay = TableRelay(
            self.view.followers_by_table,
            clock,
            lambda: self.tables.source_changed_at,
        )
        self._choose_targets(clock, log)
        self.tasks = [
            asyncio.ensure_future(self.view.configurations.run()),
            asyncio.ensure_future(self._hear_notices()),
        ]
        self.is_alive = True

    def stop(self) -> None:
        """End the process."""
        self.is_alive = False
        self.died_at = asyncio.get_running_loop().time()
        for task in self.tasks:
            task.cancel()

    @property
    def is_ready(self) -> bool:
        """Return whether the VM takes requests."""
        return self.is_alive and self.view.active.current is not None

    async def serve(self) -> None:
        """Serve one request, or refuse it."""
        target = await self._acquire_slot()
        if target is None:
            self.site.refused += 1
            return
        await asyncio.sleep(self.site.rng.random() * SENDING_S)
        self.site.note_arrival(self, target)
        await asyncio.sleep(HOLD_S)
        self.slots.release(self.request, target)

    async def _acquire_slot(self) -> Target | None:
        if not self.selector.has_targets(self.request):
            return None
        while True:
            try:
                target = await self.slots.acquire(
                    self.request,
                    lambda: self.selector.find(self.request),
                    MAX_WAIT_S,
                    lambda: self.guard.refusal(self.request),
                )
            except NoFreeSlot:
                return None
            if self.guard.may_send(self.request, target):
                return target

    async def _hear_notices(self) -> None:
        while True:
            await asyncio.sleep(NOTICE_S)
            for other in self.site.tree(self.domain)[:1]:
                if not self.store.is_cut:
                    self.tables.note_peer_versions(
                        other.view.versions(), other.view.store_era()
                    )

    def _on_change(self) -> None:
        if self.view.evacuations.is_evacuated(EVACUATED):
            now = asyncio.get_running_loop().time()
            self.site.heard_at_by_address.setdefault(self.address, now)
        self.slots.refuse_waiting()
        self.slots.grant_free_slots()

    def _choose_targets(self, clock: LoopClock, log: DecisionLog) -> None:
        site = self.site
        limits = LimitGate(
            LimitRegistry(clock), site.counts, clock, lambda: len(site.vms)
        )
        orders = cast(Any, None)
        reach = EngineReach(orders, site.directory, clock, log, self.domain)
        self.selector = TargetSelector(
            self.domain,
            site.directory,
            Balancer(site.counts.running, site.rng),
            TargetHealth(clock),
            limits,
            Forwarder(reach, cast(Any, None), self.domain),
            lambda: (),
            self.view.evacuations,
        )
        self.slots = SlotQueues(site.counts, clock, limits.note_send)
        self.guard = EvacuationGuard(self.selector, self.slots, Metrics())
        self.request = call()
        self.request.destination = Destination(route(), SERVICE, NO_WORKSPACE)


@dataclass(slots=True)
class EvacuationModel:
    """Plays an evacuation and its end; records what reached the engines."""

    vm_count: int
    seed: int
    trouble: Trouble
    rng: random.Random = field(init=False)
    store: _Store = field(init=False)
    vms: list[ModelVm] = field(default_factory=list)
    vms_by_address: dict[str, ModelVm] = field(default_factory=dict)
    counts: InFlightCounts = field(default_factory=InFlightCounts)
    directory: Directory = field(init=False)
    arrivals: list[Arrival] = field(default_factory=list)
    refused: int = 0
    heard_at_by_address: dict[str, float] = field(default_factory=dict)
    heard_within_s: float = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Create the store and the engines."""
        self.rng = random.Random(f'{self.vm_count}/{self.seed}')
        self.store = _Store(self.rng)
        self.store.rows.put(TABLE, 'config', configuration())
        self.directory = _directory()

    async def play(self) -> None:
        """Play the whole model."""
        for number in range(self.vm_count):
            vm = ModelVm(
                self,
                f'vm-{number}:1',
                DOMAINS[number % len(DOMAINS)],
                _CutStore(self.store),
            )
            self.vms.append(vm)
            self.vms_by_address[vm.address] = vm
            vm.start()
        load = asyncio.ensure_future(self._send_requests())
        await asyncio.sleep(EVACUATED_AT_S - TROUBLE_S)
        trouble = asyncio.ensure_future(self._make_trouble())
        await asyncio.sleep(TROUBLE_S)
        self.store.rows.put(TABLE, ROW_KEY, {})
        await asyncio.sleep(REVOKED_AT_S - EVACUATED_AT_S)
        await trouble
        self.store.rows.remove(TABLE, ROW_KEY)
        await asyncio.sleep(END_S - REVOKED_AT_S)
        load.cancel()
        self.heard_within_s = self._heard_within_s()
        for vm in self.vms:
            vm.stop()

    def relays(self, vm: ModelVm) -> Sequence[str]:
        """Return the VMs that a VM reads the table from, nearest first."""
        tree = self.tree(vm.domain)
        if vm not in tree:
            return ()
        place = tree.index(vm)
        ancestors = []
        while place:
            place = (place - 1) // CHILDREN
            ancestors.append(tree[place].address)
        backup = [tree[1].address] if tree.index(vm) > 1 else []
        return tuple(dict.fromkeys((*ancestors[:2], *ancestors[-1:], *backup)))

    def tree(self, domain: str) -> Sequence[ModelVm]:
        """Return the VMs of a domain's tree in order, the root first."""
        known_until = asyncio.get_running_loop().time() - TREE_REPAIR_S
        return [
            vm
            for vm in self.vms
            if vm.domain == domain and (vm.is_alive or vm.died_at > known_until)
        ]

    def note_arrival(self, vm: ModelVm, target: Target) -> None:
        """Record a request that reached an engine."""
        now = asyncio.get_running_loop().time()
        self.arrivals.append(
            Arrival(now, target.failure_domain, not vm.store.is_cut)
        )

    def latest_s(self) -> float:
        """Return how long after the row requests reached the domain.

        Explanation
        ===========
        In seconds; zero if none did. VMs out of touch don't count.
        """
        return max(
            (
                arrival.at - EVACUATED_AT_S
                for arrival in self.arrivals
                if arrival.domain == EVACUATED
                and arrival.is_in_touch
                and EVACUATED_AT_S <= arrival.at < REVOKED_AT_S
            ),
            default=0,
        )

    def served(self, since: float, until: float) -> int:
        """Return how many requests reached engines in a time."""
        return sum(since <= arrival.at < until for arrival in self.arrivals)

    def served_share_after(self) -> float:
        """Return the rate after the return as a share of that before."""
        since = REVOKED_AT_S + RETURN_S
        after = self.served(since, since + RATE_WINDOW_S)
        return after / self._served_before()

    def served_share_meanwhile(self) -> float:
        """Return the rate during the evacuation as a share of that before."""
        meanwhile = self.served(REVOKED_AT_S - RATE_WINDOW_S, REVOKED_AT_S)
        return meanwhile / self._served_before()

    def _heard_within_s(self) -> float:
        """Return in what time the last VM heard of the row, in seconds.

        Explanation
        ===========
        VMs out of touch, and those that stopped meanwhile, don't count.
        """
        heard_at = [
            self.heard_at_by_address.get(vm.address, float('inf'))
            for vm in self.vms
            if vm.died_at > END_S and not vm.store.is_cut
        ]
        return max(heard_at, default=EVACUATED_AT_S) - EVACUATED_AT_S

    def _served_before(self) -> int:
        until = EVACUATED_AT_S - TROUBLE_S
        return self.served(until - RATE_WINDOW_S, until)

    async def _send_requests(self) -> None:
        slots = len(DOMAINS) * ENGINES_PER_DOMAIN * SLOTS
        interval_s = HOLD_S / (LOAD * slots)
        while True:
            ready = [vm for vm in self.vms if vm.is_ready]
            if ready:
                task = asyncio.ensure_future(self.rng.choice(ready).serve())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(interval_s)

    async def _make_trouble(self) -> None:
        """Make the trouble about the time of the row."""
        await asyncio.sleep(self.rng.uniform(0, 2 * TROUBLE_S))
        tree = self.tree(self.rng.choice(DOMAINS[: self.vm_count]))
        match self.trouble:
            case Trouble.ROOT_DIES if len(tree) > 1:
                tree[0].stop()
            case Trouble.RELAY_DIES if len(tree) > 1:
                tree[1].stop()
            case Trouble.RELAY_SILENT:
                tree[0].is_silent = True
            case Trouble.STORE_UNSTABLE:
                await self._make_store_unstable()
            case Trouble.STORE_RESTORED:
                await self._restore_store()
            case Trouble.VM_STARTS:
                await self._start_again(self.rng.choice(tree))
            case Trouble.VM_OUT_OF_TOUCH if len(self.vms) > 1:
                self.rng.choice(self.vms).store.is_cut = True
            case _:
                return

    async def _make_store_unstable(self) -> None:
        self.store.is_unstable = True
        await asyncio.sleep(self.rng.uniform(1, 4))
        self.store.is_unstable = False

    async def _restore_store(self) -> None:
        """Lose the row, which operators then write again."""
        await asyncio.sleep(RESTORED_AFTER_S)
        rows = self.store.rows
        kept = {
            row_id: row
            for row_id, row in rows.rows_by_id.items()
            if row_id[1] == 'config'
        }
        rows.restore(RowsCopy(kept, min(row.revision for row in kept.values())))
        await asyncio.sleep(self.rng.uniform(*WRITTEN_AGAIN_S))
        rows.put(TABLE, ROW_KEY, {})

    async def _start_again(self, vm: ModelVm) -> None:
        vm.stop()
        await asyncio.sleep(self.rng.uniform(0, 2))
        vm.start()


def _directory() -> Directory:
    engines = {
        f'{domain}-{number}': Engine(
            f'{domain}-{number}', SERVICE.name, 'address', domain, SLOTS
        )
        for domain in DOMAINS
        for number in range(ENGINES_PER_DOMAIN)
    }
    directory = Directory(lambda engine_id, _: engines.get(engine_id))
    rows = {
        f'servers/{engine_id}': Row(f'servers/{engine_id}', 1, {})
        for engine_id in engines
    }
    directory.update(rows, decode_configuration(configuration()))
    return directory
