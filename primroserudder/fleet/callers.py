"""Handles callers' requests over HTTP."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus

import orjson
from aiohttp import web
from multidict import CIMultiDict

from ..errors import Ran, RudderError
from ..platform import headers as wire
from ..platform.names import ATTEMPT_ID
from ..process.decisions import DecisionLog
from ..process.invariants import Invariants
from ..process.metrics import Metrics
from ..request.dispatch import DispatchRecord
from .attempt import AttemptResult, StreamSink
from .call import Call
from .events import Event
from .model import Configuration
from .retries import Ending, RetryState
from .routes import find_destination, find_route
from .serving import Server

FIRST_CONFIGURATION_RETRY_S = 0.5
DEFAULT_DEADLINE_S = 30.0


class NoConfiguration(RudderError):
    """This VM has not received a configuration yet."""

    code = 'no_configuration'
    status = 503
    ran = Ran.NO
    default_remedy = 'retry the request after the delay in Retry-After'


class CallerDisconnected(RudderError):
    """The caller closed its connection."""

    code = 'caller_gone'
    status = 499
    default_remedy = 'none is needed: the caller has disconnected'


class BodyTooLarge(RudderError):
    """The request body exceeds the configured limit."""

    code = 'body_too_large'
    status = 413
    ran = Ran.NO
    default_remedy = 'send a smaller body'


@dataclass(slots=True, eq=False)
class CallerStream:
    """A response that is being streamed to a caller."""

    request: web.BaseRequest
    is_closing: Callable[[], bool]
    response: web.StreamResponse | None = None

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the status line and the header fields.

        Raises
        ======
        CallerDisconnected
            The caller closed its connection.
        """
        response = web.StreamResponse(status=status, headers=headers)
        if self.is_closing():
            response.force_close()
        self.response = response
        try:
            await response.prepare(self.request)
        except OSError as error:
            raise CallerDisconnected(
                'the caller closed its connection'
            ) from error

    async def send_event(self, event: Event) -> None:
        """Send one event.

        Raises
        ======
        CallerDisconnected
            The caller closed its connection.
        """
        if self.response is None:
            return
        try:
            await self.response.write(event.octets)
        except OSError as error:
            raise CallerDisconnected(
                'the caller closed its connection'
            ) from error

    async def finish(self) -> web.StreamResponse:
        """Finish a complete stream and return its response.

        Raises
        ======
        CallerDisconnected
            The caller closed its connection.
        """
        response = self.response or web.Response(status=HTTPStatus.OK)
        try:
            await response.write_eof()
        except OSError as error:
            raise CallerDisconnected(
                'the caller closed its connection'
            ) from error
        return response

    def abort(self) -> None:
        """Abort the connection, so that the stream can't look complete."""
        if self.request.transport is not None:
            self.request.transport.abort()


