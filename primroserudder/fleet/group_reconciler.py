"""Forms, opens, repairs and dissolves groups while it holds the lease."""

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from ..process.loops import wait_at_most
from ..process.platform import (
    CallRefused,
    Conflict,
    OutcomeUnknown,
    PlatformUnavailable,
)
from .actions import Join, Order, Release
from .brokengroups import BrokenGroups
from .claimconflicts import HeldEngines, held_engines
from .directory import Directory
from .engine_inventory import EngineInventory
from .group_lifecycle import EngineSnapshot, GroupProgress, next_actions
from .latertenures import LaterTenures
from .membership import short_key
from .model import Configuration, EngineSpec, Formation
from .order_sender import OrderSender
from .placement import FreeEngine, plan_groups, plan_staging
from .preloading import plan_loads
from .reachability import ReachabilityTracker
from .rebalancing import Rebalancer
from .tenure import Tenure, TenureFactory

ROUND_INTERVAL_S = 0.1
# A change of the lease ends this wait; it is there for a missed one.
IDLE_INTERVAL_S = 1.0
# The store refuses the same call again, so that claims are planned anew later.
REFUSED_PAUSE_S = 5.0

ReleasedGroups = Sequence[tuple[GroupProgress, Release]]


@dataclass(slots=True)
class GroupReconciler:
    """Reconciles all groups of the site while this VM holds the lease."""

    lease: Lease
    make_tenure: TenureFactory
    sender: OrderSender
    reachability: ReachabilityTracker
    inventory: EngineInventory
    rebalancer: Rebalancer
    directory: Directory
    configuration: Callable[[], Configuration | None]
    clock: Clock
    log: DecisionLog
    stall_s: float
    wake: asyncio.Event
    later: LaterTenures
    tenure: Tenure | None = None
    broken: BrokenGroups = field(default_factory=BrokenGroups)
    last_groups_by_name: Mapping[str, GroupProgress] = field(
        default_factory=dict
    )
    _last_tenure: Tenure | None = None
    _refused_until: float = float('-inf')

    async def run(self) -> None:
        """Reconcile the groups until cancelled."""
        while True:
            if self.lease.is_held() and self.directory.engines_by_id:
                await self._run_round(self._current_tenure())
            elif self.tenure is not None:
                self._end_tenure(self.tenure)
            self.wake.clear()
            is_held = self.lease.is_held()
            pause_s = ROUND_INTERVAL_S if is_held else IDLE_INTERVAL_S
            await wait_at_most(self.wake, pause_s)

    def probe_groups_of(self, head_keys: Collection[int]) -> None:
        """Probe the members of the groups of silent heads, given by key."""
        if not head_keys or self.tenure is None or not self.lease.is_held():
            return
        for progress in self.tenure.groups_by_name.values():
            formation = progress.formation
            is_silent = short_key(formation.head) in head_keys
            if is_silent and not progress.is_dissolving:
                self.reachability.probe(
                    f'group {formation.name}', formation.members
                )

    def _current_tenure(self) -> Tenure:
        fencing = self.lease.fencing
        if self.tenure is None or self.tenure.fencing != fencing:
            tenure = self.make_tenure(fencing, self.directory, self._group_size)
            last = self._last_tenure
            if last is not None and last.fencing == fencing:
                # A late renewal resumes the tenure; engines know its epochs.
                tenure.epoch_count = last.epoch_count
            if self.lease.has_survived_restore:
                tenure.inherited = self.last_groups_by_name
            self.tenure = tenure
            self.log.note(
                'tenure_begun',
                fencing=fencing,
                after_restore=self.lease.is_after_restore,
            )
        return self.tenure

    def _end_tenure(self, tenure: Tenure) -> None:
        self.log.note('tenure_lost', fencing=tenure.fencing)
        self._last_tenure = tenure
        self.tenure = None
        self.broken.clear()

    async def _run_round(self, tenure: Tenure) -> None:
        try:
            if not tenure.is_loaded:
                await tenure.load()
            await self._reconcile_groups(tenure)
        except (Conflict, OutcomeUnknown, PlatformUnavailable) as error:
            # The stored claims are uncertain: they are read again before the
            # next decision.
            tenure.is_loaded = False
            self.log.note('claims_unsure', reason=str(error))
        except CallRefused as error:
            # Nothing of that call was written, so that the claims are known.
            self._refused_until = self.clock.monotonic() + REFUSED_PAUSE_S
            tenure.metrics.count('claims_refused')
            self.log.note('claims_refused', reason=str(error))

    async def _reconcile_groups(self, tenure: Tenure) -> None:
        refused = self.sender.joins.take_refused()
        self.later.note_refusals(refused, tenure.fencing)
        self.inventory.note_growth()
        tenure.dissolve_unclaimed()
        held = held_engines(tenure.groups_by_name)
        if held.shared_ids:
            tenure.dissolve_conflicting()
        self.last_groups_by_name = tenure.groups_by_name
        released = self._send_due_orders(tenure, held)
        self._update_broken_groups(tenure)
        if self.clock.monotonic() >= self._refused_until:
            await self._replace(tenure, released)

    def _send_due_orders(
        self, tenure: Tenure, held: HeldEngines
    ) -> ReleasedGroups:
        """Send the orders that are due; return the groups to be released."""
        snapshot = EngineSnapshot(
            self.directory.engines_by_id,
            self.reachability.unreachable(),
            self.stall_s,
            self.clock.monotonic(),
        )
        actions = [
            (progress, action)
            for progress in tenure.groups_by_name.values()
            for action in next_actions(progress, snapshot)
        ]
        for group, order in actions:
            if isinstance(order, Release):
                continue
            if self._may_send(order, group, held):
                self.sender.send(order, group)
        return [
            (progress, action)
            for progress, action in actions
            if isinstance(action, Release)
        ]

    def _may_send(
        self, action: Order, progress: GroupProgress, held: HeldEngines
    ) -> bool:
        if not self.sender.is_due(action):
            return False
        if not isinstance(action, Join):
            return True
        if not held.may_join(action.engine, progress.formation):
            self.sender.metrics.count('joins_withheld')
            return False
        spec = self._spec(action.engine.service)
        return spec is not None and self.inventory.try_begin_join(
            action.engine, progress.formation, spec
        )

    def _update_broken_groups(self, tenure: Tenure) -> None:
        now = self.clock.monotonic()
        groups = tenure.groups_by_name
        self.broken.update(
            groups.keys(),
            [name for name, group in groups.items() if group.is_broken(now)],
            now,
        )

    async def _replace(
        self,
        tenure: Tenure,
        released: ReleasedGroups,
    ) -> None:
        released_names = {progress.formation.name for progress, _ in released}
        remaining = [
            progress
            for name, progress in tenure.groups_by_name.items()
            if name not in released_names
        ]
        free_by_service = self.inventory.free_by_service(
            remaining,
            self.reachability.unreachable() | self.later.refusing_ids(),
            self._spec,
        )
        new_formations = [
            formation
            for service, free in free_by_service.items()
            for formation in self._plan_formations(
                tenure, remaining, service, free
            )
        ]
        if released_names or new_formations:
            engines = self.directory.engines_by_id
            if await tenure.replace(released, new_formations, engines):
                self.wake.set()
        self._preload_spares(tenure, free_by_service, new_formations)
        if not new_formations:
            self.rebalancer.run(
                tuple(tenure.groups_by_name.values()),
                free_by_service,
                self.configuration(),
            )

    def _preload_spares(
        self,
        tenure: Tenure,
        free_by_service: Mapping[str, Collection[FreeEngine]],
        new_formations: Collection[Formation],
    ) -> None:
        claimed_ids = {
            member
            for formation in new_formations
            for member in formation.members
        }
        for service, free in free_by_service.items():
            spares = [
                spare
                for spare in free
                if spare.engine.engine_id not in claimed_ids
            ]
            self._preload(tenure, service, spares)

    def _plan_formations(
        self,
        tenure: Tenure,
        remaining: Collection[GroupProgress],
        service: str,
        free: Collection[FreeEngine],
    ) -> list[Formation]:
        spec = self._spec(service)
        if spec is None:
            return []
        planned = plan_groups(
            free,
            tuple(spec.models_by_name.values()),
            self.inventory.balance(remaining, service, spec),
            lambda domain: self.inventory.is_settled(domain, remaining),
        )
        return [
            tenure.next_formation(
                group.model.name,
                tuple(engine.engine_id for engine in group.members),
            )
            for group in planned
        ]

    def _preload(
        self,
        tenure: Tenure,
        service: str,
        spares: Collection[FreeEngine],
    ) -> None:
        """Order spare engines to load models for later repairs."""
        spec = self._spec(service)
        if spec is None:
            return
        specs = tuple(spec.models_by_name.values())
        groups = tuple(tenure.groups_by_name.values())
        loads = plan_loads(
            spares,
            lambda domain: self.inventory.members_in(domain, groups),
            specs,
            self.inventory.balance(groups, service, spec),
            has_traffic=self.inventory.has_traffic(),
        )
        for load in loads:
            if self.inventory.try_begin_load(load.engine, spec, load.model):
                members = (load.engine.engine_id,)
                formation = tenure.next_formation(
                    load.model.name, members, is_standby=True
                )
                self.sender.preload(load.engine, formation)
        if loads:
            return
        for engine, model in plan_staging(spares, specs):
            if self.inventory.try_begin_load(engine, spec, model):
                self.sender.stage(engine, model.name)

    def _group_size(self, model: str) -> int:
        """Return the size of a model's groups, zero if it is unknown."""
        configuration = self.configuration()
        if configuration is None:
            return 0
        specs = [
            service.engine.models_by_name.get(model)
            for service in configuration.services_by_name.values()
            if service.engine is not None
        ]
        return next((spec.group_size for spec in specs if spec), 0)

    def _spec(self, service: str) -> EngineSpec | None:
        configuration = self.configuration()
        if configuration is None:
            return None
        service_config = configuration.services_by_name.get(service)
        return service_config.engine if service_config else None
