"""Directory of listed engines and of the targets that accept requests."""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from ..process.platform import Row
from .model import Configuration, Engine, GroupState, Service, Target

Decode = Callable[[str, Mapping[str, object]], Engine | None]
STANDBY_SUFFIX = '.standby'


def group_name(model: str, epoch: int, *, is_standby: bool = False) -> str:
    """Return the name of a group; the name contains the model.

    Examples
    ========
    >>> group_name('small', 7), group_name('small', 8, is_standby=True)
    ('small.7', 'small.8.standby')
    """
    suffix = STANDBY_SUFFIX if is_standby else ''
    return f'{model}.{epoch}{suffix}'


def model_of(group: str) -> str:
    """Return the model that a group's name contains.

    Examples
    ========
    >>> model_of('large.v2.7'), model_of('large.7.standby')
    ('large.v2', 'large')
    """
    return group.removesuffix(STANDBY_SUFFIX).rpartition('.')[0]


def pool_name(service: str, model: str) -> str:
    """Return the name of the pool of targets for a service's model.

    Examples
    ========
    >>> pool_name('engines', 'large'), pool_name('ledger', '')
    ('engines/large', 'ledger/')
    """
    return f'{service}/{model}'


def model_joined(engine: Engine) -> str:
    """Return the model of the group that an engine has joined, or ``''``."""
    membership = engine.membership
    if membership is None or membership.state is GroupState.JOINING:
        return ''
    return model_of(membership.group)


def model_being_joined(engine: Engine) -> str:
    """Return the model of the group that an engine is joining, or ``''``."""
    membership = engine.membership
    if membership is None or membership.state is not GroupState.JOINING:
        return ''
    return model_of(membership.group)


@dataclass(slots=True)
class Directory:
    """Engines by id and targets by service and model, from the engine list.

    Explanation
    ===========
    A group accepts requests while its head is open, as many members as the
    model's group size are listed under the same group name and epoch, and
    none of them is draining.
    """

    decode: Decode
    engines_by_id: dict[str, Engine] = field(default_factory=dict)
    last_model_by_id: dict[tuple[str, int], str] = field(default_factory=dict)
    unreadable_ids: set[str] = field(default_factory=set)
    draining_born_by_id: dict[str, int] = field(default_factory=dict)
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
        """Rebuild the directory from the current engine list."""
        self._configuration = configuration
        rows = {key.partition('/')[2]: row for key, row in rows_by_key.items()}
        for removed in set(self._row_by_id) - set(rows):
            self._row_by_id.pop(removed)
            self.unreadable_ids.discard(removed)
            self.engines_by_id.pop(removed, None)
        for engine_id, row in rows.items():
            if self._row_by_id.get(engine_id) != row:
                self._row_by_id[engine_id] = row
                self._update_engine(
                    engine_id, self.decode(engine_id, row.fields)
                )
        self._targets = self._make_targets()

    def last_model(self, engine: Engine) -> str:
        """Return the model of the last group that an engine joined.

        Explanation
        ===========
        Returns an empty string if it joined none since its start.
        """
        incarnation = (engine.engine_id, engine.born_ms)
        return self.last_model_by_id.get(incarnation, '')

    def note_leaving(self, engine_id: str, born_ms: int) -> bool:
        """Treat an engine's incarnation as draining from now on.

        Explanation
        ===========
        Returns whether this is news. The list may show it as ready still.
        """
        if self.draining_born_by_id.get(engine_id) == born_ms:
            return False
        self.draining_born_by_id[engine_id] = born_ms
        engine = self.engines_by_id.get(engine_id)
        if engine is not None:
            self.engines_by_id[engine_id] = self._keep_draining(engine)
            self._targets = self._make_targets()
        return True

    def targets(self, service: Service, model: str) -> Sequence[Target]:
        """Return the targets that accept requests for a service's model."""
        wanted = model if service.engine else ''
        return self._targets.get((service.name, wanted), ())

    def targets_by_pool(self) -> Mapping[str, Sequence[Target]]:
        """Return all targets by pool; a pool is one model of one service."""
        return {
            pool_name(service, model): targets
            for (service, model), targets in self._targets.items()
        }

    def _update_engine(self, engine_id: str, engine: Engine | None) -> None:
        if engine is None:
            self.engines_by_id.pop(engine_id, None)
            self.unreadable_ids.add(engine_id)
            return
        self.unreadable_ids.discard(engine_id)
        engine = self._keep_draining(engine)
        self.engines_by_id[engine_id] = engine
        model = model_joined(engine)
        if model:
            self.last_model_by_id[engine_id, engine.born_ms] = model

    def _keep_draining(self, engine: Engine) -> Engine:
        """Return an engine as draining if it ever was since its start.

        Explanation
        ===========
        A store that comes back from an older copy lists it as ready again.
        """
        if engine.is_draining:
            self.draining_born_by_id[engine.engine_id] = engine.born_ms
        if self.draining_born_by_id.get(engine.engine_id) != engine.born_ms:
            return engine
        return replace(engine, is_draining=True)

    def _make_targets(self) -> dict[tuple[str, str], Sequence[Target]]:
        targets_by_key: defaultdict[tuple[str, str], list[Target]] = (
            defaultdict(list)
        )
        for group in self._groups().values():
            self._add_group(targets_by_key, group)
        for engine in self.engines_by_id.values():
            if not engine.is_draining and not self._model_service(engine):
                targets_by_key[engine.service, ''].append(_plain_target(engine))
        return dict(targets_by_key)

    def _groups(self) -> Mapping[tuple[str, int], list[Engine]]:
        members: defaultdict[tuple[str, int], list[Engine]] = defaultdict(list)
        for engine in self.engines_by_id.values():
            if engine.membership is not None:
                key = engine.membership.group, engine.membership.epoch
                members[key].append(engine)
        return members

    def _model_service(self, engine: Engine) -> Service | None:
        if self._configuration is None:
            return None
        service = self._configuration.services_by_name.get(engine.service)
        return service if service and service.engine else None

    def _add_group(
        self,
        targets_by_key: defaultdict[tuple[str, str], list[Target]],
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
        service = self._model_service(head)
        if service is None or service.engine is None:
            return
        model = model_of(head.membership.group)
        spec = service.engine.models_by_name.get(model)
        is_open = head.membership.state is GroupState.OPEN
        none_drain = not any(engine.is_draining for engine in members)
        if not spec or not is_open or not none_drain:
            return
        if len(by_rank) < spec.group_size:
            return
        targets_by_key[service.name, model].append(
            Target(
                head.engine_id,
                head.address,
                head.failure_domain,
                service.engine.slots,
                head.membership.group,
                tuple(by_rank[rank].engine_id for rank in sorted(by_rank)),
                head.born_ms,
            )
        )


def _plain_target(engine: Engine) -> Target:
    return Target(
        engine.engine_id,
        engine.address,
        engine.failure_domain,
        engine.slots,
        born_ms=engine.born_ms,
    )
