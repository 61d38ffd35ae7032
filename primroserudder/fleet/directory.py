"""Directory of listed engines and of the targets that accept requests."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from ..process.platform import Row
from .directorynames import model_joined, pool_name
from .model import Configuration, Engine, Service, Target
from .targetindex import TargetIndex

Decode = Callable[[str, Mapping[str, object]], Engine | None]


def _ignore(_engine: Engine) -> None:
    """Ignore an entry."""


@dataclass(slots=True)
class Directory:
    """Engines by id and targets by service and model, from the engine list.

    Parameters
    ==========
    on_entry : Callable
        Takes each readable entry whose fields are new.
    """

    decode: Decode
    on_entry: Callable[[Engine], None] = _ignore
    engines_by_id: dict[str, Engine] = field(default_factory=dict)
    last_model_by_id: dict[tuple[str, int], str] = field(default_factory=dict)
    unreadable_ids: set[str] = field(default_factory=set)
    draining_born_by_id: dict[str, int] = field(default_factory=dict)
    _row_by_key: dict[str, Row] = field(default_factory=dict)
    _index: TargetIndex = field(default_factory=TargetIndex)
    _configuration: Configuration | None = None

    def update(
        self,
        rows_by_key: Mapping[str, Row],
        configuration: Configuration | None,
    ) -> None:
        """Bring the directory up to date with the engine list."""
        self._configuration = configuration
        for removed in self._row_by_key.keys() - rows_by_key.keys():
            self._row_by_key.pop(removed)
            self._set_engine(_engine_id(removed), None)
        changed = [
            row
            for key, row in rows_by_key.items()
            if self._row_by_key.get(key) is not row
        ]
        for row in changed:
            before = self._row_by_key.get(row.key)
            self._row_by_key[row.key] = row
            engine = self._update_engine(_engine_id(row.key), row)
            # A table that is read again has its rows anew, also unchanged.
            is_news = before is None or before.fields != row.fields
            if engine is not None and is_news:
                self.on_entry(engine)
        self._index.refresh(configuration)

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
            self._set_engine(engine_id, self._keep_draining(engine))
            self._index.refresh(self._configuration)
        return True

    def targets(self, service: Service, model: str) -> Sequence[Target]:
        """Return the targets that accept requests for a service's model.

        Explanation
        ===========
        The same object is returned until a target of the pool changes.
        """
        wanted = model if service.engine else ''
        return self._index.targets_by_pool.get((service.name, wanted), ())

    def targets_by_pool(self) -> Mapping[str, Sequence[Target]]:
        """Return all targets by pool; a pool is one model of one service."""
        return {
            pool_name(service, model): targets
            for (service, model), targets in self._index.targets_by_pool.items()
        }

    def count_targets(self) -> int:
        """Return how many engines and heads of groups take requests."""
        return sum(map(len, self._index.targets_by_pool.values()))

    def _update_engine(self, engine_id: str, row: Row) -> Engine | None:
        engine = self.decode(engine_id, row.fields)
        if engine is None:
            self._set_engine(engine_id, None)
            self.unreadable_ids.add(engine_id)
            return None
        engine = self._keep_draining(engine)
        self._set_engine(engine_id, engine)
        model = model_joined(engine)
        if model:
            self.last_model_by_id[engine_id, engine.born_ms] = model
        return engine

    def _set_engine(self, engine_id: str, engine: Engine | None) -> None:
        self.unreadable_ids.discard(engine_id)
        before = self.engines_by_id.pop(engine_id, None)
        if engine is not None:
            self.engines_by_id[engine_id] = engine
        self._index.replace(before, engine)

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


def _engine_id(key: str) -> str:
    return key.partition('/')[2]
