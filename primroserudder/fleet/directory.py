"""The engines that are listed, and the places that take requests."""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from ..process.platform import Row
from .model import Configuration, Engine, GroupState, Service, Target

Decode = Callable[[str, Mapping[str, object]], Engine | None]
STANDBY_SUFFIX = '.standby'


def group_name(model: str, epoch: int, *, is_standby: bool = False) -> str:
    """Return the name of a group, which tells its model to every VM.

    Examples
    ========
    >>> group_name('small', 7), group_name('small', 8, is_standby=True)
    ('small.7', 'small.8.standby')
    """
    suffix = STANDBY_SUFFIX if is_standby else ''
    return f'{model}.{epoch}{suffix}'


def model_of(group: str) -> str:
    """Return the model that a group's name tells.

    Examples
    ========
    >>> model_of('large.v2.7'), model_of('large.7.standby')
    ('large.v2', 'large')
    """
    return group.removesuffix(STANDBY_SUFFIX).rpartition('.')[0]


def pool_name(service: str, model: str) -> str:
    """Return the name of the places that serve a service's model.

    Examples
    ========
    >>> pool_name('engines', 'large'), pool_name('ledger', '')
    ('engines/large', 'ledger/')
    """
    return f'{service}/{model}'


def model_joined(engine: Engine) -> str:
    """Return the model of the group that an engine has joined, if any."""
    membership = engine.membership
    if membership is None or membership.state is GroupState.JOINING:
        return ''
    return model_of(membership.group)


def model_being_joined(engine: Engine) -> str:
    """Return the model of the group that an engine is about to join."""
    membership = engine.membership
    if membership is None or membership.state is not GroupState.JOINING:
        return ''
    return model_of(membership.group)


@dataclass(slots=True)
class Directory:
    """Engines by id, and targets by service and model, from the list's rows.

    Explanation
    ===========
    A group takes requests while its head is open and every member of the
    model's size is listed under the same name and epoch and stays.
    """

    decode: Decode
    engines_by_id: dict[str, Engine] = field(default_factory=dict)
    last_model_by_id: dict[tuple[str, int], str] = field(default_factory=dict)
    unreadable_ids: set[str] = field(default_factory=set)
    _row_by_id: dict[str, Row] = field(default_factory=dict)
    _targets: dict[tuple[str, str], Sequence[Target]] = field(
        default_factory=dict,
    )
    _configuration: Configuration | None = None

    def update(
        self,
        rows_by_key: Mapping[str, Row],
        configuration: Configuration | None,
    ) -> None:
        """Take over the list as it stands."""
        self._configuration = configuration
        rows = {key.partition('/')[2]: row for key, row in rows_by_key.items()}
        for gone in set(self._row_by_id) - set(rows):
            self._row_by_id.pop(gone)
            self.unreadable_ids.discard(gone)
            self.engines_by_id.pop(gone, None)
        for engine_id, row in rows.items():
            if self._row_by_id.get(engine_id) != row:
                self._row_by_id[engine_id] = row
                self._note(engine_id, self.decode(engine_id, row.fields))
        self._targets = self._make_targets()

    def last_model(self, engine: Engine) -> str:
        """Return the model of an engine's last group since its start."""
        known = (engine.engine_id, engine.born_ms)
        return self.last_model_by_id.get(known, '')

    def targets(self, service: Service, model: str) -> Sequence[Target]:
        """Return the places that take requests for a service's model."""
        wanted = model if service.engine else ''
        return self._targets.get((service.name, wanted), ())

    def targets_by_pool(self) -> Mapping[str, Sequence[Target]]:
        """Return all targets; a pool is one service's model."""
        return {
            pool_name(service, model): targets
            for (service, model), targets in self._targets.items()
        }

    def _note(self, engine_id: str, engine: Engine | None) -> None:
        if engine is None:
            self.engines_by_id.pop(engine_id, None)
            self.unreadable_ids.add(engine_id)
            return
        self.unreadable_ids.discard(engine_id)
        self.engines_by_id[engine_id] = engine
        model = model_joined(engine)
        if model:
            self.last_model_by_id[engine_id, engine.born_ms] = model

    def _make_targets(self) -> dict[tuple[str, str], Sequence[Target]]:
        made: defaultdict[tuple[str, str], list[Target]] = defaultdict(list)
        for group in self._groups().values():
            self._add_group(made, group)
        for engine in self.engines_by_id.values():
            if not engine.is_draining and not self._spec(engine):
                made[engine.service, ''].append(_plain_target(engine))
        return dict(made)

    def _groups(self) -> Mapping[tuple[str, int], list[Engine]]:
        members: defaultdict[tuple[str, int], list[Engine]] = defaultdict(list)
        for engine in self.engines_by_id.values():
            if engine.membership is not None:
                key = engine.membership.group, engine.membership.epoch
                members[key].append(engine)
        return members

    def _spec(self, engine: Engine) -> Service | None:
        if self._configuration is None:
            return None
        service = self._configuration.services_by_name.get(engine.service)
        return service if service and service.engine else None

    def _add_group(
        self,
        made: defaultdict[tuple[str, str], list[Target]],
        members: Sequence[Engine],
    ) -> None:
        by_rank = {
            engine.membership.rank: engine
            for engine in members
            if engine.membership is not None
        }
        head = by_rank.get(0)
        if head is None or head.membership is None:
            return
        service = self._spec(head)
        if service is None or service.engine is None:
            return
        model = model_of(head.membership.group)
        spec = service.engine.models_by_name.get(model)
        is_open = head.membership.state is GroupState.OPEN
        stays = not any(engine.is_draining for engine in members)
        if not spec or not is_open or not stays:
            return
        if len(by_rank) < spec.group_size:
            return
        made[service.name, model].append(
            Target(
                head.engine_id,
                head.address,
                head.failure_domain,
                service.engine.slots,
                head.membership.group,
                tuple(by_rank[rank].engine_id for rank in sorted(by_rank)),
            )
        )


def _plain_target(engine: Engine) -> Target:
    return Target(
        engine.engine_id,
        engine.address,
        engine.failure_domain,
        engine.slots,
    )
