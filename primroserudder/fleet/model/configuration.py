"""The operators' configuration: routes, services, models and workspaces.

Explanation
===========
Times are in seconds unless a name gives another unit.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from ...intake.limits import IntakeLimits


class RequestKind(enum.StrEnum):
    """Whether and how a request on a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight in the split of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rules and limits for one host and path prefix.

    Explanation
    ===========
    ``regions`` are the regions that its requests are bound to, ``None`` if to
    none.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    pause_objective_s: float = 0
    priority: int = 0
    max_attempts: int = 1
    is_anonymous: bool = False
    is_resumable: bool = False
    regions: frozenset[str] | None = None

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that a group of ``group_size`` engines serves.

    Explanation
    ===========
    ``load_s`` is the time to load the weights from the weight store;
    ``warm_s`` is what a join takes on top of it, or in all if the weights
    are on the engine's host. ``pace`` is a factor of all times of a group:
    of two models with equal work, the one with the higher pace needs more
    slots.
    """

    name: str
    group_size: int
    work_share: float
    load_s: float
    warm_s: float
    pace: float = 1


@dataclass(frozen=True, slots=True)
class EngineTimes:
    """How long an engine of pace 1 takes, as its operators state it.

    Explanation
    ===========
    A decode step takes ``step_s``, and more for each request that decodes
    and for each token of their contexts. Prefill reads at most
    ``chunk_tokens`` in a step, without a limit if it is zero, and takes
    ``pair_s`` more for each pair of a prompt's tokens. A pass with requests
    in decode makes ``steps_per_pass`` steps; new requests wait for its end.
    """

    step_s: float
    read_tokens_per_s: float
    request_s: float = 0
    context_token_s: float = 0
    pair_s: float = 0
    chunk_tokens: int = 0
    steps_per_pass: int = 1
    usual_prompt_tokens: int = 0
    usual_answer_tokens: int = 0


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Settings that all groups of a model service share.

    Explanation
    ===========
    ``times`` is ``None`` if the operators state no times of the engines.
    """

    slots: int
    models_by_name: Mapping[str, ModelSpec]
    kv_tokens: int
    loads_per_s: float
    loads_at_once: int
    times: EngineTimes | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """An upstream service; ``engine`` is set if groups serve its models.

    Explanation
    ===========
    For ``cold_start_s`` after its start an engine is cold and takes
    ``cold_per_s`` requests a second from all VMs together. Zero for either
    means that engines need no such care.
    """

    name: str
    connection_limit: int
    engine: EngineSpec | None = None
    cold_start_s: float = 0
    cold_per_s: float = 0

    @property
    def limits_cold_engines(self) -> bool:
        """Return whether cold engines of the service take fewer requests."""
        return self.cold_start_s > 0 and self.cold_per_s > 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the system.

    Explanation
    ===========
    ``regions`` are the regions that its requests are bound to, ``None`` if to
    none.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for the requests of a caller."""

    intake: IntakeLimits = IntakeLimits()
    body_bytes: int = 4_194_304
    idle_s: float = 15


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of the operators' configuration.

    Explanation
    ===========
    ``unreadable_regions`` names the routes and workspaces whose list of regions
    can't be read, and which therefore are bound to none.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    workspaces_by_key: Mapping[str, Workspace]
    has_workspaces: bool
    limits: CallerLimits = CallerLimits()
    unreadable_regions: tuple[str, ...] = ()
