"""Handles callers' requests over HTTP."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from aiohttp import web

from ..errors import RudderError
from ..platform.names import ATTEMPT_ID
from ..process.decisions import DecisionLog
from ..process.invariants import Invariants
from ..process.metrics import Metrics
from .attempt import AttemptResult, StreamSink
from .call import Call
from .callerbody import discard_rest
from .configurationage import Age, age_fields, no_age
from .cutoff import CutOff, Cutoff, stop_error
from .httpserver import HttpConnection
from .memory import (
    CallerTooSlow,
    ConnectionRegister,
    ConnectionWatch,
    Holding,
)
from .model import Configuration
from .requestendings import RequestEndings
from .requestreader import RequestReader
from .retries import Ending
from .servedrequest import CallerDisconnected, ServedRequest
from .serving import Server
from .unexpectederror import UnexpectedError, cause_fields


@dataclass(slots=True)
class CallerHandler:
    """Reads requests, serves them and sends the responses."""

    server: Server
    configuration: Callable[[], Configuration | None]
    log: DecisionLog
    metrics: Metrics
    on_request: Callable[[], None]
    watch: ConnectionWatch
    register: ConnectionRegister
    configuration_age: Age = no_age
    invariants: Invariants = field(init=False)
    endings: RequestEndings = field(init=False)
    reader: RequestReader = field(init=False)
    cutoff: Cutoff = field(default_factory=Cutoff)
    is_closing: bool = False
    busy_connections: Counter[web.RequestHandler] = field(
        default_factory=Counter,
    )

    def __post_init__(self) -> None:
        """Create the invariants, which count violations in the metrics."""
        self.invariants = Invariants(self.metrics)
        self.endings = RequestEndings(self.invariants, self.metrics)
        self.reader = RequestReader(
            self.configuration,
            self.invariants,
            self.server.selector.forwarder.reach,
            self.register,
            self.configuration_age,
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are being served."""
        return self.busy_connections.total()

    async def serve_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve a caller's request; return its response, which is written."""
        return await self._serve_request(request, None)

    async def serve_forwarded(
        self, request: web.BaseRequest, attempts_left: int
    ) -> web.StreamResponse:
        """Serve a request for another router, which reaches no engine."""
        return await self._serve_request(request, attempts_left)

    async def _serve_request(
        self, request: web.BaseRequest, attempts_left: int | None
    ) -> web.StreamResponse:
        self.on_request()
        attempt_id = request.headers.get(ATTEMPT_ID, '')
        with self._tracked_connection(request):
            with self.endings.tracked(attempt_id) as opened:
                served = ServedRequest(
                    request,
                    opened,
                    asyncio.get_running_loop().time(),
                    lambda: self.is_closing,
                    attempts_left,
                    Holding(self.watch.budget),
                )
                with _serving(request, served):
                    response = await self._serve_to_end(served)
            await discard_rest(request, self.register)
        return response

    @contextmanager
    def _tracked_connection(self, request: web.BaseRequest) -> Iterator[None]:
        self.busy_connections[request.protocol] += 1
        try:
            yield
        finally:
            self.busy_connections[request.protocol] -= 1
            if not self.busy_connections[request.protocol]:
                self.busy_connections.pop(request.protocol)

    async def _serve_to_end(self, served: ServedRequest) -> web.StreamResponse:
        try:
            return await self._serve(served)
        except CallerDisconnected:
            self._note_gone(served)
            raise asyncio.CancelledError from None
        except asyncio.CancelledError as error:
            if _is_cancelled():
                if served.is_caller_gone:
                    self._note_gone(served)
                raise
            # Something that the request waited for was cancelled.
            return await self._end_unexpectedly(served, error)
        except Exception as error:
            return await self._end_unexpectedly(served, error)

    async def _serve(self, served: ServedRequest) -> web.StreamResponse:
        stream = served.stream
        sink = StreamSink(stream.start, stream.send_event, stream.is_blocked)
        served.stream_buffers = lambda: sink.buffered_bytes()
        try:
            async with self.cutoff.limited():
                call = await self.reader.read(
                    served, is_closing=self.is_closing
                )
                served.count_runs = lambda: call.retry_state.runs
                outcome = await self.server.serve(call, sink)
        except CutOff:
            return await self._refuse(served, stop_error(served.dispatch))
        except CallerDisconnected:
            raise
        except RudderError as error:
            return await self._refuse(served, error)
        return await self._answer(served, call, outcome)

    async def _end_unexpectedly(
        self, served: ServedRequest, error: BaseException
    ) -> web.StreamResponse:
        """Refuse a request, or abort its stream, after an unexpected error."""
        return await self._refuse(served, UnexpectedError(error))

    async def _answer(
        self, served: ServedRequest, call: Call, outcome: AttemptResult
    ) -> web.StreamResponse:
        taken_s = served.held_s
        response = await self._end(served, outcome)
        self._log_answer(served, call, outcome, taken_s)
        return response

    async def _end(
        self, served: ServedRequest, outcome: AttemptResult
    ) -> web.StreamResponse:
        stream_response = served.stream.response
        if stream_response is None:
            return await served.answer(outcome)
        is_whole = outcome.ending is Ending.DELIVERED
        self.metrics.count('streams', whole=str(is_whole))
        if is_whole:
            return await served.finish_stream()
        return served.abort_stream(stream_response)

    async def _refuse(
        self, served: ServedRequest, error: RudderError
    ) -> web.StreamResponse:
        held_s = served.held_s
        stream_response = served.stream.response
        if stream_response is None:
            response = await served.refuse(error)
        else:
            response = served.abort_stream(stream_response)
        self._log_refusal(served, error, held_s)
        return response

    def _log_refusal(
        self, served: ServedRequest, error: RudderError, held_s: float
    ) -> None:
        self.metrics.count('refusals', code=error.code)
        self.metrics.latency(f'refusal_{error.code}').record(held_s)
        self.log.note(
            'refuse',
            request=served.attempt_id,
            end=served.end,
            code=error.code,
            status=error.status,
            ran=error.ran.value,
            reason=str(error),
            **cause_fields(error),
            **age_fields(error, self.configuration_age),
            held_ms=round(held_s * 1000),
            path=served.request.path,
        )

    def _log_answer(
        self,
        served: ServedRequest,
        call: Call,
        outcome: AttemptResult,
        taken_s: float,
    ) -> None:
        self.metrics.count('answers', ending=outcome.ending.value)
        self.metrics.latency('answer').record(taken_s)
        self.log.note(
            'answer',
            request=call.metadata.attempt_id,
            end=served.end,
            route=call.destination.route.name,
            ending=outcome.ending.value,
            reason=outcome.reason,
            runs=call.retry_state.runs,
            engines=sorted(call.tried_engines),
            taken_ms=round(taken_s * 1000),
        )

    def _note_gone(self, served: ServedRequest) -> None:
        served.note_gone()
        if served.cut_reason is not None:
            error = CallerTooSlow(f'not read: {served.cut_reason}')
            self._log_refusal(served, error, served.held_s)
            return
        self.log.note(
            'caller_gone',
            request=served.attempt_id,
            end=served.end,
            had_events=served.stream.response is not None,
            held_ms=round(served.held_s * 1000),
            path=served.request.path,
        )


@contextmanager
def _serving(request: web.BaseRequest, served: ServedRequest) -> Iterator[None]:
    """Let the connection know its request; free what it held at the end."""
    connection = request.protocol
    if isinstance(connection, HttpConnection):
        connection.served = served
    try:
        yield
    finally:
        served.holding.close()
        if isinstance(connection, HttpConnection):
            connection.served = None


def _is_cancelled() -> bool:
    """Return whether the current task itself was cancelled."""
    task = asyncio.current_task()
    return task is None or bool(task.cancelling())
