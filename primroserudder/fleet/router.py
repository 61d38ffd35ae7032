"""A router process: its parts, put together, started and stopped."""

import asyncio
import os
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, field

from loguru import logger

from ..errors import RudderError
from ..platform import PlatformStore, open_session
from ..process.clock import Clock, SystemClock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from ..process.metrics import Metrics
from .callers import CallerDoor
from .caretaking import (
    Caretaking,
    Surroundings,
    assemble_caretaking,
    make_lease,
)
from .exchange import Bulletin, Exchange
from .health import TargetHealth
from .loadbook import LoadBook
from .nodes import NodeRegistry
from .places import PlaceMeter
from .ports import Ports
from .repeating import RepeatBudgets
from .serving import Server
from .settings import RouterSettings
from .siteview import SiteView
from .silence import silent_heads
from .strikes import StrikeBook

# The balancer looks once a second and believes two looks.
CLOSING_NOTICE_S = 3.2
# Streams that still run are cut this long before the kill.
EXIT_RESERVE_S = 0.4
SILENCE_INTERVAL_S = 0.1
ENGINE_SESSION_TIMEOUT_S = 60.0


@dataclass(slots=True)
class Router:
    """One VM's process: serves callers, and keeps groups with the lease."""

    settings: RouterSettings
    clock: Clock = field(default_factory=SystemClock)
    metrics: Metrics = field(default_factory=Metrics)
    log: DecisionLog = field(init=False)
    store: PlatformStore = field(init=False)
    lease: Lease = field(init=False)
    book: LoadBook = field(init=False)
    view: SiteView = field(init=False)
    server: Server = field(init=False)
    exchange: Exchange = field(init=False)
    registry: NodeRegistry = field(init=False)
    care: Caretaking = field(init=False)
    meter: PlaceMeter = field(init=False)
    ports: Ports = field(init=False)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _is_stopping: bool = False
    _traffic: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Open ports and begin to follow the store."""
        self._assemble()
        self.log.note('start', domain=self.settings.failure_domain)
        await self.ports.open()
        await self.exchange.start()
        for work in (
            self.view.configurations.run(),
            self.view.engines.run(),
            self.exchange.run(),
            self.care.tenancy.run(),
            self.care.keeper.run(),
            self._watch_silence(),
            self.meter.run(),
            self.registry.run(),
        ):
            self._run(work)

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
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        self.exchange.stop()
        await self.ports.close()
        await self.server.session.close()
        await self.care.close()
        await self.store.close()

    def is_ready(self) -> bool:
        """Return whether new connections of callers are welcome."""
        return self.view.is_known() and not self._is_stopping

    def dump(self) -> Mapping[str, object]:
        """Return the state for whoever looks into the process."""
        configuration = self.view.configuration()
        tenure = self.care.keeper.tenure
        return {
            'node': self.settings.node,
            'configuration': configuration and configuration.version,
            'engines': len(self.view.directory.engines_by_id),
            'places': self.meter.dump(),
            'running': dict(self.book.running_by_engine),
            'peers': sorted(self.exchange.living()),
            'store_reachable': self.view.engines.is_reachable,
            'lease_held': self.lease.is_held(),
            'groups': sorted(tenure.standings_by_name) if tenure else [],
            'log_lines_dropped': self.log.dropped,
            'metrics': self.metrics.dump(),
        }

    def _assemble(self) -> None:
        settings = self.settings
        self.log = DecisionLog(settings.node, self.clock)
        store = PlatformStore(settings.store)
        self.store = store
        around = Surroundings(
            settings, store, self.clock, self.log, self.metrics
        )
        self.lease = make_lease(around)
        self.book = LoadBook(self.clock)
        self.view = SiteView(
            store, self.clock, self.log, self.lease.is_held, self._on_view
        )
        self.exchange = Exchange(
            settings.exchange_address, self.clock, self.book, self._bulletin
        )
        self.exchange.listeners.append(self._on_bulletin)
        self.registry = NodeRegistry(
            store, self.exchange, self.log, settings.node
        )
        self.care = assemble_caretaking(
            around, self.view, self.exchange, self.lease, self._traffic.is_set
        )
        self.meter = PlaceMeter(
            self.view.directory,
            self.book,
            self.care.stock.demand,
            self.clock,
            self.log,
            self.lease.is_held,
        )
        self._assemble_server()

    def _assemble_server(self) -> None:
        settings = self.settings
        repeats = settings.repeats
        self.server = Server(
            settings.failure_domain,
            open_session(ENGINE_SESSION_TIMEOUT_S),
            self.clock,
            self.view.directory,
            self.book,
            TargetHealth(self.clock),
            StrikeBook(),
            self.log,
            self.metrics,
            RepeatBudgets(repeats.ratio, repeats.extra, repeats.window_s),
            self.exchange.count_vms,
            self._broken_groups,
        )
        door = CallerDoor(
            self.server,
            self.view.configuration,
            self.log,
            self.metrics,
            self._traffic.set,
        )
        self.ports = Ports(
            settings, door, self.metrics, self.is_ready, self.dump
        )

    def _run(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.ensure_future(work)
        task.add_done_callback(self._on_task_end)
        self._tasks.append(task)

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self._is_stopping:
            return
        error = task.exception()
        logger.opt(exception=error).error('a task ended')
        self.log.note('task_ended', error=repr(error))
        # A process without one of its parts is worth less than a fresh one.
        os._exit(1)

    def _on_view(self) -> None:
        self.server.look()
        self.care.keeper.wake.set()

    def _broken_groups(self) -> set[str]:
        broken = set(self.care.keeper.broken_groups)
        for peer in self.exchange.living().values():
            broken.update(peer.bulletin.broken_groups)
        return broken

    def _bulletin(self, sequence: int) -> Bulletin:
        self.server.health.lose(self.care.keeper.broken_groups)
        return Bulletin(
            node=self.lease.holder,
            address=self.exchange.own_address,
            sequence=sequence,
            running=dict(self.book.running_by_engine),
            waiting=self.book.waiting_now(),
            silent_heads=tuple(sorted(self.server.health.silent)),
            broken_groups=self.care.keeper.broken_groups,
            lease_claim=self.lease.claim,
            struck=self.server.strikes.tell(),
            has_traffic=self._traffic.is_set(),
        )

    def _on_bulletin(self, bulletin: Bulletin) -> None:
        if bulletin.has_traffic:
            self._traffic.set()
        self.server.strikes.learn(bulletin.struck)
        self.server.health.lose(bulletin.broken_groups)
        self.care.tenancy.hear(bulletin)
        self.care.keeper.question(bulletin.silent_heads)

    async def _watch_silence(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SILENCE_INTERVAL_S)
            heads = silent_heads(self.server.watches_by_head, loop.time())
            self.server.health.silent = set(heads)
            self.care.keeper.question(heads)

    async def _give_lease_up(self) -> None:
        try:
            await self.lease.release()
        except RudderError as error:
            self.log.note('lease_not_released', reason=str(error))
