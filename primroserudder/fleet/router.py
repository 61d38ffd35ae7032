"""Assembles, starts and stops the components of a router process."""

import asyncio
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from ..errors import RudderError
from ..httpclient import open_session
from ..intake import ConnectionRegister, DescriptorBudget, Surroundings
from ..platform import PlatformStore
from ..process.clock import Clock, SystemClock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from ..process.metrics import Metrics
from .callers import CallerHandler
from .configurationage import ConfigurationWatch
from .control_plane import (
    ControlPlane,
    RouterContext,
    build_control_plane,
    build_lease,
)
from .crashes.quarantine import Quarantine
from .crashes.strikestore import StrikeStore
from .enginelimits import LimitGate, build_limit_gate
from .forwarding import Forwarder, RouterPort
from .forwarding.assembly import build_forwarder
from .health import TargetHealth
from .membership import (
    Exchange,
    Facts,
    InFlightCounts,
    LimitReport,
    NodeRegistry,
    PeerAddresses,
    Strikes,
    build_exchange,
    short_key,
)
from .memory import ConnectionWatch, build_watch
from .poolmeter import PoolMeter
from .ports import Ports
from .relaying import RelayedTableSource, TableRelay
from .serverassembly import ControlFacts, assemble_server
from .serving import Server
from .settings import RouterSettings
from .silent_heads import SilentHeadDetector
from .site_view import SiteView
from .supervision import Supervisor
from .upgrades import build_name

# The balancer checks health once a second and acts after two equal results.
# What is taken later has too little of the grace period left to end.
DRAIN_NOTICE_S = 2.8
# Streams that still run are cut off this long before the process is killed.
EXIT_RESERVE_S = 0.4
# Time to write the responses of requests that are cut off.
LAST_RESPONSES_S = 0.1
# A pause between polls batches changes. The lease holder's pause is shorter
# because it waits for the effect of its orders.
FOLLOWER_FEED_PAUSE_S = 0.3
HOLDER_FEED_PAUSE_S = 0.03


