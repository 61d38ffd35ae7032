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
# Set when the reported outcome also holds for earlier requests with the same
# idempotency key.
KEY_SETTLED = web.RequestKey('key_settled', bool)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
KeyedHandler = Callable[
    [web.Request, ServiceCall],
    Awaitable[web.StreamResponse],
]


class InternalFault(RudderError):
    """An unexpected exception in the entry itself."""


class NotFound(RudderError):
    """The callers' port does not serve the requested path."""

    code = 'not_found'
    status = 404
    ran = Ran.NO
    default_remedy = 'use /v1/models, /v1/completions or /v1/chat/completions'


@dataclass(slots=True)
class Callers:
    """Handles callers' requests for the lifetime of the process."""

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
        """Create the connection guard of the port."""
        self.guard = ConnectionGuard(self.clock, self.metrics)

    def app(self) -> web.Application:
        """Return the web application of the callers' port."""
        app = web.Application(
            middlewares=[self._handle_errors],
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
        model_list = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': workspace}
            for name in services
        ]
        return json_response({'object': 'list', 'data': model_list})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Serve one completion request, streamed or whole."""
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
        caller_request = parse_completion(incoming, workspace, version)
        with self.track_in_flight(caller_request.request_id):
            if caller_request.idempotency_key and self.serve_keyed is not None:
                call = keyed_call(incoming, workspace)
                return await self.serve_keyed(request, call)
            async with self._admission(caller_request):
                return await self._serve(request, caller_request)

    @contextmanager
    def track_in_flight(self, request_id: str) -> Iterator[None]:
        """Count a request as in flight until the context ends."""
        self.in_flight.add(request_id)
        with ExitStack() as stack:
            stack.callback(self.in_flight.discard, request_id)
            yield

    def _admission(
        self,
        caller_request: CallerRequest,
    ) -> AbstractAsyncContextManager[None]:
        if self.admission is None:
            return nullcontext()
        return self.admission.admitted(caller_request)

    async def _serve(
        self,
        request: web.Request,
        caller_request: CallerRequest,
    ) -> web.StreamResponse:
        dispatch = DispatchRecord(self.invariants, caller_request.request_id)
        if caller_request.is_streamed:
            return await self._stream(request, caller_request, dispatch)
        try:
            body = await self.server.complete(caller_request, dispatch)
        except RudderError as error:
            raise dispatch.close(error) from error
        headers = {
            RAN_HEADER: Ran.YES.value,
            REQUEST_ID_HEADER: caller_request.request_id,
        }
        return web.Response(
            body=body,
            headers=headers,
            content_type='application/json',
        )

    async def _stream(
        self,
        request: web.Request,
        caller_request: CallerRequest,
        dispatch: DispatchRecord,
    ) -> web.StreamResponse:
        stream = CallerStream(
            request,
            caller_request.request_id,
            self.clock,
            self.metrics,
            request[ARRIVED_AT],
        )
        try:
            await self.server.stream(caller_request, dispatch, stream.send)
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
    async def _handle_errors(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        request_uuid = uuid.uuid4().hex
        request[REQUEST_ID] = f'req-{request_uuid}'
        request[ARRIVED_AT] = self.clock.monotonic()
        try:
            self.guard.check(request)
            response = await handler(request)
        except web.HTTPException as http_error:
            return self._problem_response(request, _error_from_http(http_error))
        except RudderError as error:
            return self._problem_response(request, error)
        except Exception as unexpected:
            logger.bind(request_id=request[REQUEST_ID]).error(
                'request failed: {}',
                type(unexpected).__name__,
            )
            return self._problem_response(
                request, InternalFault('the entry failed')
            )
        self.metrics.count('requests', code='ok')
        return response

    def _problem_response(
        self,
        request: web.Request,
        error: RudderError,
    ) -> web.Response:
        self.metrics.count('requests', code=error.code)
        if not request.get(KEY_SETTLED) and may_hide_earlier_run(
            request, error
        ):
            error.ran = Ran.UNKNOWN
        request_id = request[REQUEST_ID]
        return web.Response(
            status=error.status,
            body=problem_body(error, request_id),
            headers=problem_headers(error, request_id),
        )


def may_hide_earlier_run(request: web.Request, error: RudderError) -> bool:
    """Return whether an earlier request with the same key may have run.

    Explanation
    ===========
    A repeated request may be refused because of the current load or state
    although an earlier request with its idempotency key ran. The answer "not
    run" would then mislead the caller.
    """
    is_temporary = (
        error.status == HTTPStatus.TOO_MANY_REQUESTS
        or error.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    )
    return is_temporary and KEY_HEADER in request.headers


class _HttpLibraryError(RudderError):
    """An error of the HTTP library, with the status that it chose."""

    code = 'http_error'
    ran = Ran.NO
    default_remedy = 'correct the request'


def _error_from_http(http_error: web.HTTPException) -> RudderError:
    if isinstance(http_error, web.HTTPNotFound):
        return NotFound('got a path that is not served')
    error = _HttpLibraryError(http_error.reason)
    error.status = http_error.status  # type: ignore[misc]
    return error


def json_response(body: object) -> web.Response:
    """Return a response whose body is the given value as JSON."""
    return web.Response(
        body=orjson.dumps(body),
        content_type='application/json',
    )
