"""Data model of the fleet: configuration, engines and groups.

Explanation
===========
The platform adapter decodes its rows into these types, and all decisions are
made on them. Times are in seconds unless a name gives another unit.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


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

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
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


class GroupState(enum.StrEnum):
    """State of an engine within its group."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@dataclass(frozen=True, slots=True)
class Membership:
    """The group that an engine reports to be in; rank 0 is the head."""

    group: str
    epoch: int
    rank: int
    state: GroupState


class ColdTime(enum.StrEnum):
    """What an entry says of the time for which its engine stays cold."""

    ABSENT = 'absent'
    READ = 'read'
    MALFORMED = 'malformed'
    # Longer than is credible, and cut to the longest time that is.
    TOO_LONG = 'too long'


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine as the platform's list shows it.

    Explanation
    ===========
    ``born_ms`` is the engine's start time, which distinguishes a restarted
    engine from the previous process with the same id. ``staged`` names the
    models whose weights are on the engine's host. ``cold_remaining_s`` is how
    long the engine stays cold after the entry was written, zero if the entry
    has no readable time, as ``cold_time`` tells.
    """

    engine_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    fabric_domain: str = ''
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    born_ms: int = 0
    cold_remaining_s: float = 0
    cold_time: ColdTime = ColdTime.ABSENT


@dataclass(frozen=True, slots=True)
class Formation:
    """A group as claimed in the store; the first member is the head.

    Explanation
    ===========
    A formation with a single member, for a model that needs more, is a
    standby: it keeps the model in memory and never serves requests.
    """

    name: str
    epoch: int
    model: str
    members: tuple[str, ...]

    @property
    def head(self) -> str:
        """Return the id of the member that takes requests."""
        return self.members[0]


@dataclass(frozen=True, slots=True)
class Target:
    """A destination of requests: an open group's head or a plain engine.

    Explanation
    ===========
    ``born_ms`` is the start time of the engine that takes the requests.
    ``is_router`` is true for another router, which takes them to an engine.
    ``cold_start_s`` and ``cold_per_s`` are those of the service, zero if it
    doesn't limit what cold engines get.
    """

    engine_id: str
    address: str
    failure_domain: str
    slots: int
    group: str = ''
    members: tuple[str, ...] = field(default=())
    born_ms: int = 0
    is_router: bool = False
    cold_start_s: float = 0
    cold_per_s: float = 0
