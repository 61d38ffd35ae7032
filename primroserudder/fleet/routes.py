"""Finds the route, service and workspace of a request."""

import random
from dataclasses import dataclass

from ..errors import Ran, RudderError
from .model import Configuration, Route, Service, ServiceShare, Workspace

NO_WORKSPACE = Workspace('')


class UnknownRoute(RudderError):
    """No route of the current configuration matches."""

    code = 'unknown_route'
    status = 404
    ran = Ran.NO
    default_remedy = 'check the host and the path; the routes may have changed'


class UnknownKey(RudderError):
    """The request has no valid key of a workspace."""

    code = 'unknown_key'
    status = 401
    ran = Ran.NO
    default_remedy = 'send a key of the workspace as the bearer token'


@dataclass(frozen=True, slots=True)
class Destination:
    """Route, service and workspace of a request."""

    route: Route
    service: Service
    workspace: Workspace

    @property
    def priority(self) -> int:
        """Return the workspace's priority, or the route's if it has none."""
        workspace_priority = self.workspace.priority
        return (
            self.route.priority
            if workspace_priority is None
            else workspace_priority
        )


def find_route(configuration: Configuration, host: str, path: str) -> Route:
    """Return the route with the longest prefix that matches the path.

    Raises
    ======
    UnknownRoute
        The host has no route whose prefix matches the path.
    """
    name = host.lower()
    routes = configuration.routes_by_host.get(name)
    if routes is None:
        routes = configuration.routes_by_host.get(name.partition(':')[0], ())
    for route in routes:
        if path.startswith(route.prefix):
            return route
    raise UnknownRoute(f'no route for {host}{path}')


def find_workspace(
    configuration: Configuration,
    route: Route,
    key: str,
) -> Workspace:
    """Return the workspace of a key.

    Raises
    ======
    UnknownKey
        The route requires a key, and this key is not valid.
    """
    workspace = configuration.workspaces_by_key.get(key)
    if workspace is not None:
        return workspace
    if route.is_anonymous or not configuration.has_workspaces:
        return NO_WORKSPACE
    raise UnknownKey(f'route {route.name} requires a valid key')


def find_destination(
    configuration: Configuration,
    route: Route,
    key: str,
    rng: random.Random,
) -> Destination:
    """Return the destination of a request, with a service drawn by weight.

    Raises
    ======
    UnknownKey
        The route requires a key, and this key is not valid.
    """
    workspace = find_workspace(configuration, route, key)
    share = _choose_share(route.shares, rng)
    service = configuration.services_by_name.get(share.service)
    return Destination(route, service or Service(share.service, 0), workspace)


def _choose_share(
    shares: tuple[ServiceShare, ...],
    rng: random.Random,
) -> ServiceShare:
    if len(shares) == 1:
        return shares[0]
    weights = [share.weight for share in shares]
    if not sum(weights):
        return shares[0]
    return rng.choices(shares, weights)[0]
