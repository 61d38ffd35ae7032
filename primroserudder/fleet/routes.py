"""Which route, service and workspace a request belongs to."""

import random
from dataclasses import dataclass

from ..errors import Ran, RudderError
from .model import Configuration, Route, Service, ServiceShare, Workspace

NO_WORKSPACE = Workspace('')


class UnknownRoute(RudderError):
    """No route of the configuration in force matches."""

    code = 'unknown_route'
    status = 404
    ran = Ran.NO
    default_remedy = 'check host and path; routes may have changed'


class UnknownKey(RudderError):
    """The request bears no key of any workspace."""

    code = 'unknown_key'
    status = 401
    ran = Ran.NO
    default_remedy = 'send a key of the workspace as a bearer token'


@dataclass(frozen=True, slots=True)
class Destination:
    """Where a request goes and for whom."""

    route: Route
    service: Service
    workspace: Workspace

    @property
    def priority(self) -> int:
        """Return the rank; the workspace's goes before the route's."""
        own = self.workspace.priority
        return self.route.priority if own is None else own


def find_route(configuration: Configuration, host: str, path: str) -> Route:
    """Return the route with the longest prefix of the path.

    Raises
    ======
    UnknownRoute
        No prefix of that host begins the path.
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
    """Return whose key it is.

    Raises
    ======
    UnknownKey
        The route asks for a key and this is none.
    """
    known = configuration.workspaces_by_key.get(key)
    if known is not None:
        return known
    if route.is_anonymous or not configuration.has_workspaces:
        return NO_WORKSPACE
    raise UnknownKey(f'route {route.name} asks for a key')


def find_destination(
    configuration: Configuration,
    route: Route,
    key: str,
    draw: random.Random,
) -> Destination:
    """Return where a request of a route goes, by the shares of services."""
    workspace = find_workspace(configuration, route, key)
    share = _draw(route.shares, draw)
    service = configuration.services_by_name.get(share.service)
    return Destination(route, service or Service(share.service, 0), workspace)


def _draw(
    shares: tuple[ServiceShare, ...],
    draw: random.Random,
) -> ServiceShare:
    if len(shares) == 1:
        return shares[0]
    weights = [share.weight for share in shares]
    if not sum(weights):
        return shares[0]
    return draw.choices(shares, weights)[0]
