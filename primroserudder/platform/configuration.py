"""Decoding of the operators' configuration into the types of the fleet.

Explanation
===========
The platform accepts only valid configurations, so a value of another form is
reported as an error. Unknown fields are ignored.
"""

import itertools
from collections.abc import Iterable
from types import MappingProxyType

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import RudderError
from ..fleet.model import (
    CallerLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    Workspace,
)
from ..process.settings import describe
from .enginetimes import EngineTimesFields
from .regionlist import BoundPart, decode_regions, unreadable_names

MILLISECONDS_PER_SECOND = 1000
_KINDS = MappingProxyType(
    {
        'idempotent': RequestKind.IDEMPOTENT,
        'non_idempotent': RequestKind.NON_IDEMPOTENT,
        'streaming': RequestKind.STREAM,
    }
)
_DEFAULTS = CallerLimits()


class UnreadableConfiguration(RudderError):
    """The operators' configuration can't be decoded."""

    code = 'unreadable_configuration'
    status = 503
    default_remedy = (
        'correct the named field and submit the configuration again'
    )


class _Wire(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore')


class _Split(_Wire):
    service: str = Field(alias='Service')
    weight: float = Field(alias='Weight', default=1)


class _Route(BoundPart):
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
    split: tuple[_Split, ...] = Field(alias='Split', default=())
    # Number of engines that may get one client attempt, including the first.
    attempts: int = Field(alias='MaxAttempts', default=1)
    is_anonymous: bool = Field(alias='Anonymous', default=False)
    is_resumable: bool = Field(alias='Resumable', default=False)


class _Model(_Wire):
    name: str = Field(alias='Name')
    size: int = 1
    share: float = Field(alias='Share', default=1)
    load_s: float = Field(alias='LoadS', default=0)
    warm_s: float = Field(alias='WarmS', default=0)
    # Factor of all times of the model's groups.
    pace: float = Field(default=1, gt=0)


class _Engine(EngineTimesFields):
    slots: int = Field(alias='Slots')
    kv_tokens: int = Field(alias='KvCapacity', default=0)
    models: tuple[_Model, ...] = Field(alias='Models', default=())
    loads_per_s: float = Field(alias='LoadsPerS', default=1)
    loads_at_once: int = 1


class _Service(_Wire):
    name: str = Field(alias='Name')
    connections: int = Field(alias='MaxConns', default=0)
    engine: _Engine | None = Field(alias='Engine', default=None)
    # For how long an engine is cold, and the requests a second that it takes
    # meanwhile.
    cold_start_s: float = Field(alias='ColdStartS', default=0)
    cold_per_s: float = Field(alias='ColdPerS', default=0)


class _Tenant(BoundPart):
    name: str = Field(alias='Name')
    keys: tuple[str, ...] = Field(alias='ApiKeys', default=())
    priority: int | None = Field(alias='Priority', default=None)


class _Limits(_Wire):
    header_bytes: int = Field(
        alias='MaxHeaderBytes', default=_DEFAULTS.header_bytes
    )
    body_bytes: int = Field(alias='MaxBodyBytes', default=_DEFAULTS.body_bytes)
    header_ms: float = Field(
        alias='HeaderTimeoutMs',
        default=_DEFAULTS.header_s * MILLISECONDS_PER_SECOND,
    )
    idle_ms: float = Field(
        alias='IdleTimeoutMs',
        default=_DEFAULTS.idle_s * MILLISECONDS_PER_SECOND,
    )


class _Document(_Wire):
    version: int = Field(alias='Version')
    routes: tuple[_Route, ...] = Field(alias='Routes', default=())
    services: tuple[_Service, ...] = Field(alias='Services', default=())
    tenants: tuple[_Tenant, ...] | None = Field(alias='Tenants', default=None)
    limits: _Limits = Field(alias='Limits', default=_Limits())


def decode_configuration(fields: object) -> Configuration:
    """Return the configuration that is stored in a row's fields.

    Raises
    ======
    UnreadableConfiguration
        A field is missing or its value has the wrong type.
    """
    try:
        document = _Document.model_validate(fields)
    except ValidationError as invalid:
        raise UnreadableConfiguration(describe(invalid)) from invalid
    workspaces = {
        key: Workspace(
            tenant.name, tenant.priority, decode_regions(tenant.regions)
        )
        for tenant in document.tenants or ()
        for key in tenant.keys
    }
    limits = document.limits
    return Configuration(
        version=document.version,
        routes_by_host=_by_host(document.routes),
        services_by_name={
            service.name: _service(service) for service in document.services
        },
        workspaces_by_key=workspaces,
        has_workspaces=bool(document.tenants),
        limits=CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms / MILLISECONDS_PER_SECOND,
            limits.idle_ms / MILLISECONDS_PER_SECOND,
        ),
        unreadable_regions=unreadable_names(
            (*document.routes, *(document.tenants or ()))
        ),
    )


def _by_host(routes: Iterable[_Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by lower-case host, longest prefix first."""
    ordered = sorted(routes, key=lambda route: -len(route.prefix))
    ordered.sort(key=_host)
    return {
        host: tuple(_route(route) for route in group)
        for host, group in itertools.groupby(ordered, key=_host)
    }


def _host(route: _Route) -> str:
    return route.host.lower()


def _route(route: _Route) -> Route:
    shares = tuple(
        ServiceShare(share.service, share.weight) for share in route.split
    )
    return Route(
        name=route.name,
        host=_host(route),
        prefix=route.prefix,
        kind=_KINDS.get(route.kind, RequestKind.NON_IDEMPOTENT),
        shares=shares or (ServiceShare(route.service, 1),),
        timeout_s=route.timeout_ms / MILLISECONDS_PER_SECOND,
        objective_s=route.objective_ms / MILLISECONDS_PER_SECOND,
        pause_objective_s=route.pause_ms / MILLISECONDS_PER_SECOND,
        priority=route.priority,
        max_attempts=route.attempts,
        is_anonymous=route.is_anonymous,
        is_resumable=route.is_resumable,
        regions=decode_regions(route.regions),
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    spec = None
    if engine is not None and engine.models:
        spec = EngineSpec(
            slots=engine.slots,
            models_by_name={
                model.name: ModelSpec(
                    model.name,
                    model.size,
                    model.share,
                    model.load_s,
                    model.warm_s,
                    model.pace,
                )
                for model in engine.models
            },
            kv_tokens=engine.kv_tokens,
            loads_per_s=engine.loads_per_s,
            loads_at_once=engine.loads_at_once,
            times=engine.engine_times(),
        )
    return Service(
        service.name,
        service.connections,
        spec,
        service.cold_start_s,
        service.cold_per_s,
    )
