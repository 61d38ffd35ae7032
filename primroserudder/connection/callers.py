"""The callers' port of an entry."""

import uuid
from collections.abc import Awaitable, Callable, Iterator
from contextlib import (
    AbstractAsyncContextManager,
    ExitStack,
    contextmanager,
    nullcontext,
)
from dataclasses import dataclass, field
from http import HTTPStatus

import orjson
from aiohttp import web
from loguru import logger

from ..errors import Ran, RudderError
from ..process.clock import Clock
from ..process.invariants import Invariants
from ..process.metrics import Metrics
from ..request.admission import Admission
from ..request.attempts import Server
from ..request.authentication import authenticate
from ..request.caller import (
    CallerRequest,
    IncomingRequest,
    parse_completion,
)
from ..request.dispatch import DispatchRecord
from ..request.problem import (
    RAN_HEADER,
    REQUEST_ID_HEADER,
    problem_body,
    problem_headers,
)
from ..request.servicecall import KEY_HEADER, ServiceCall, keyed_call
from ..version.holder import VersionHolder
from .callerstream import CallerStream
from .guard import ConnectionGuard, read_body

REQUEST_ID = web.RequestKey('request_id', str)
ARRIVED_AT = web.RequestKey('arrived_at', float)
# Set once what is told of a request holds for its idempotency key as well.
KEY_SETTLED = web.RequestKey('key_settled', bool)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
KeyedHandler = Callable[
    [web.Request, ServiceCall],
    Awaitable[web.StreamResponse],
]


class InternalFault(RudderError):
    """A fault of the program itself."""


class NotFound(RudderError):
    """The callers' port has no such path."""

    code = 'not_found'
    status = 404
    ran = Ran.NO
    default_remedy = 'use /v1/models, /v1/completions or /v1/chat/completions'


@dataclass(slots=True)
class Callers:
    """Handles callers' requests; it lives as long as the process."""

    server: Server
    holder: VersionHolder
    clock: Clock
    metrics: Metrics
    invariants: Invariants
    max_body_bytes: int
    admission: Admission | None = None
    in_flight: set[str] = field(default_factory=set)
    routes: list[web.RouteDef] = field(default_factory=list)
    serve_keyed: KeyedHandler | None = None
    guard: ConnectionGuard = field(init=False)

    def __post_init__(self) -> None:
        """Make the guard of the port."""
        self.guard = ConnectionGuard(self.clock, self.metrics)

    def app(self) -> web.Application:
        """Return the application of the callers' port."""
        app = web.Application(
            middlewares=[self._problems],
            client_max_size=self.max_body_bytes,
        )
        app.add_routes(
            [
                web.get('/v1/models', self.models),
                web.post('/v1/completions', self.complete),
                web.post('/v1/chat/completions', self.complete),
                *self.routes,
            ]
        )
        return app

    async def models(self, request: web.Request) -> web.Response:
        """List the services of the caller's workspace."""
        version = self.holder.current
        workspace = authenticate(request.headers, version)
        services = version.rendered.services_by_workspace[workspace]
        listed = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': workspace}
            for name in services
        ]
        return json_response({'object': 'list', 'data': listed})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Serve one completion."""
        version = self.holder.current
        workspace = authenticate(request.headers, version)
        incoming = IncomingRequest(
            request_id=request[REQUEST_ID],
            path=request.path,
            headers=request.headers,
            body=await read_body(request),
            arrived_at=self.clock.monotonic(),
            created=int(self.clock.wall()),
        )
        wanted = parse_completion(incoming, workspace, version)
        with self.track_in_flight(wanted.request_id):
            if wanted.idempotency_key and self.serve_keyed is not None:
                call = keyed_call(incoming, workspace)
                return await self.serve_keyed(request, call)
            async with self._admitted(wanted):
                return await self._serve(request, wanted)

    @contextmanager
    def track_in_flight(self, request_id: str) -> Iterator[None]:
        """Count a request as in flight."""
        self.in_flight.add(request_id)
        with ExitStack() as stack:
            stack.callback(self.in_flight.discard, request_id)
            yield

    def _admitted(
        self,
        wanted: CallerRequest,
    ) -> AbstractAsyncContextManager[None]:
        if self.admission is None:
            return nullcontext()
        return self.admission.admitted(wanted)

    async def _serve(
        self,
        request: web.Request,
        wanted: CallerRequest,
    ) -> web.StreamResponse:
        dispatch = DispatchRecord(self.invariants, wanted.request_id)
        if wanted.is_streamed:
            return await self._stream(request, wanted, dispatch)
        try:
            body = await self.server.complete(wanted, dispatch)
        except RudderError as error:
            raise dispatch.close(error) from error
        headers = {
            RAN_HEADER: Ran.YES.value,
            REQUEST_ID_HEADER: wanted.request_id,
        }
        return web.Response(
            body=body,
            headers=headers,
            content_type='application/json',
        )

    async def _stream(
        self,
        request: web.Request,
        wanted: CallerRequest,
        dispatch: DispatchRecord,
    ) -> web.StreamResponse:
        stream = CallerStream(
            request,
            wanted.request_id,
            self.clock,
            self.metrics,
            request[ARRIVED_AT],
        )
        try:
            await self.server.stream(wanted, dispatch, stream.send)
        except RudderError as error:
            dispatch.close(error)
            if not stream.has_begun:
                raise
            await stream.fail(error)
        except ConnectionResetError:
            self.metrics.count('callers_gone')
        else:
            await stream.finish()
        return stream.response

    @web.middleware
    async def _problems(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        unique = uuid.uuid4().hex
        request[REQUEST_ID] = f'req-{unique}'
        request[ARRIVED_AT] = self.clock.monotonic()
        try:
            self.guard.check(request)
            response = await handler(request)
        except web.HTTPException as refused:
            return self._problem(request, _from_http(refused))
        except RudderError as error:
            return self._problem(request, error)
        except Exception as fault:
            logger.bind(request_id=request[REQUEST_ID]).error(
                'request failed: {}',
                type(fault).__name__,
            )
            return self._problem(request, InternalFault('the entry failed'))
        self.metrics.count('requests', code='ok')
        return response

    def _problem(
        self,
        request: web.Request,
        error: RudderError,
    ) -> web.Response:
        self.metrics.count('requests', code=error.code)
        if not request.get(KEY_SETTLED) and is_of_attempt(request, error):
            error.ran = Ran.UNKNOWN
        request_id = request[REQUEST_ID]
        return web.Response(
            status=error.status,
            body=problem_body(error, request_id),
            headers=problem_headers(error, request_id),
        )


def is_of_attempt(request: web.Request, error: RudderError) -> bool:
    """Return whether a refusal tells nothing of earlier attempts.

    Explanation
    ===========
    A repeat may be refused for the load or the state of this moment although
    an earlier attempt with its key ran; "not run" would mislead its caller.
    """
    is_of_moment = (
        error.status == HTTPStatus.TOO_MANY_REQUESTS
        or error.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    )
    return is_of_moment and KEY_HEADER in request.headers


class _HttpRefusal(RudderError):
    """A refusal of the HTTP library, with its own status."""

    code = 'http_error'
    ran = Ran.NO
    default_remedy = 'correct the request'


def _from_http(refused: web.HTTPException) -> RudderError:
    if isinstance(refused, web.HTTPNotFound):
        return NotFound('got a path that is not served')
    error = _HttpRefusal(refused.reason)
    error.status = refused.status  # type: ignore[misc]
    return error


def json_response(body: object) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=orjson.dumps(body),
        content_type='application/json',
    )
