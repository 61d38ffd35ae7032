"""Reads requests of callers, and those that other routers forward."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from aiohttp import web

from ..errors import Ran, RudderError
from ..intake import BodyUnderWay, ConnectionRegister
from ..platform import headers as wire
from ..process.invariants import Invariants
from ..request.dispatch import DispatchRecord
from .call import Call
from .callerbody import read_body
from .configurationage import Age, no_age, refused_if_outdated
from .cutoff import Cutoff
from .forwarding import EngineReach, headers_of_forwarded
from .model import Configuration, Route
from .retries import RetryState
from .routes import Destination, find_destination, find_route
from .servedrequest import ServedRequest

FIRST_CONFIGURATION_RETRY_S = 0.5
DEFAULT_DEADLINE_S = 30.0


class NoConfiguration(RudderError):
    """This VM has not received a configuration yet."""

    code = 'no_configuration'
    status = 503
    ran = Ran.NO
    default_remedy = 'retry the request after the delay in Retry-After'


class NotForwardable(RudderError):
    """A request came from another router, and none is taken from it now."""

    code = 'not_forwardable'
    status = 503
    ran = Ran.NO
    default_remedy = 'send the request to another router'


@dataclass(slots=True)
class RequestReader:
    """Finds a request's destination by the configuration in force.

    Parameters
    ==========
    cutoff : Cutoff
        Ends the reading of bodies that are not complete as a stopping router
        closes its port; their connections are not read after that.
    """

    configuration: Callable[[], Configuration | None]
    invariants: Invariants
    reach: EngineReach
    register: ConnectionRegister
    configuration_age: Age = no_age
    rng: random.Random = field(default_factory=random.Random)
    cutoff: Cutoff = field(default_factory=Cutoff)

    async def read(self, served: ServedRequest, *, is_closing: bool) -> Call:
        """Return the call for a request, once its body was read.

        Parameters
        ==========
        is_closing : bool
            Whether this router stops, and takes nothing from other routers.

        Raises
        ======
        RudderError
            The request can't be served.
        """
        request = served.request
        if served.is_forwarded:
            self._check_forwarded(is_closing=is_closing)
        configuration = self.configuration()
        if configuration is None:
            raise NoConfiguration(
                'no configuration has been received yet',
                retry_after=FIRST_CONFIGURATION_RETRY_S,
            )
        served.holding.open()
        headers = headers_of_forwarded(request.headers)
        metadata = wire.read_request(headers)
        with refused_if_outdated(self.configuration_age):
            destination = self._destination(configuration, request, metadata)
        route = destination.route
        allowed_s = metadata.deadline_s or DEFAULT_DEADLINE_S
        deadline_at = served.received_at + min(allowed_s, route.timeout_s)
        async with self.cutoff.limited():
            body = await self._body(
                served, configuration.limits.body_bytes, deadline_at
            )
        served.dispatch = DispatchRecord(self.invariants, metadata.attempt_id)
        return Call(
            method=request.method,
            raw_path=request.raw_path,
            headers=headers,
            body=body,
            metadata=metadata,
            destination=destination,
            received_at=served.received_at,
            deadline_at=deadline_at,
            retry_state=RetryState(_attempts_limited(route, served)),
            dispatch=served.dispatch,
            last_event_id=metadata.last_event_id,
            is_forwarded=served.is_forwarded,
            holding=served.holding,
            is_caller_blocked=served.stream.is_blocked,
        )

    async def _body(
        self, served: ServedRequest, max_bytes: int, deadline_at: float
    ) -> bytes:
        request = served.request
        arriving = BodyUnderWay(
            request.content, served.holding, served.received_at
        )
        with self.register.opened.tracked_body(arriving):
            return await read_body(request, max_bytes, deadline_at, arriving)

    def _destination(
        self,
        configuration: Configuration,
        request: web.BaseRequest,
        metadata: wire.RequestMetadata,
    ) -> Destination:
        route = find_route(
            configuration,
            request.headers.get('Host', ''),
            request.raw_path.partition('?')[0],
        )
        return find_destination(
            configuration, route, metadata.api_key, self.rng
        )

    def _check_forwarded(self, *, is_closing: bool) -> None:
        """Refuse what another router sent, if it is better off elsewhere."""
        if is_closing:
            raise NotForwardable('this router is stopping')
        if self.reach.is_cut_off:
            raise NotForwardable('this router reaches no engine either')


def _attempts_limited(route: Route, served: ServedRequest) -> Route:
    """Return a request's route, with no more attempts than are left."""
    if served.attempts_left is None:
        return route
    return replace(route, max_attempts=served.attempts_left)
