"""Forms, opens, repairs and dissolves groups while it holds the lease."""

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from ..process.platform import Conflict, OutcomeUnknown, PlatformUnavailable
from .actions import Join, Order, Release
from .directory import Directory
from .engine_inventory import EngineInventory
from .group_lifecycle import EngineSnapshot, GroupProgress, next_actions
from .model import Configuration, EngineSpec, Formation
from .order_sender import OrderSender
from .placement import FreeEngine, plan_groups, plan_staging
from .preloading import plan_loads
from .reachability import ReachabilityTracker
from .tenure import MakeTenure, Tenure

ROUND_INTERVAL_S = 0.1

Released = Sequence[tuple[GroupProgress, Release]]


@dataclass(slots=True)
class GroupReconciler:
    """The lease holder's care for all groups of the site."""

    lease: Lease
    make_tenure: MakeTenure
    sender: OrderSender
    reachability: ReachabilityTracker
    inventory: EngineInventory
    directory: Directory
    configuration: Callable[[], Configuration | None]
    clock: Clock
    log: DecisionLog
    stall_s: float
    wake: asyncio.Event
    tenure: Tenure | None = None
    broken_groups: tuple[str, ...] = field(default=())

    async def run(self) -> None:
        """Keep the groups until cancelled."""
        while True:
            if self.lease.is_held() and self.directory.engines_by_id:
                await self._round(self._current_tenure())
            elif self.tenure is not None:
                self._end_tenure(self.tenure)
            self.wake.clear()
            await _wait_at_most(self.wake, ROUND_INTERVAL_S)

    def probe_groups_of(self, heads: Collection[str]) -> None:
        """Ask the members of silent heads' groups whether they live."""
        if self.tenure is None or not self.lease.is_held():
            return
        for standing in self.tenure.groups_by_name.values():
            formation = standing.formation
            if formation.head in heads and not standing.is_dissolving:
                self.reachability.probe(
                    f'group {formation.name}', formation.members
                )

    def _current_tenure(self) -> Tenure:
        fencing = self.lease.fencing
        if self.tenure is None or self.tenure.fencing != fencing:
            self.tenure = self.make_tenure(fencing)
            self.log.note('tenure_begun', fencing=fencing)
        return self.tenure

    def _end_tenure(self, tenure: Tenure) -> None:
        self.log.note('tenure_lost', fencing=tenure.fencing)
        self.tenure = None
        self.broken_groups = ()

    async def _round(self, tenure: Tenure) -> None:
        try:
            if not tenure.is_loaded:
                await tenure.load()
            await self._tend(tenure)
        except (Conflict, OutcomeUnknown, PlatformUnavailable) as error:
            # What took effect is read again before anything is decided.
            tenure.is_loaded = False
            self.log.note('claims_unsure', reason=str(error))

    async def _tend(self, tenure: Tenure) -> None:
        self.inventory.note_growth()
        tenure.dissolve_unclaimed(self.directory)
        released = self._order_needs(tenure)
        self._tell_broken(tenure)
        await self._replace(tenure, released)

    def _order_needs(self, tenure: Tenure) -> Released:
        """Give the orders that groups need; return those to be released."""
        sight = EngineSnapshot(
            self.directory.engines_by_id,
            self.reachability.unreachable(),
            self.stall_s,
            self.clock.monotonic(),
        )
        needs = [
            (claimed, wanted)
            for claimed in tenure.groups_by_name.values()
            for wanted in next_actions(claimed, sight)
        ]
        for ordered, order in needs:
            if not isinstance(order, Release) and self._may_give(
                order, ordered
            ):
                self.sender.send(order, ordered)
        return [
            (standing, need)
            for standing, need in needs
            if isinstance(need, Release)
        ]

    def _may_give(self, need: Order, standing: GroupProgress) -> bool:
        if not self.sender.is_due(need):
            return False
        if not isinstance(need, Join):
            return True
        spec = self._spec(need.engine.service)
        return spec is not None and self.inventory.may_join(
            need.engine, standing.formation, spec
        )

    def _tell_broken(self, tenure: Tenure) -> None:
        self.broken_groups = tuple(
            name
            for name, standing in tenure.groups_by_name.items()
            if standing.is_dissolving and not standing.is_graceful
        )

    async def _replace(
        self,
        tenure: Tenure,
        released: Released,
    ) -> None:
        gone = {standing.formation.name for standing, _ in released}
        staying = [
            standing
            for name, standing in tenure.groups_by_name.items()
            if name not in gone
        ]
        free_by_service = self.inventory.free_by_service(
            staying, self.reachability.unreachable(), self._spec
        )
        made = [
            formation
            for service, free in free_by_service.items()
            for formation in self._plan(tenure, staying, service, free)
        ]
        if gone or made:
            engines = self.directory.engines_by_id
            if await tenure.replace(released, made, engines):
                self.wake.set()
        self._prepare_spares(tenure, free_by_service, made)

    def _prepare_spares(
        self,
        tenure: Tenure,
        free_by_service: Mapping[str, Collection[FreeEngine]],
        made: Collection[Formation],
    ) -> None:
        taken = {one for formation in made for one in formation.members}
        for service, free in free_by_service.items():
            spares = [one for one in free if one.engine.engine_id not in taken]
            self._prepare(tenure, service, spares)

    def _plan(
        self,
        tenure: Tenure,
        staying: Collection[GroupProgress],
        service: str,
        free: Collection[FreeEngine],
    ) -> list[Formation]:
        spec = self._spec(service)
        if spec is None:
            return []
        planned = plan_groups(
            free,
            tuple(spec.models_by_name.values()),
            self.inventory.balance(staying, service, spec),
            lambda domain: self.inventory.is_settled(domain, staying),
        )
        return [
            tenure.next_formation(
                group.model.name,
                tuple(engine.engine_id for engine in group.members),
            )
            for group in planned
        ]

    def _prepare(
        self,
        tenure: Tenure,
        service: str,
        spares: Collection[FreeEngine],
    ) -> None:
        """Let spare engines load what the next losses will need."""
        spec = self._spec(service)
        if spec is None:
            return
        specs = tuple(spec.models_by_name.values())
        standings = tuple(tenure.groups_by_name.values())
        loads = plan_loads(
            spares,
            lambda domain: self.inventory.members_in(domain, standings),
            specs,
            self.inventory.balance(standings, service, spec),
            has_traffic=self.inventory.has_traffic(),
        )
        for load in loads:
            if self.inventory.may_load(load.engine, spec, load.model):
                members = (load.engine.engine_id,)
                formation = tenure.next_formation(
                    load.model.name, members, is_standby=True
                )
                self.sender.preload(load.engine, formation)
        if loads:
            return
        for engine, model in plan_staging(spares, specs):
            if self.inventory.may_load(engine, spec, model):
                self.sender.stage(engine, model.name)

    def _spec(self, service: str) -> EngineSpec | None:
        configuration = self.configuration()
        if configuration is None:
            return None
        known = configuration.services_by_name.get(service)
        return known.engine if known else None


async def _wait_at_most(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
