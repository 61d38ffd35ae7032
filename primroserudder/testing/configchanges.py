"""Configurations that differ from the site's usual one in one thing."""

from collections.abc import Mapping
from typing import Any

from .platformsite import configuration

Fields = Mapping[str, Any]


def with_route(version: int, name: str, **changes: object) -> Fields:
    """Return a configuration in which one route has other fields."""
    routes = [
        {**route, **changes} if route['Name'] == name else route
        for route in _entries('Routes')
    ]
    return configuration(version, Routes=routes)


def without_route(version: int, name: str) -> Fields:
    """Return a configuration without one route."""
    routes = [route for route in _entries('Routes') if route['Name'] != name]
    return configuration(version, Routes=routes)


def without_service(version: int, name: str) -> Fields:
    """Return a configuration without one service and without its routes."""
    return configuration(
        version,
        Services=[
            each for each in _entries('Services') if each['Name'] != name
        ],
        Routes=[each for each in _entries('Routes') if each['Service'] != name],
    )


def without_key(version: int) -> Fields:
    """Return a configuration in which the workspace has another key."""
    workspaces = [{'Name': 'north', 'ApiKeys': ['another']}]
    return configuration(version, Tenants=workspaces)


def without_model(version: int) -> Fields:
    """Return a configuration whose model service has another model."""
    services = [
        {**each, 'Engine': _with_other_model(each['Engine'])}
        if 'Engine' in each
        else each
        for each in _entries('Services')
    ]
    return configuration(version, Services=services)


def _with_other_model(engine: Fields) -> Fields:
    models = [{**model, 'Name': 'large'} for model in engine['Models']]
    return {**engine, 'Models': models}


def _entries(name: str) -> list[dict[str, Any]]:
    entries: Any = configuration()[name]
    return list(entries)