@dataclass(slots=True)
class CallerHandler:
    """Reads requests, serves them and sends the responses."""

    server: Server
    configuration: Callable[[], Configuration | None]
    log: DecisionLog
    metrics: Metrics
    on_request: Callable[[], None]
    rng: random.Random = field(default_factory=random.Random)
    invariants: Invariants = field(init=False)
    is_closing: bool = False
    busy_connections: Counter[web.RequestHandler] = field(
        default_factory=Counter,
    )

    def __post_init__(self) -> None:
        """Create the invariants, which count violations in the metrics."""
        self.invariants = Invariants(self.metrics)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are being served."""
        return self.busy_connections.total()

    async def serve_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve one request and return its response."""
        self.on_request()
        with self._tracked_request(request):
            return await self._serve(request)

    @contextmanager
    def _tracked_request(self, request: web.BaseRequest) -> Iterator[None]:
        self.busy_connections[request.protocol] += 1
        try:
            yield
        finally:
            self.busy_connections -= Counter((request.protocol,))

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        received_at = asyncio.get_running_loop().time()
        stream = CallerStream(request, lambda: self.is_closing)
        sink = StreamSink(stream.start, stream.send_event)
        try:
            call = await self._read_request(request, received_at)
            outcome = await self.server.serve(call, sink)
        except CallerDisconnected:
            raise asyncio.CancelledError from None
        except RudderError as error:
            return self._handle_error(request, stream, error, received_at)
        self._log_answer(call, outcome, received_at)
        if stream.response is None:
            return self._complete_response(outcome)
        is_whole = outcome.ending is Ending.DELIVERED
        self.metrics.count('streams', whole=str(is_whole))
        if is_whole:
            return await self._finish(stream)
        stream.abort()
        return stream.response

    async def _finish(self, stream: CallerStream) -> web.StreamResponse:
        """Finish a stream; one whose caller left needs no response."""
        try:
            return await stream.finish()
        except CallerDisconnected:
            raise asyncio.CancelledError from None

    async def _read_request(
        self,
        request: web.BaseRequest,
        received_at: float,
    ) -> Call:
        configuration = self.configuration()
        if configuration is None:
            raise NoConfiguration(
                'no configuration has been received yet',
                retry_after=FIRST_CONFIGURATION_RETRY_S,
            )
        metadata = wire.read_request(request.headers)
        path = request.raw_path.partition('?')[0]
        host = request.headers.get('Host', '')
        route = find_route(configuration, host, path)
        destination = find_destination(
            configuration, route, metadata.api_key, self.rng
        )
        body = await _read_body(request, configuration.limits.body_bytes)
        allowed_s = metadata.deadline_s or DEFAULT_DEADLINE_S
        return Call(
            method=request.method,
            raw_path=request.raw_path,
            headers=request.headers,
            body=body,
            metadata=metadata,
            destination=destination,
            received_at=received_at,
            deadline_at=received_at + min(allowed_s, route.timeout_s),
            retry_state=RetryState(route),
            dispatch=DispatchRecord(self.invariants, metadata.attempt_id),
            last_event_id=metadata.last_event_id,
        )

    def _complete_response(self, outcome: AttemptResult) -> web.Response:
        complete = outcome.response
        if complete is None:
            return web.Response(status=HTTPStatus.BAD_GATEWAY)
        response = web.Response(
            status=complete.status, headers=complete.headers, body=complete.body
        )
        if self.is_closing:
            response.force_close()
        return response

    def _handle_error(
        self,
        request: web.BaseRequest,
        stream: CallerStream,
        error: RudderError,
        received_at: float,
    ) -> web.StreamResponse:
        elapsed_s = asyncio.get_running_loop().time() - received_at
        attempt_id = request.headers.get(ATTEMPT_ID, '')
        self.metrics.count('refusals', code=error.code)
        self.metrics.latency(f'refusal_{error.code}').record(elapsed_s)
        self.log.note(
            'refuse',
            request=attempt_id,
            code=error.code,
            status=error.status,
            ran=error.ran.value,
            reason=str(error),
            held_ms=round(elapsed_s * 1000),
            path=request.path,
        )
        if stream.response is not None:
            stream.abort()
            return stream.response
        return _error_response(error, attempt_id, is_closing=self.is_closing)

    def _log_answer(
        self,
        call: Call,
        outcome: AttemptResult,
        received_at: float,
    ) -> None:
        elapsed_s = asyncio.get_running_loop().time() - received_at
        self.metrics.count('answers', ending=outcome.ending.value)
        self.metrics.latency('answer').record(elapsed_s)
        self.log.note(
            'answer',
            request=call.metadata.attempt_id,
            route=call.destination.route.name,
            ending=outcome.ending.value,
            reason=outcome.reason,
            runs=call.retry_state.runs,
            engines=sorted(call.tried_engines),
            taken_ms=round(elapsed_s * 1000),
        )


async def _read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    body = bytearray()
    async for octets in request.content.iter_any():
        body += octets
        if len(body) > max_bytes:
            raise BodyTooLarge(f'the request body exceeds {max_bytes} bytes')
    return bytes(body)


def _error_response(
    error: RudderError,
    attempt_id: str,
    *,
    is_closing: bool,
) -> web.Response:
    headers = {ATTEMPT_ID: attempt_id} if attempt_id else {}
    if error.retry_after is not None:
        headers['Retry-After'] = format(error.retry_after, 'g')
    error_fields = {
        'code': error.code,
        'message': str(error),
        'remedy': error.remedy,
        'ran': error.ran.value,
    }
    response = web.Response(
        status=error.status,
        headers=headers,
        body=orjson.dumps({'error': error_fields}),
        content_type='application/json',
    )
    if is_closing:
        response.force_close()
    return response
