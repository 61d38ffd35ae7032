"""Targets by service and model, kept up to date with single engines.

Explanation
===========
A site lists thousands of engines, of which a few change at a time. Only the
groups of the changed ones are looked at again.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from .directorynames import model_of
from .model import Configuration, Engine, GroupState, Service, Target

GroupKey = tuple[str, int]
PoolKey = tuple[str, str]


@dataclass(slots=True)
class TargetIndex:
    """The targets that accept requests.

    Explanation
    ===========
    A group accepts requests while its head is open, as many members as the
    model's group size are listed under the same group name and epoch, and
    none of them is draining.
    """

    targets_by_pool: dict[PoolKey, Sequence[Target]] = field(
        default_factory=dict
    )
    _configuration: Configuration | None = None
    _members_by_group: defaultdict[GroupKey, dict[str, Engine]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _plain_by_service: defaultdict[str, dict[str, Engine]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _target_by_group: dict[GroupKey, tuple[PoolKey, Target]] = field(
        default_factory=dict
    )
    _changed_groups: set[GroupKey] = field(default_factory=set)
    _changed_services: set[str] = field(default_factory=set)

    def replace(self, before: Engine | None, now: Engine | None) -> None:
        """Note that an engine changed, appeared or vanished."""
        if before is not None:
            self._remove(before)
        if now is not None:
            self._add(now)

    def refresh(self, configuration: Configuration | None) -> None:
        """Bring the targets up to date with the noted changes."""
        if configuration is not self._configuration:
            self._configuration = configuration
            self._changed_groups.update(self._members_by_group)
            self._changed_services.update(self._plain_by_service)
        changed_pools = {
            pool
            for group in self._changed_groups
            for pool in self._refresh_group(group)
        }
        self._changed_groups.clear()
        for pool in changed_pools:
            self._set_targets(pool, self._group_targets(pool))
        for service in self._changed_services:
            self._refresh_service(service)
        self._changed_services.clear()

    def _remove(self, engine: Engine) -> None:
        membership = engine.membership
        if membership is not None:
            group = membership.group, membership.epoch
            self._members_by_group[group].pop(engine.engine_id, None)
            self._changed_groups.add(group)
        self._plain_by_service[engine.service].pop(engine.engine_id, None)
        self._changed_services.add(engine.service)

    def _add(self, engine: Engine) -> None:
        membership = engine.membership
        if membership is not None:
            group = membership.group, membership.epoch
            self._members_by_group[group][engine.engine_id] = engine
            self._changed_groups.add(group)
        self._plain_by_service[engine.service][engine.engine_id] = engine
        self._changed_services.add(engine.service)

    def _refresh_group(self, group: GroupKey) -> Sequence[PoolKey]:
        """Make a group's target again; return the pools that changed."""
        members = self._members_by_group[group]
        if not members:
            self._members_by_group.pop(group)
        before = self._target_by_group.pop(group, None)
        now = self._group_target(tuple(members.values()))
        if now is not None:
            self._target_by_group[group] = now
        if before == now:
            return ()
        return [entry[0] for entry in (before, now) if entry is not None]

    def _group_targets(self, pool: PoolKey) -> Sequence[Target]:
        return [
            target
            for target_pool, target in self._target_by_group.values()
            if target_pool == pool
        ]

    def _refresh_service(self, service: str) -> None:
        if self._model_service(service) is not None:
            self._set_targets((service, ''), ())
            return
        engines = self._plain_by_service[service].values()
        spec = self._service(service)
        targets = [
            _plain_target(engine, spec)
            for engine in engines
            if not engine.is_draining
        ]
        self._set_targets((service, ''), targets)

    def _set_targets(self, pool: PoolKey, targets: Sequence[Target]) -> None:
        if targets:
            self.targets_by_pool[pool] = targets
        else:
            self.targets_by_pool.pop(pool, None)

    def _service(self, name: str) -> Service | None:
        if self._configuration is None:
            return None
        return self._configuration.services_by_name.get(name)

    def _model_service(self, name: str) -> Service | None:
        service = self._service(name)
        return service if service and service.engine else None

    def _group_target(
        self, members: Sequence[Engine]
    ) -> tuple[PoolKey, Target] | None:
        by_rank = {
            engine.membership.rank: engine
            for engine in members
            if engine.membership is not None
        }
        head = by_rank.get(0)
        if head is None or head.membership is None:
            return None
        service = self._model_service(head.service)
        if service is None or service.engine is None:
            return None
        model = model_of(head.membership.group)
        spec = service.engine.models_by_name.get(model)
        is_open = head.membership.state is GroupState.OPEN
        none_drain = not any(engine.is_draining for engine in members)
        if not spec or not is_open or not none_drain:
            return None
        if len(by_rank) < spec.group_size:
            return None
        target = Target(
            head.engine_id,
            head.address,
            head.failure_domain,
            service.engine.slots,
            head.membership.group,
            tuple(by_rank[rank].engine_id for rank in sorted(by_rank)),
            head.born_ms,
        )
        return (service.name, model), _with_cold_limit(target, service)


def _plain_target(engine: Engine, service: Service | None) -> Target:
    target = Target(
        engine.engine_id,
        engine.address,
        engine.failure_domain,
        engine.slots,
        born_ms=engine.born_ms,
    )
    return target if service is None else _with_cold_limit(target, service)


def _with_cold_limit(target: Target, service: Service) -> Target:
    """Return a target with what it takes while it is cold."""
    if not service.limits_cold_engines:
        return target
    return replace(
        target,
        cold_start_s=service.cold_start_s,
        cold_per_s=service.cold_per_s,
    )
