"""What the fleet knows: configuration, listed engines, groups.

Explanation
===========
The platform's adapter decodes its rows into these types; everything that
decides works on them. Times are in seconds unless a name says otherwise.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class RequestKind(enum.StrEnum):
    """What may be repeated of a request on a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and on what terms."""

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

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model as a group of engines serves it."""

    name: str
    group_size: int
    work_share: float
    load_s: float
    warm_s: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What all groups of a model service have in common."""

    slots: int
    models_by_name: Mapping[str, ModelSpec]
    kv_tokens: int
    loads_per_s: float
    loads_at_once: int


@dataclass(frozen=True, slots=True)
class Service:
    """An upstream service; ``engine`` is set where groups serve models."""

    name: str
    connection_limit: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the system."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
    idle_s: float = 15


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of the operators' configuration."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    workspaces_by_key: Mapping[str, Workspace]
    has_workspaces: bool
    limits: CallerLimits = CallerLimits()


class GroupState(enum.StrEnum):
    """How far an engine is in the forming of its group."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@dataclass(frozen=True, slots=True)
class Membership:
    """The group that an engine reports; rank 0 is the head."""

    group: str
    epoch: int
    rank: int
    state: GroupState


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine as the platform's list shows it.

    Explanation
    ===========
    ``born_ms`` is the time of its start, which tells two lives of one id
    apart. ``staged`` are the models on its host.
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


@dataclass(frozen=True, slots=True)
class Formation:
    """A group as its claim in the store says it; the first member heads it.

    Explanation
    ===========
    A formation with a single member of a larger model is a standby: it
    holds the model ready and never serves.
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
    """A place that takes requests: an open group's head or a plain engine."""

    engine_id: str
    address: str
    failure_domain: str
    slots: int
    group: str = ''
    members: tuple[str, ...] = field(default=())
