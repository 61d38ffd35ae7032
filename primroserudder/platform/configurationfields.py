"""Fields of the operators' configuration as they are stored."""

from pydantic import BaseModel, ConfigDict, Field

from ..fleet.model import CallerLimits
from .enginetimes import EngineTimesFields
from .regionlist import BoundPart

MILLISECONDS_PER_SECOND = 1000
_DEFAULTS = CallerLimits()


class WireFields(BaseModel):
    """Base of the fields that operators write; unknown ones are ignored."""

    model_config = ConfigDict(frozen=True, extra='ignore')


class SplitFields(WireFields):
    """A share of the requests of a route that go to a service."""

    service: str = Field(alias='Service')
    weight: float = Field(alias='Weight', default=1)


class RouteFields(BoundPart):
    """A route."""

    host: str = Field(alias='Host')
    prefix: str = Field(alias='Prefix')
    kind: str = Field(alias='RouteKind')
    timeout_ms: float = Field(alias='TimeoutMs')
    # Target time to the response, or to the first event of a stream.
    objective_ms: float = Field(alias='SloMs', default=0)
    # Target for the longest pause between two events of a stream.
    pause_ms: float = Field(alias='GapSloMs', default=0)
    priority: int = Field(alias='Priority', default=0)
    service: str = Field(alias='Service', default='')
    split: tuple[SplitFields, ...] = Field(alias='Split', default=())
    # Number of engines that may get one client attempt, including the first.
    attempts: int = Field(alias='MaxAttempts', default=1)
    is_anonymous: bool = Field(alias='Anonymous', default=False)
    is_resumable: bool = Field(alias='Resumable', default=False)


class ModelFields(WireFields):
    """A model that groups of engines serve."""

    name: str = Field(alias='Name')
    size: int = 1
    share: float = Field(alias='Share', default=1)
    load_s: float = Field(alias='LoadS', default=0)
    warm_s: float = Field(alias='WarmS', default=0)
    # Factor of all times of the model's groups.
    pace: float = Field(default=1, gt=0)


class EngineFields(EngineTimesFields):
    """What operators say of the engines of a service."""

    slots: int = Field(alias='Slots')
    kv_tokens: int = Field(alias='KvCapacity', default=0)
    models: tuple[ModelFields, ...] = Field(alias='Models', default=())
    loads_per_s: float = Field(alias='LoadsPerS', default=1)
    loads_at_once: int = 1


class ServiceFields(WireFields):
    """A service."""

    name: str = Field(alias='Name')
    connections: int = Field(alias='MaxConns', default=0)
    engine: EngineFields | None = Field(alias='Engine', default=None)
    # For how long an engine is cold, and the requests a second that it takes
    # meanwhile.
    cold_start_s: float = Field(alias='ColdStartS', default=0)
    cold_per_s: float = Field(alias='ColdPerS', default=0)


class TenantFields(BoundPart):
    """A workspace and its keys."""

    name: str = Field(alias='Name')
    keys: tuple[str, ...] = Field(alias='ApiKeys', default=())
    priority: int | None = Field(alias='Priority', default=None)


class LimitFields(WireFields):
    """What callers may send."""

    header_bytes: int = Field(
        alias='MaxHeaderBytes', default=_DEFAULTS.intake.header_bytes
    )
    body_bytes: int = Field(alias='MaxBodyBytes', default=_DEFAULTS.body_bytes)
    header_ms: float = Field(
        alias='HeaderTimeoutMs',
        default=_DEFAULTS.intake.header_s * MILLISECONDS_PER_SECOND,
    )
    idle_ms: float = Field(
        alias='IdleTimeoutMs',
        default=_DEFAULTS.idle_s * MILLISECONDS_PER_SECOND,
    )


class DocumentFields(WireFields):
    """A whole configuration."""

    version: int = Field(alias='Version')
    routes: tuple[RouteFields, ...] = Field(alias='Routes', default=())
    services: tuple[ServiceFields, ...] = Field(alias='Services', default=())
    tenants: tuple[TenantFields, ...] | None = Field(
        alias='Tenants', default=None
    )
    limits: LimitFields = Field(alias='Limits', default=LimitFields())
