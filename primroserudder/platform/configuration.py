"""Decoding of the operators' configuration into the types of the fleet.

Explanation
===========
The platform accepts only valid configurations, so a value of another form is
reported as an error. Unknown fields are ignored.
"""

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from pydantic import ValidationError

from ..errors import RudderError
from ..fleet.model import (
    CallerLimits,
    Configuration,
    EngineSpec,
    IntakeLimits,
    ModelSpec,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    Workspace,
)
from ..process.settings import describe
from .configurationfields import (
    MILLISECONDS_PER_SECOND,
    DocumentFields,
    RouteFields,
    ServiceFields,
)
from .regionlist import decode_regions, unreadable_names

_KINDS = MappingProxyType(
    {
        'idempotent': RequestKind.IDEMPOTENT,
        'non_idempotent': RequestKind.NON_IDEMPOTENT,
        'streaming': RequestKind.STREAM,
    }
)


class UnreadableConfiguration(RudderError):
    """The operators' configuration can't be decoded."""

    code = 'unreadable_configuration'
    status = 503
    default_remedy = (
        'correct the named field and submit the configuration again'
    )


@dataclass(frozen=True, slots=True)
class _DecodedRoute:
    """A route as it was stored, checked and decoded."""

    stored: object
    checked: RouteFields
    decoded: Route


@dataclass(slots=True)
class ConfigurationDecoder:
    """Decodes configurations one after the other.

    Explanation
    ===========
    Routes that are the same objects as in the configuration before are not
    checked and decoded again: a change concerns few of many routes.
    """

    _known_by_id: dict[int, _DecodedRoute] = field(default_factory=dict)

    def decode(self, fields: Mapping[str, object]) -> Configuration:
        """Return the configuration that is stored in a row's fields.

        Raises
        ======
        UnreadableConfiguration
            A field is missing or its value has the wrong type.
        """
        stored = fields.get('Routes')
        if not isinstance(stored, list):
            return _configuration(_checked(fields), ())
        checked_before = [self._checked_before(route) for route in stored]
        document = _checked({**fields, 'Routes': checked_before})
        routes = [
            self._known(entry, route)
            for entry, route in zip(stored, document.routes, strict=True)
        ]
        # The stored objects are kept alive, so that their ids stay theirs.
        self._known_by_id = {id(route.stored): route for route in routes}
        return _configuration(document, [route.decoded for route in routes])

    def _checked_before(self, stored: object) -> object:
        known = self._known_by_id.get(id(stored))
        return stored if known is None else known.checked

    def _known(self, stored: object, checked: RouteFields) -> _DecodedRoute:
        known = self._known_by_id.get(id(stored))
        return known or _DecodedRoute(stored, checked, _route(checked))


def decode_configuration(fields: Mapping[str, object]) -> Configuration:
    """Return the configuration that is stored in a row's fields.

    Raises
    ======
    UnreadableConfiguration
        A field is missing or its value has the wrong type.
    """
    return ConfigurationDecoder().decode(fields)


def configuration_version(fields: Mapping[str, object]) -> int | None:
    """Return the version that a row's fields name, if they name any."""
    version = fields.get('Version')
    return version if isinstance(version, int) else None


def _checked(fields: Mapping[str, object]) -> DocumentFields:
    try:
        return DocumentFields.model_validate(fields)
    except ValidationError as invalid:
        raise UnreadableConfiguration(describe(invalid)) from invalid


def _configuration(
    document: DocumentFields, routes: Iterable[Route]
) -> Configuration:
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
        routes_by_host=_by_host(routes),
        services_by_name={
            service.name: _service(service) for service in document.services
        },
        workspaces_by_key=workspaces,
        has_workspaces=bool(document.tenants),
        limits=CallerLimits(
            IntakeLimits(
                limits.header_bytes,
                limits.header_ms / MILLISECONDS_PER_SECOND,
            ),
            limits.body_bytes,
            limits.idle_ms / MILLISECONDS_PER_SECOND,
        ),
        unreadable_regions=unreadable_names(
            (*document.routes, *(document.tenants or ()))
        ),
    )


def _by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by lower-case host, longest prefix first."""
    ordered = sorted(routes, key=lambda route: -len(route.prefix))
    ordered.sort(key=_host)
    return {
        host: tuple(group)
        for host, group in itertools.groupby(ordered, key=_host)
    }


def _host(route: Route) -> str:
    return route.host


def _route(route: RouteFields) -> Route:
    shares = tuple(
        ServiceShare(share.service, share.weight) for share in route.split
    )
    return Route(
        name=route.name,
        host=route.host.lower(),
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


def _service(service: ServiceFields) -> Service:
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
