"""A VM of the model of evacuations; the parts that decide are a router's."""

import asyncio
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, cast

from ..fleet.balancing import Balancer
from ..fleet.call import Call
from ..fleet.evacuation.guard import EvacuationGuard
from ..fleet.forwarding import EngineReach, Forwarder
from ..fleet.health import TargetHealth
from ..fleet.model import Service, Target
from ..fleet.relaying import RelayedTableSource, TableRelay
from ..fleet.routes import NO_WORKSPACE, Destination
from ..fleet.site_view import SiteView
from ..fleet.slotqueues import SlotQueues
from ..fleet.target_selector import TargetSelector
from ..fleet.waitqueue import NoFreeSlot
from ..process.clock import LoopClock
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from .defaults import no_costs, no_regions, unlimited_gate
from .fleetdata import call, route
from .modellinks import ModelSession
from .modelstore import CutStore
from .tablecopies import TableCopies

if TYPE_CHECKING:
    from .evacuationmodel import EvacuationModel

DOMAINS = ('fd-1', 'fd-2', 'fd-3')
EVACUATED = DOMAINS[0]
SERVICE = Service('ledger', 50)
HOLD_S = 0.8
MAX_WAIT_S = 0.14
# From a slot to the first byte at the engine.
SENDING_S = 0.05
NOTICE_S = 0.3


@dataclass(slots=True)
class ModelVm:
    """One VM; the parts that decide are those of a router."""

    site: 'EvacuationModel'
    address: str
    domain: str
    store: CutStore
    is_alive: bool = True
    is_silent: bool = False
    is_restarted: bool = False
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
        copies = TableCopies(
            self.store,
            ModelSession(self.site, self),
            lambda: self.site.relays(self),
            self._on_change,
        )
        self.tables = copies.tables
        self.view = copies.view
        self.relay = copies.relay
        self._choose_targets(copies.clock, copies.log)
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
            self.site.outcome.refused += 1
            return
        await asyncio.sleep(self.site.rng.random() * SENDING_S)
        self.site.outcome.note_arrival(
            target.failure_domain, is_in_touch=not self.store.is_cut
        )
        await asyncio.sleep(HOLD_S)
        self.slots.release(self.request, target)

    async def _acquire_slot(self) -> Target | None:
        if not self.selector.has_targets(self.request):
            return None
        while True:
            try:
                target = await self.slots.acquire(
                    self.request,
                    partial(self.selector.find, self.request),
                    MAX_WAIT_S,
                    partial(self.guard.refusal, self.request),
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
            self.site.outcome.heard_at_by_address.setdefault(self.address, now)
        self.slots.refuse_waiting()
        self.slots.grant_free_slots()

    def _choose_targets(self, clock: LoopClock, log: DecisionLog) -> None:
        site = self.site
        limits = unlimited_gate(site.counts, clock, len(site.vms))
        orders = cast(Any, None)
        reach = EngineReach(orders, site.directory, clock, log, self.domain)
        self.selector = TargetSelector(
            self.domain,
            site.directory,
            Balancer(site.counts.running, site.rng),
            TargetHealth(clock),
            limits,
            Forwarder(reach, cast(Any, None), self.domain),
            tuple,
            self.view.evacuations,
            no_regions(self.domain),
            no_costs(),
        )
        self.slots = SlotQueues(
            site.counts, clock, limits.note_send, no_costs()
        )
        self.guard = EvacuationGuard(self.selector, self.slots, Metrics())
        self.request = call()
        self.request.destination = Destination(route(), SERVICE, NO_WORKSPACE)
