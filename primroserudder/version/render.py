"""Rendering of service templates with the values of each workspace."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import TypeAlias

from pydantic import JsonValue, ValidationError

from ..process.settings import describe
from .document import (
    Binding,
    ConfigurationError,
    Document,
    ModelDeployment,
    Parameter,
    ParameterSpec,
    PlainDeployment,
    Service,
    Template,
)

PLACEHOLDER = '$param'

ServicesByName: TypeAlias = Mapping[str, Service]

_TYPES_BY_NAME: Mapping[str, tuple[type, ...]] = MappingProxyType(
    {
        'string': (str,),
        'integer': (int,),
        'number': (int, float),
        'boolean': (bool,),
    }
)


@dataclass(frozen=True, slots=True)
class Rendered:
    """A document with the rendered services of each workspace by name."""

    document: Document
    services_by_workspace: Mapping[str, ServicesByName]


def render_document(document: Document, source: str = 'document') -> Rendered:
    """Return the document with all templates rendered.

    Raises
    ======
    ConfigurationError
        A reference is unknown or a parameter value is invalid.
    """
    _check_pools(document, source)
    for template_name, template in document.templates.items():
        _check_template(template, f'{source}: templates.{template_name}')
    services_by_workspace = {
        name: {
            service: _render_binding(
                document,
                binding,
                f'{source}: workspaces.{name}.services.{service}',
            )
            for service, binding in workspace.services.items()
        }
        for name, workspace in document.workspaces.items()
    }
    return Rendered(document, services_by_workspace)


def _check_pools(document: Document, source: str) -> None:
    for name, deployment in document.deployments.items():
        if isinstance(deployment, PlainDeployment):
            continue
        if deployment.pool not in document.pools:
            raise ConfigurationError(
                f'{source}: deployments.{name}.pool: got '
                f'{deployment.pool!r}: expected one of '
                f'{sorted(document.pools)}',
            )


def _check_template(template: Template, path: str) -> None:
    # Templates that no workspace uses yet are checked too.
    for name, spec in template.parameters.items():
        parameters_path = f'{path}.parameters'
        if spec.default is not None:
            _checked_value(spec, spec.default, parameters_path, name)
    placeholder_values = dict.fromkeys(template.parameters, 0)
    _substitute(template.service, placeholder_values, f'{path}.service')


def _render_binding(document: Document, binding: Binding, path: str) -> Service:
    template = document.templates.get(binding.template)
    if template is None:
        raise ConfigurationError(
            f'{path}.template: got {binding.template!r}: expected one of '
            f'{sorted(document.templates)}',
        )
    values = _parameter_values(template, binding, f'{path}.values')
    rendered = _substitute(template.service, values, path)
    try:
        service = Service.model_validate(rendered)
    except ValidationError as invalid:
        raise ConfigurationError(
            f'{path}: template {binding.template}: {describe(invalid)}',
        ) from invalid
    _check_deployment(document, service, path)
    return service


def _check_deployment(document: Document, service: Service, path: str) -> None:
    deployment = document.deployments.get(service.deployment)
    if deployment is None:
        raise ConfigurationError(
            f'{path}.deployment: got {service.deployment!r}: expected one of '
            f'{sorted(document.deployments)}',
        )
    if not service.adapter:
        return
    adapters = (
        deployment.adapters if isinstance(deployment, ModelDeployment) else []
    )
    if service.adapter not in adapters:
        raise ConfigurationError(
            f'{path}.adapter: got {service.adapter!r}: expected one of '
            f'{adapters}',
        )


def _parameter_values(
    template: Template,
    binding: Binding,
    path: str,
) -> Mapping[str, Parameter]:
    unknown = binding.values.keys() - template.parameters.keys()
    if unknown:
        raise ConfigurationError(
            f'{path}: got {sorted(unknown)}: expected only '
            f'{sorted(template.parameters)}',
        )
    return {
        name: _checked_value(
            spec, binding.values.get(name, spec.default), path, name
        )
        for name, spec in template.parameters.items()
    }


def _checked_value(
    spec: ParameterSpec,
    given: Parameter | None,
    path: str,
    name: str,
) -> Parameter:
    if given is None:
        raise ConfigurationError(
            f'{path}.{name}: got nothing: expected a {spec.type}',
        )
    is_unexpected_bool = isinstance(given, bool) and spec.type != 'boolean'
    if is_unexpected_bool or not isinstance(given, _TYPES_BY_NAME[spec.type]):
        raise ConfigurationError(
            f'{path}.{name}: got {given!r}: expected a {spec.type}',
        )
    _check_range(spec, given, f'{path}.{name}')
    return given


def _check_range(spec: ParameterSpec, given: Parameter, path: str) -> None:
    if spec.choices is not None and given not in spec.choices:
        raise ConfigurationError(
            f'{path}: got {given!r}: expected one of {spec.choices}',
        )
    if isinstance(given, str):
        return
    if spec.minimum is not None and given < spec.minimum:
        raise ConfigurationError(
            f'{path}: got {given!r}: expected at least {spec.minimum}',
        )
    if spec.maximum is not None and given > spec.maximum:
        raise ConfigurationError(
            f'{path}: got {given!r}: expected at most {spec.maximum}',
        )


def _substitute(
    node: JsonValue,
    values: Mapping[str, Parameter],
    path: str,
) -> JsonValue:
    if isinstance(node, list):
        return [_substitute(inner, values, path) for inner in node]
    if not isinstance(node, dict):
        return node
    if node.keys() == {PLACEHOLDER}:
        name = str(node[PLACEHOLDER])
        if name not in values:
            raise ConfigurationError(
                f'{path}: template uses parameter {name!r}: expected one of '
                f'{sorted(values)}',
            )
        return values[name]
    return {
        key: _substitute(inner, values, path) for key, inner in node.items()
    }
