"""The engines that the lease's holder may dispose of, and what they hold."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from .demand import DemandMeter
from .directory import Directory, model_joined, model_being_joined
from .group_lifecycle import GroupProgress
from .load_limiter import LoadLimiter
from .model import Engine, EngineSpec, Formation, ModelSpec
from .placement import Balance, FreeEngine, domain_of

# A domain that came back whole shows its engines within this time.
SETTLED_S = 0.8

SpecOf = Callable[[str], EngineSpec | None]


@dataclass(slots=True)
class EngineInventory:
    """Free engines, their models, and the need for groups."""

    directory: Directory
    clock: Clock
    log: DecisionLog
    gate: LoadLimiter
    has_traffic: Callable[[], bool]
    demand: DemandMeter = field(default_factory=DemandMeter)
    _known_lives: set[tuple[str, int]] = field(default_factory=set)
    _grew_at_by_domain: dict[str, float] = field(default_factory=dict)

    def note_growth(self) -> None:
        """Note when engines appear, or come back with another life."""
        now = self.clock.monotonic()
        lives = {
            (engine.engine_id, engine.born_ms): engine
            for engine in self.directory.engines_by_id.values()
        }
        for life in lives.keys() - self._known_lives:
            self._grew_at_by_domain[_domain(lives[life])] = now
        if lives.keys() != self._known_lives:
            self.log.note('engines_listed', count=len(lives))
        self._known_lives = set(lives)

    def is_settled(
        self, domain: str, standings: Iterable[GroupProgress]
    ) -> bool:
        """Return whether no engine of a domain is about to become free."""
        now = self.clock.monotonic()
        if now - self._grew_at_by_domain.get(domain, 0) < SETTLED_S:
            return False
        return not any(
            standing.is_dissolving and self._domain_of(standing) == domain
            for standing in standings
        )

    def free_by_service(
        self,
        standings: Iterable[GroupProgress],
        unreachable: Collection[str],
        spec_of: SpecOf,
    ) -> Mapping[str, list[FreeEngine]]:
        """Return the engines that no group claims, by service."""
        claimed = {
            member
            for standing in standings
            for member in standing.formation.members
        }
        free: dict[str, list[FreeEngine]] = {}
        for engine in self.directory.engines_by_id.values():
            is_out = engine.engine_id in claimed
            if is_out or engine.is_draining or spec_of(engine.service) is None:
                continue
            if engine.engine_id not in unreachable:
                known = free.setdefault(engine.service, [])
                known.append(self._free_engine(engine))
        return free

    def balance(
        self,
        standings: Iterable[GroupProgress],
        service: str,
        spec: EngineSpec,
    ) -> Balance:
        """Return the groups of each model against those wanted."""
        counted = Counter(
            standing.formation.model
            for standing in standings
            if not standing.is_dissolving
        )
        listed = sum(
            1
            for engine in self.directory.engines_by_id.values()
            if engine.service == service and not engine.is_draining
        )
        wanted = self.demand.wanted(
            service, spec, listed, has_traffic=self.has_traffic()
        )
        return Balance(counted, wanted)

    def members_in(
        self,
        domain: str,
        standings: Iterable[GroupProgress],
    ) -> Counter[str]:
        """Return the members of a domain's groups by model."""
        members = Counter[str]()
        for standing in standings:
            if self._domain_of(standing) == domain:
                formation = standing.formation
                members[formation.model] += len(formation.members)
        return members

    def may_load(
        self,
        engine: Engine,
        spec: EngineSpec,
        model: ModelSpec,
        *,
        is_urgent: bool = False,
    ) -> bool:
        """Return whether an engine may begin a load now, and count it."""
        return self.gate.may_load(
            engine.engine_id,
            spec,
            model,
            has_traffic=self.has_traffic(),
            is_urgent=is_urgent,
        )

    def may_join(
        self,
        engine: Engine,
        formation: Formation,
        spec: EngineSpec,
    ) -> bool:
        """Return whether an engine may join, with a load if it needs one."""
        model = spec.models_by_name.get(formation.model)
        if model is None:
            return False
        last = self.directory.last_model(engine)
        if not FreeEngine(engine, last).needs_load(model):
            return True
        return self.may_load(engine, spec, model, is_urgent=True)

    def _free_engine(self, engine: Engine) -> FreeEngine:
        loading = self.gate.loading(engine.engine_id)
        if loading and model_joined(engine) == loading:
            self.gate.end(engine.engine_id)
            loading = ''
        # Another holder may have ordered a load before this one took over.
        loading = loading or model_being_joined(engine)
        last = self.directory.last_model(engine)
        return FreeEngine(engine, '' if loading else last, loading)

    def _domain_of(self, standing: GroupProgress) -> str:
        head = self.directory.engines_by_id.get(standing.formation.head)
        return '' if head is None else _domain(head)


def _domain(engine: Engine) -> str:
    return domain_of(FreeEngine(engine, ''))
