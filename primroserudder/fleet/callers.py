"""Takes callers' requests over HTTP and gives them their answers."""

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
    """This VM does not know a configuration yet."""

    code = 'no_configuration'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat the request in a moment'


class CallerGone(RudderError):
    """The caller closed its connection."""

    code = 'caller_gone'
    status = 499
    default_remedy = 'nothing: nobody waits for the answer'


class BodyTooLarge(RudderError):
    """The body is larger than the configuration allows."""

    code = 'body_too_large'
    status = 413
    ran = Ran.NO
    default_remedy = 'send less'


@dataclass(slots=True, eq=False)
class CallerStream:
    """A caller's answer in the making."""

    request: web.BaseRequest
    is_closing: Callable[[], bool]
    response: web.StreamResponse | None = None

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the head of the answer."""
        response = web.StreamResponse(status=status, headers=headers)
        if self.is_closing():
            response.force_close()
        self.response = response
        try:
            await response.prepare(self.request)
        except OSError as error:
            raise CallerGone('the caller left') from error

    async def pass_on(self, event: Event) -> None:
        """Send one event."""
        if self.response is None:
            return
        try:
            await self.response.write(event.octets)
        except OSError as error:
            raise CallerGone('the caller left') from error

    async def finish(self) -> web.StreamResponse:
        """End a whole stream."""
        response = self.response or web.Response(status=HTTPStatus.OK)
        await response.write_eof()
        return response

    def abort(self) -> None:
        """Cut the connection, so that the answer can't look complete."""
        if self.request.transport is not None:
            self.request.transport.abort()


@dataclass(slots=True)
class CallerDoor:
    """Reads requests, has them served and answers them."""

    server: Server
    configuration: Callable[[], Configuration | None]
    log: DecisionLog
    metrics: Metrics
    on_request: Callable[[], None]
    draw: random.Random = field(default_factory=random.Random)
    invariants: Invariants = field(init=False)
    is_closing: bool = False
    busy_connections: Counter[web.RequestHandler] = field(
        default_factory=Counter,
    )

    def __post_init__(self) -> None:
        """Count violations with the other metrics."""
        self.invariants = Invariants(self.metrics)

    @property
    def under_way(self) -> int:
        """Return the requests that are being served."""
        return self.busy_connections.total()

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.on_request()
        with self._counted(request):
            return await self._answer_counted(request)

    @contextmanager
    def _counted(self, request: web.BaseRequest) -> Iterator[None]:
        self.busy_connections[request.protocol] += 1
        try:
            yield
        finally:
            self.busy_connections -= Counter((request.protocol,))

    async def _answer_counted(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        received_at = asyncio.get_running_loop().time()
        stream = CallerStream(request, lambda: self.is_closing)
        sink = StreamSink(stream.start, stream.pass_on)
        try:
            call = await self._read(request, received_at)
            outcome = await self.server.serve(call, sink)
        except CallerGone:
            raise asyncio.CancelledError from None
        except RudderError as error:
            return self._refuse(request, stream, error, received_at)
        self._note_end(call, outcome, received_at)
        if stream.response is None:
            return self._whole_answer(outcome)
        is_whole = outcome.ending is Ending.DELIVERED
        self.metrics.count('streams', whole=str(is_whole))
        if is_whole:
            return await stream.finish()
        stream.abort()
        return stream.response

    async def _read(
        self,
        request: web.BaseRequest,
        received_at: float,
    ) -> Call:
        configuration = self.configuration()
        if configuration is None:
            raise NoConfiguration(
                'no configuration is known yet',
                retry_after=FIRST_CONFIGURATION_RETRY_S,
            )
        facts = wire.read_request(request.headers)
        path = request.raw_path.partition('?')[0]
        host = request.headers.get('Host', '')
        route = find_route(configuration, host, path)
        destination = find_destination(
            configuration, route, facts.api_key, self.draw
        )
        body = await _body(request, configuration.limits.body_bytes)
        allowed = facts.deadline_s or DEFAULT_DEADLINE_S
        return Call(
            method=request.method,
            raw_path=request.raw_path,
            headers=request.headers,
            body=body,
            facts=facts,
            destination=destination,
            received_at=received_at,
            deadline_at=received_at + min(allowed, route.timeout_s),
            retry_state=RetryState(route),
            dispatch=DispatchRecord(self.invariants, facts.attempt_id),
            last_event_id=facts.last_event_id,
        )

    def _whole_answer(self, outcome: AttemptResult) -> web.Response:
        answer = outcome.answer
        if answer is None:
            return web.Response(status=HTTPStatus.BAD_GATEWAY)
        response = web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
        if self.is_closing:
            response.force_close()
        return response

    def _refuse(
        self,
        request: web.BaseRequest,
        stream: CallerStream,
        error: RudderError,
        received_at: float,
    ) -> web.StreamResponse:
        held_s = asyncio.get_running_loop().time() - received_at
        attempt_id = request.headers.get(ATTEMPT_ID, '')
        self.metrics.count('refusals', code=error.code)
        self.metrics.latency(f'refusal_{error.code}').record(held_s)
        self.log.note(
            'refuse',
            request=attempt_id,
            code=error.code,
            status=error.status,
            ran=error.ran.value,
            reason=str(error),
            held_ms=round(held_s * 1000),
            path=request.path,
        )
        if stream.response is not None:
            stream.abort()
            return stream.response
        return _refusal(error, attempt_id, is_closing=self.is_closing)

    def _note_end(
        self,
        call: Call,
        outcome: AttemptResult,
        received_at: float,
    ) -> None:
        taken_s = asyncio.get_running_loop().time() - received_at
        self.metrics.count('answers', ending=outcome.ending.value)
        self.metrics.latency('answer').record(taken_s)
        self.log.note(
            'answer',
            request=call.facts.attempt_id,
            route=call.destination.route.name,
            ending=outcome.ending.value,
            reason=outcome.reason,
            runs=call.retry_state.runs,
            engines=sorted(call.tried),
            taken_ms=round(taken_s * 1000),
        )


async def _body(request: web.BaseRequest, most: int) -> bytes:
    collected = bytearray()
    async for octets in request.content.iter_any():
        collected += octets
        if len(collected) > most:
            raise BodyTooLarge(f'the body exceeds {most} bytes')
    return bytes(collected)


def _refusal(
    error: RudderError,
    attempt_id: str,
    *,
    is_closing: bool,
) -> web.Response:
    headers = {ATTEMPT_ID: attempt_id} if attempt_id else {}
    if error.retry_after is not None:
        headers['Retry-After'] = format(error.retry_after, 'g')
    told = {
        'code': error.code,
        'message': str(error),
        'remedy': error.remedy,
        'ran': error.ran.value,
    }
    response = web.Response(
        status=error.status,
        headers=headers,
        body=orjson.dumps({'error': told}),
        content_type='application/json',
    )
    if is_closing:
        response.force_close()
    return response
