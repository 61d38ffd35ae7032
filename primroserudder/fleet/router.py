"""A router process: its parts, put together, started and stopped."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..errors import RudderError
from ..platform import PlatformStore, open_session
from ..process.clock import Clock, SystemClock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from ..process.metrics import Metrics
from .callers import CallerDoor
from .peeraddresses import PeerAddresses
from .control_plane import (
    ControlPlane,
    RouterContext,
    build_control_plane,
    build_lease,
)
from .exchange import Exchange
from .in_flight import InFlightCounts
from .nodes import NodeRegistry
from .notice import Notice
from .poolmeter import PoolMeter
from .ports import Ports
from .relayedtables import RelayedTableSource
from .serverparts import assemble_server
from .serving import Server
from .settings import RouterSettings
from .silent_heads import SilentHeadDetector
from .site_view import SiteView
from .supervision import Supervisor
from .tablerelay import TableRelay

# The balancer looks once a second and believes two looks.
CLOSING_NOTICE_S = 3.2
# Streams that still run are cut this long before the kill.
EXIT_RESERVE_S = 0.4
# Changes gather for so long; the lease's holder waits for its orders' effect.
FEED_PAUSE_S = 0.3
HOLDER_PAUSE_S = 0.03


@dataclass(slots=True)
class Router:
    """One VM's process: serves callers, and keeps groups with the lease."""

    settings: RouterSettings
    clock: Clock = field(default_factory=SystemClock)
    metrics: Metrics = field(default_factory=Metrics)
    log: DecisionLog = field(init=False)
    store: PlatformStore = field(init=False)
    tables: RelayedTableSource = field(init=False)
    lease: Lease = field(init=False)
    book: InFlightCounts = field(init=False)
    view: SiteView = field(init=False)
    server: Server = field(init=False)
    exchange: Exchange = field(init=False)
    registry: NodeRegistry = field(init=False)
    care: ControlPlane = field(init=False)
    meter: PoolMeter = field(init=False)
    ports: Ports = field(init=False)
    silence: SilentHeadDetector = field(init=False)
    tasks: Supervisor = field(init=False)
    _is_stopping: bool = False
    _traffic: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Open ports and begin to follow the store."""
        self._assemble()
        self.log.note('start', domain=self.settings.failure_domain)
        await self.ports.open()
        await self.exchange.start()
        self.tasks.start(
            self.view.configurations.run(),
            self.view.engines.run(),
            self.view.nodes.run(),
            self.exchange.run(),
            self.care.election.run(),
            self.care.reconciler.run(),
            self.silence.run(),
            self.meter.run(),
            self.registry.run(),
        )

    async def stop(self) -> None:
        """Tell callers to go elsewhere, end what runs, and close."""
        loop = asyncio.get_running_loop()
        exit_at = loop.time() + self.settings.grace_s - EXIT_RESERVE_S
        self._is_stopping = True
        door = self.ports.door
        door.is_closing = True
        self.log.note('stop', under_way=door.under_way)
        await self._give_lease_up()
        await asyncio.sleep(CLOSING_NOTICE_S)
        await self.ports.close_to_callers()
        await self.ports.wait_until_idle(exit_at)
        self.log.note('stopped', cut=door.under_way)

    async def close(self) -> None:
        """End all tasks and close what is open, without notice."""
        self._is_stopping = True
        await self.tasks.close()
        self.exchange.stop()
        await self.ports.close()
        await self.server.session.close()
        await self.care.close()
        await self.tables.close()
        await self.store.close()

    def is_ready(self) -> bool:
        """Return whether new connections of callers are welcome."""
        return self.view.is_known() and not self._is_stopping

    def dump(self) -> Mapping[str, object]:
        """Return the state for whoever looks into the process."""
        configuration = self.view.configuration()
        tenure = self.care.reconciler.tenure
        return {
            'node': self.settings.node,
            'configuration': configuration and configuration.version,
            'engines': len(self.view.directory.engines_by_id),
            'unreadable_entries': sorted(self.view.directory.unreadable_ids),
            'unreadable_notices': self.exchange.unreadable_datagrams,
            'places': self.meter.dump(),
            'running': dict(self.book.running_by_engine),
            'peers': sorted(self.exchange.received_by_source),
            'store_reachable': self.view.engines.is_reachable,
            'lease_held': self.lease.is_held(),
            'groups': sorted(tenure.groups_by_name) if tenure else [],
            'log_lines_dropped': self.log.dropped,
            'metrics': self.metrics.dump(),
        }

    def _assemble(self) -> None:
        settings = self.settings
        self.log = DecisionLog(settings.node, self.clock)
        self.tasks = Supervisor(self.log)
        store = PlatformStore(settings.store)
        self.store = store
        around = RouterContext(
            settings, store, self.clock, self.log, self.metrics
        )
        self.lease = build_lease(around, lambda: store.server_time_s)
        self.book = InFlightCounts(self.clock)
        self.tables = RelayedTableSource(
            store, open_session(), self.clock, self.log, self._relays
        )
        self.view = SiteView(
            self.tables, self.clock, self.log, self._feed_pause_s, self._on_view
        )
        peers = PeerAddresses(settings.exchange_name, settings.failure_domain)
        self.exchange = Exchange(
            settings.exchange_address,
            peers,
            self.clock,
            self.book,
            self._notice,
        )
        self.exchange.listeners.append(self._on_notice)
        self.registry = NodeRegistry(
            store, peers, self.view.nodes, self.log, settings.node
        )
        self.care = build_control_plane(
            around,
            self.view,
            self.lease,
            self._traffic.is_set,
            self.exchange,
        )
        self.meter = PoolMeter(
            self.view.directory,
            self.book,
            self.care.inventory.demand,
            self.clock,
            self.log,
            self.lease.is_held,
        )
        self.server = assemble_server(
            around, self.view, self.book, peers, self._broken_groups
        )
        self.silence = SilentHeadDetector(
            self.server.streams_by_head,
            self.server.health,
            self.care.reconciler.probe_groups_of,
            self.care.reconciler.reachability,
        )
        self._assemble_ports()

    def _assemble_ports(self) -> None:
        door = CallerDoor(
            self.server,
            self.view.configuration,
            self.log,
            self.metrics,
            self._traffic.set,
        )
        relay = TableRelay(
            self.view.followers_by_table,
            self.clock,
            lambda: self.tables.source_changed_at,
        )
        self.ports = Ports(
            self.settings, door, self.metrics, self.is_ready, self.dump, relay
        )

    def _on_view(self) -> None:
        self.server.grant_free_slots()
        self.care.reconciler.wake.set()

    def _relays(self) -> Sequence[str]:
        """Return who reads the store for this VM, none if it does itself."""
        if self.lease.is_held():
            return ()
        return self.exchange.neighbours_before()

    def _feed_pause_s(self) -> float:
        return HOLDER_PAUSE_S if self.lease.is_held() else FEED_PAUSE_S

    def _broken_groups(self) -> set[str]:
        broken = set(self.care.reconciler.broken_groups)
        for notice in self.exchange.living():
            broken.update(notice.broken_groups)
        return broken

    def _notice(self, sequence: int) -> Notice:
        self.server.health.mark_groups_lost(self.care.reconciler.broken_groups)
        return Notice(
            node=self.lease.holder,
            failure_domain=self.settings.failure_domain,
            address=self.settings.exchange_name,
            sequence=sequence,
            running=dict(self.book.running_by_engine),
            waiting=self.book.waiting_now(),
            silent_heads=tuple(sorted(self.server.health.silent_heads)),
            broken_groups=self.care.reconciler.broken_groups,
            lease_claim=self.lease.claim,
            lease_given_up=self.lease.given_up,
            reaches_store=self.view.engines.is_reachable,
            struck=self.server.strikes.recent(),
            has_traffic=self._traffic.is_set(),
            versions=self.view.versions(),
        )

    def _on_notice(self, notice: Notice) -> None:
        if notice.has_traffic:
            self._traffic.set()
        self.server.strikes.merge(notice.struck)
        self.server.health.mark_groups_lost(notice.broken_groups)
        self.tables.note_peer_versions(notice.versions)
        self.care.election.on_notice(notice)
        self.care.reconciler.probe_groups_of(notice.silent_heads)

    async def _give_lease_up(self) -> None:
        try:
            await self.lease.release()
        except RudderError as error:
            self.log.note('lease_not_released', reason=str(error))
