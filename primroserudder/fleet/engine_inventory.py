"""The engines that the lease holder may assign, and their models."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from .demand import DemandMeter
from .directory import Directory
from .directorynames import model_being_joined, model_joined
from .group_lifecycle import GroupProgress
from .load_limiter import LoadLimiter
from .model import Engine, EngineSpec, Formation, ModelSpec
from .placement import Balance, FreeEngine, domain_of

# All engines of a domain that came back are listed within this time.
SETTLED_S = 0.8

SpecOf = Callable[[str], EngineSpec | None]


def _nowhere(_failure_domain: str) -> bool:
    return False


@dataclass(slots=True)
class EngineInventory:
    """Tracks free engines, their models and the demand for groups.

    Parameters
    ==========
    is_evacuated : Callable
        Returns whether the engines of a failure domain get no new requests.
    """

    directory: Directory
    clock: Clock
    log: DecisionLog
    limiter: LoadLimiter
    has_traffic: Callable[[], bool]
    demand: DemandMeter = field(default_factory=DemandMeter)
    is_evacuated: Callable[[str], bool] = _nowhere
    _known_instances: set[tuple[str, int]] = field(default_factory=set)
    _grown_at_by_domain: dict[str, float] = field(default_factory=dict)

    def note_growth(self) -> None:
        """Record when engines appear or come back restarted."""
        now = self.clock.monotonic()
        instances = {
            (engine.engine_id, engine.born_ms): engine
            for engine in self.directory.engines_by_id.values()
        }
        for instance in instances.keys() - self._known_instances:
            self._grown_at_by_domain[_domain(instances[instance])] = now
        if instances.keys() != self._known_instances:
            self.log.note('engines_listed', count=len(instances))
        self._known_instances = set(instances)

    def is_settled(self, domain: str, groups: Iterable[GroupProgress]) -> bool:
        """Return whether no more engines of a domain will be free soon."""
        now = self.clock.monotonic()
        if now - self._grown_at_by_domain.get(domain, 0) < SETTLED_S:
            return False
        return not any(
            progress.is_dissolving and self._domain_of(progress) == domain
            for progress in groups
        )

    def free_by_service(
        self,
        groups: Iterable[GroupProgress],
        unreachable: Collection[str],
        spec_of: SpecOf,
    ) -> Mapping[str, list[FreeEngine]]:
        """Return the engines to form groups of, by service.

        Explanation
        ===========
        They are reachable, no group claims them, and their failure domain is
        not evacuated: a group formed there would occupy engines unused.
        """
        claimed = {
            member
            for progress in groups
            for member in progress.formation.members
        }
        free: dict[str, list[FreeEngine]] = {}
        for engine in self.directory.engines_by_id.values():
            is_claimed = engine.engine_id in claimed
            if (
                is_claimed
                or engine.is_draining
                or self.is_evacuated(engine.failure_domain)
                or spec_of(engine.service) is None
            ):
                continue
            if engine.engine_id not in unreachable:
                service_engines = free.setdefault(engine.service, [])
                service_engines.append(self.as_free(engine))
        return free

    def balance(
        self,
        groups: Iterable[GroupProgress],
        service: str,
        spec: EngineSpec,
    ) -> Balance:
        """Return the existing and the wanted groups of each model.

        Explanation
        ===========
        Groups in evacuated failure domains don't serve. What is wanted stays
        the same, so that other domains form groups in their place.
        """
        existing = Counter(
            progress.formation.model
            for progress in groups
            if not progress.is_dissolving
            and not self.is_evacuated(self._failure_domain_of(progress))
        )
        wanted = self.demand.wanted(
            service,
            spec,
            self.domain_sizes(service),
            has_traffic=self.has_traffic(),
        )
        return Balance(existing, wanted)

    def domain_sizes(self, service: str) -> Sequence[int]:
        """Return the number of a service's engines by fabric domain."""
        sizes = Counter(
            engine.fabric_domain
            for engine in self.directory.engines_by_id.values()
            if engine.service == service and not engine.is_draining
        )
        return tuple(sizes.values())

    def members_in(
        self,
        domain: str,
        groups: Iterable[GroupProgress],
    ) -> Counter[str]:
        """Return the number of members of a domain's groups by model."""
        members = Counter[str]()
        for progress in groups:
            if self._domain_of(progress) == domain:
                formation = progress.formation
                members[formation.model] += len(formation.members)
        return members

    def try_begin_load(
        self,
        engine: Engine,
        spec: EngineSpec,
        model: ModelSpec,
        *,
        is_urgent: bool = False,
    ) -> bool:
        """Admit and count a load; return whether it was admitted."""
        return self.limiter.try_begin_load(
            engine.engine_id,
            spec,
            model,
            has_traffic=self.has_traffic(),
            is_urgent=is_urgent,
        )

    def try_begin_join(
        self,
        engine: Engine,
        formation: Formation,
        spec: EngineSpec,
    ) -> bool:
        """Return whether an engine may join; count a load if it needs one."""
        model = spec.models_by_name.get(formation.model)
        if model is None:
            return False
        last_model = self.directory.last_model(engine)
        if not FreeEngine(engine, last_model).needs_load(model):
            return True
        return self.try_begin_load(engine, spec, model, is_urgent=True)

    def as_free(self, engine: Engine) -> FreeEngine:
        """Return an engine with the models that it holds and loads."""
        loading = self.limiter.loading(engine.engine_id)
        if loading and model_joined(engine) == loading:
            self.limiter.end(engine.engine_id)
            loading = ''
        # Another VM may have ordered a load before this one got the lease.
        loading = loading or model_being_joined(engine)
        last_model = self.directory.last_model(engine)
        return FreeEngine(engine, '' if loading else last_model, loading)

    def _failure_domain_of(self, progress: GroupProgress) -> str:
        head = self.directory.engines_by_id.get(progress.formation.head)
        return '' if head is None else head.failure_domain

    def _domain_of(self, progress: GroupProgress) -> str:
        head = self.directory.engines_by_id.get(progress.formation.head)
        return '' if head is None else _domain(head)


def _domain(engine: Engine) -> str:
    return domain_of(FreeEngine(engine, ''))
