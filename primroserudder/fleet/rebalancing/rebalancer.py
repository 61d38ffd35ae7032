"""Dissolves surplus groups and prepares hosts, on the lease holder."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ...process.clock import Clock
from ...process.decisions import DecisionLog
from ...process.metrics import Metrics
from ..demand import initial_groups
from ..engine_inventory import EngineInventory
from ..group_lifecycle import CloseTimes, GroupProgress
from ..membership import InFlightCounts
from ..model import Configuration, EngineSpec
from ..order_sender import OrderSender
from ..placement import FreeEngine
from .alternates import plan_alternates
from .conversions import ConversionPlanner, ServingGroup, shortest_model

# The load shows how it is split only after the first requests have run.
OBSERVATION_S = 0.7
# A model that got groups gives none away for this long, so that a load which
# swings does not move engines back and forth.
REVERSAL_PAUSE_S = 15.0
# Streams of a dissolving group may run to their end for this long; none of
# them has to move, as no member is lost.
STREAM_END_S = 8.0
ON_SURPLUS = CloseTimes(STREAM_END_S, STREAM_END_S)
REASON = 'engines are needed for another model'


@dataclass(slots=True)
class Rebalancer:
    """Moves engines to the models that the load asks for.

    Parameters
    ==========
    in_flight : InFlightCounts
        Tells how many requests each group runs.
    """

    inventory: EngineInventory
    in_flight: InFlightCounts
    sender: OrderSender
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    _traffic_since: float | None = None
    _grown_at_by_model: dict[str, float] = field(default_factory=dict)

    def run(
        self,
        groups: Collection[GroupProgress],
        free_by_service: Mapping[str, Sequence[FreeEngine]],
        configuration: Configuration | None,
    ) -> None:
        """Rebalance all model services.

        Parameters
        ==========
        free_by_service : Mapping
            Engines that no group claims.
        """
        if configuration is None:
            return
        for name, service in configuration.services_by_name.items():
            if service.engine is not None:
                free = free_by_service.get(name, ())
                self._convert(groups, free, name, service.engine)
                self._stage_alternates(groups, name, service.engine)

    def _convert(
        self,
        groups: Collection[GroupProgress],
        free: Sequence[FreeEngine],
        service: str,
        spec: EngineSpec,
    ) -> None:
        """Dissolve groups of a service for a model that is short."""
        if not self._has_observed_load():
            return
        balance = self.inventory.balance(groups, service, spec)
        model = shortest_model(spec.models_by_name.values(), balance)
        if model is None:
            return
        leaving = [group for group in groups if group.is_dissolving]
        planner = ConversionPlanner(
            model,
            balance,
            (*free, *self._engines_of(leaving, service)),
            self._load_of(groups),
        )
        candidates = self._serving(groups, service)
        chosen = planner.plan(
            [group for group in candidates if self._may_give(group.model)]
        )
        if chosen:
            self._grown_at_by_model[model.name] = self.clock.monotonic()
            self._dissolve(chosen, groups, model.name)

    def _stage_alternates(
        self,
        groups: Collection[GroupProgress],
        service: str,
        spec: EngineSpec,
    ) -> None:
        """Let hosts load a second model while loads are quick."""
        if self.inventory.has_traffic():
            return
        sizes = self.inventory.domain_sizes(service)
        planned = plan_alternates(
            self._serving(groups, service),
            tuple(spec.models_by_name.values()),
            initial_groups(spec, sizes),
        )
        for engine, model in planned:
            if self.inventory.try_begin_load(engine, spec, model):
                self.sender.stage(engine, model.name)

    def _has_observed_load(self) -> bool:
        if not self.inventory.has_traffic():
            return False
        now = self.clock.monotonic()
        if self._traffic_since is None:
            self._traffic_since = now
        return now - self._traffic_since >= OBSERVATION_S

    def _may_give(self, model: str) -> bool:
        grown_at = self._grown_at_by_model.get(model, float('-inf'))
        return self.clock.monotonic() - grown_at >= REVERSAL_PAUSE_S

    def _serving(
        self, groups: Iterable[GroupProgress], service: str
    ) -> list[ServingGroup]:
        """Return the complete groups of a service that serve."""
        serving = [
            ServingGroup(
                group.formation.name,
                group.formation.model,
                tuple(self._engines_of((group,), service)),
            )
            for group in groups
            if not group.is_dissolving and not group.pending_members
        ]
        sizes = {
            group.formation.name: len(group.formation.members)
            for group in groups
        }
        return [
            group
            for group in serving
            if len(group.engines) == sizes[group.name]
        ]

    def _engines_of(
        self, groups: Iterable[GroupProgress], service: str
    ) -> list[FreeEngine]:
        """Return the listed engines of groups as they are once free.

        Explanation
        ===========
        Those in evacuated failure domains are left out: a group that is formed
        of them would not serve.
        """
        listed = self.inventory.directory.engines_by_id
        members = (
            listed.get(member)
            for group in groups
            for member in group.formation.members
        )
        return [
            self.inventory.as_free(engine)
            for engine in members
            if engine is not None
            and engine.service == service
            and not self.inventory.is_evacuated(engine.failure_domain)
        ]

    def _load_of(self, groups: Iterable[GroupProgress]) -> 'LoadOf':
        heads = {group.formation.name: group.formation.head for group in groups}
        return LoadOf(heads, self.in_flight)

    def _dissolve(
        self,
        chosen: Iterable[ServingGroup],
        groups: Iterable[GroupProgress],
        model: str,
    ) -> None:
        now = self.clock.monotonic()
        progress_by_name = {group.formation.name: group for group in groups}
        for group in chosen:
            progress_by_name[group.name].dissolve(REASON, now, ON_SURPLUS)
            self.metrics.count('groups_converted', model=model)
            self.log.note(
                'group_converted',
                group=group.name,
                domain=group.domain,
                to_model=model,
            )


@dataclass(frozen=True, slots=True)
class LoadOf:
    """Returns the requests that a group runs, on all VMs."""

    head_by_group: dict[str, str]
    in_flight: InFlightCounts

    def __call__(self, group: str) -> int:
        """Return the requests of a group."""
        return self.in_flight.running(self.head_by_group[group])