@dataclass(slots=True)
class Router:
    """Router process of a VM.

    Explanation
    ===========
    Each router serves callers. The holder of the site's lease also manages
    the groups.
    """

    settings: RouterSettings
    clock: Clock = field(default_factory=SystemClock)
    metrics: Metrics = field(default_factory=Metrics)
    log: DecisionLog = field(init=False)
    store: PlatformStore = field(init=False)
    tables: RelayedTableSource = field(init=False)
    lease: Lease = field(init=False)
    in_flight_counts: InFlightCounts = field(init=False)
    limits: LimitGate = field(init=False)
    forwarder: Forwarder = field(init=False)
    view: SiteView = field(init=False)
    server: Server = field(init=False)
    exchange: Exchange = field(init=False)
    registry: NodeRegistry = field(init=False)
    control_plane: ControlPlane = field(init=False)
    pool_meter: PoolMeter = field(init=False)
    strike_store: StrikeStore = field(init=False)
    ports: Ports = field(init=False)
    watch: ConnectionWatch = field(init=False)
    register: ConnectionRegister = field(init=False)
    silent_head_detector: SilentHeadDetector = field(init=False)
    supervisor: Supervisor = field(init=False)
    _is_stopping: bool = False
    _traffic_seen: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Open the ports and start to follow the store's tables."""
        self._assemble()
        self.log.note(
            'start', domain=self.settings.failure_domain, build=build_name()
        )
        await self.ports.open()
        await self.exchange.start()
        self.supervisor.start(
            self.view.configurations.run(),
            self.view.engines.run(),
            self.view.nodes.run(),
            self.view.strikes.run(),
            self.server.quarantine.run(),
            self.strike_store.run(),
            self.exchange.run(),
            self.control_plane.election.run(),
            self.control_plane.reconciler.run(),
            self.silent_head_detector.run(),
            self.pool_meter.run(),
            self.registry.run(),
            self.forwarder.reach.run(),
            self.forwarder.peers.run(),
            self.watch.run(),
        )

    async def stop(self) -> None:
        """Stop accepting requests and drain the in-flight ones.

        Explanation
        ===========
        Requests that are still in flight when the grace period ends are cut
        off: their callers get a refusal, or the abort of a stream.
        """
        loop = asyncio.get_running_loop()
        exit_at = loop.time() + self.settings.grace_s - EXIT_RESERVE_S
        self._is_stopping = True
        handler = self.ports.handler
        handler.is_closing = True
        self.log.note('stop', under_way=handler.in_flight)
        await self._release_lease()
        await asyncio.sleep(DRAIN_NOTICE_S)
        await self.ports.close_to_callers()
        await self.ports.wait_until_idle(exit_at)
        cut = handler.in_flight
        handler.cutoff.reach()
        await self.ports.wait_until_idle(loop.time() + LAST_RESPONSES_S)
        self.log.note('stopped', cut=cut)

    async def close(self) -> None:
        """Cancel all tasks and close all connections immediately."""
        self._is_stopping = True
        self.ports.handler.cutoff.reach()
        await self.supervisor.close()
        self.exchange.stop()
        await self.ports.close()
        await self._close_clients()

    def is_ready(self) -> bool:
        """Return whether the router accepts new connections of callers."""
        return self.view.is_known() and not self._is_stopping

    def dump(self) -> Mapping[str, object]:
        """Return the state of the process for operators."""
        configuration = self.view.configuration()
        tenure = self.control_plane.reconciler.tenure
        return {
            'node': self.settings.node,
            'configuration': configuration and configuration.version,
            'engines': len(self.view.directory.engines_by_id),
            'unreadable_entries': sorted(self.view.directory.unreadable_ids),
            'unreadable_notices': self.exchange.unreadable_datagrams,
            'places': self.pool_meter.dump(),
            'running': dict(self.in_flight_counts.running_by_engine),
            'limits': self.limits.dump(),
            'evacuated': self.view.evacuations.dump(
                self.view.directory.engines_by_id.values()
            ),
            'cold_engines': self.limits.cold.dump(),
            'cold_looks_held_back': self.limits.cold.held_back,
            'costs': self.server.slots.costs.costs.dump(),
            'peers': sorted(self.exchange.links.by_address),
            'build': build_name(),
            'builds': self.registry.builds(),
            'notice_formats': self.exchange.links.formats(),
            'store_reachable': self.view.engines.is_reachable,
            'store_era': self.view.store_era(),
            'strikes': self.server.quarantine.strikes.shared(),
            'quarantined': self.server.quarantine.dump(),
            'engines_lost': self.forwarder.reach.is_cut_off,
            'routers_reaching': [
                target.address for target in self.forwarder.peers.targets()
            ],
            'lease_held': self.lease.is_held(),
            'groups': sorted(tenure.groups_by_name) if tenure else [],
            'memory': self.watch.dump(),
            'log_lines_dropped': self.log.dropped,
            'requests': self.ports.handler.endings.dump(),
            'violations': self.ports.handler.invariants.dump(),
            'metrics': self.metrics.dump(),
        }

    def _assemble(self) -> None:
        settings = self.settings
        self.log = DecisionLog(settings.node, self.clock)
        self.supervisor = Supervisor(self.log)
        self.watch = build_watch(settings.memory_mb, self.log, self.metrics)
        self.register = ConnectionRegister(self.watch.budget, self.metrics)
        self.watch.make_room = self.register.make_room
        store = PlatformStore(settings.store)
        self.store = store
        context = RouterContext(
            settings, store, self.clock, self.log, self.metrics
        )
        self.lease = build_lease(
            context, lambda: store.server_time_s, lambda: store.era
        )
        self.in_flight_counts = InFlightCounts()
        self.tables = RelayedTableSource(
            store,
            open_session(),
            self.clock,
            self.log,
            self._relay_candidates,
            lambda: self.lease.is_held() or self.exchange.is_settled(),
        )
        store.on_arrival = self.tables.client.note_arrival
        self.view = SiteView(
            self.tables,
            self.clock,
            self.log,
            self._feed_pause_s,
            self._on_view_change,
            self._traffic_seen.is_set,
        )
        peers = PeerAddresses(
            settings.exchange_endpoint, settings.failure_domain, settings.speed
        )
        self.limits = build_limit_gate(
            self.in_flight_counts,
            self.clock,
            peers.count,
            self.view.cold_engines,
            self.metrics,
        )
        self.exchange = build_exchange(
            settings.exchange_address,
            peers,
            self.clock,
            self.in_flight_counts,
            settings.link_mbps,
            self._own_facts,
            lambda: _strikes_to_tell(self.server.quarantine),
            LimitReport(
                self.limits.sent_by_key,
                self.limits.looks_by_key,
                self.limits.registry.news,
                self.limits.registry.merge,
                self.limits.cold.cold_by_key,
            ),
        )
        self.exchange.listeners.append(self._on_facts)
        self.registry = NodeRegistry(
            store,
            peers,
            self.view.nodes,
            self.log,
            settings.node,
            build_name(),
        )
        health = TargetHealth(self.clock)
        self.forwarder = build_forwarder(
            context, self.view.directory, peers, health.end_streams_at
        )
        self.control_plane = build_control_plane(
            context,
            self.view,
            self.lease,
            self._traffic_seen.is_set,
            self.exchange,
            self.forwarder,
            self.in_flight_counts,
        )
        self.pool_meter = PoolMeter(
            self.view.directory,
            self.in_flight_counts,
            self.control_plane.inventory.demand,
            self.clock,
            self.log,
            self.lease.is_held,
            self.view.evacuations,
        )
        self.server = assemble_server(
            context,
            self.view,
            self.in_flight_counts,
            self.limits,
            self.forwarder,
            health,
            ControlFacts(
                self._broken_groups,
                self.control_plane.reconciler.reachability.unreachable,
                self.lease.is_held,
            ),
        )
        self.strike_store = StrikeStore(
            store,
            self.view.strikes,
            self.server.quarantine.strikes,
            self.clock,
            self.log,
            self.exchange.rank,
            lambda: store.server_time_s,
        )
        self.silent_head_detector = SilentHeadDetector(
            self.server.runner.streams_by_head,
            self.server.health,
            self.control_plane.reconciler.probe_groups_of,
            self.control_plane.reconciler.reachability,
        )
        self._assemble_ports()

    def _assemble_ports(self) -> None:
        handler = CallerHandler(
            self.server,
            self.view.configuration,
            self.log,
            self.metrics,
            self._traffic_seen.set,
            self.watch,
            self.register,
            ConfigurationWatch(self.view, self.tables, self.clock).age,
        )
        descriptors = DescriptorBudget.of_process(self.settings.max_descriptors)
        self.register.surroundings = Surroundings(
            lambda connections: descriptors.excess(
                connections, len(handler.busy_connections)
            ),
            self.watch.note_pressure,
            self.watch.cut_unread,
            self.watch.cut_callers,
            descriptors.spare,
        )
        relay = TableRelay(
            self.view.followers_by_table,
            self.clock,
            lambda: self.tables.source_changed_at,
            self.tables.client.heard_at,
            self.tables.client.history,
        )
        self.ports = Ports(
            self.settings,
            handler,
            self.metrics,
            self.is_ready,
            self.dump,
            RouterPort(
                self.forwarder.reach,
                handler.serve_forwarded,
                relay.answer,
                self.is_ready,
                self.log,
            ),
        )

    def _on_view_change(self) -> None:
        if self.view.evacuations.domains:
            self.server.slots.refuse_waiting()
        self.server.slots.grant_free_slots()
        self.control_plane.reconciler.wake.set()

    def _relay_candidates(self) -> Sequence[str]:
        """Return the routers to read tables from, none for the holder."""
        if self.lease.is_held():
            return ()
        return self.exchange.tree.relays()

    def _feed_pause_s(self) -> float:
        return (
            HOLDER_FEED_PAUSE_S
            if self.lease.is_held()
            else FOLLOWER_FEED_PAUSE_S
        )

    def _broken_groups(self) -> Collection[int]:
        own = map(short_key, self.control_plane.reconciler.broken.names)
        return {*self.exchange.broken_groups(), *own}

    def _own_facts(self) -> Facts:
        broken = self.control_plane.reconciler.broken.names
        health = self.server.health
        facts = Facts(
            lease_claim=self.lease.claim,
            lease_given_up=self.lease.given_up,
            reaches_store=self.view.engines.is_reachable,
            has_traffic=self._traffic_seen.is_set(),
            store_era=self.view.store_era(),
            versions=dict(self.view.versions()),
            silent_heads=tuple(sorted(map(short_key, health.silent_heads))),
            broken_groups=tuple(sorted(map(short_key, broken))),
        )
        health.mark_groups_lost(facts.broken_groups)
        return facts

    def _on_facts(self, source: str, facts: Facts, strikes: Strikes) -> None:
        if facts.has_traffic:
            self._traffic_seen.set()
        self.server.quarantine.merge(source, strikes.struck, strikes.void)
        self.server.health.mark_groups_lost(facts.broken_groups)
        self.tables.note_peer_versions(facts.versions, facts.store_era)
        self.control_plane.election.on_facts(facts)
        self.control_plane.reconciler.probe_groups_of(facts.silent_heads)

    async def _close_clients(self) -> None:
        await self.server.runner.session.close()
        await self.forwarder.close()
        await self.control_plane.close()
        await self.tables.close()
        await self.store.close()

    async def _release_lease(self) -> None:
        try:
            await self.lease.release()
        except RudderError as error:
            self.log.note('lease_not_released', reason=str(error))


def _strikes_to_tell(quarantine: Quarantine) -> Strikes:
    strikes = quarantine.strikes
    return Strikes(strikes.shared(), strikes.shared_void())
