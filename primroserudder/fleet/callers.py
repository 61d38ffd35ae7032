"""Handles callers' requests over HTTP."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from aiohttp import web

from ..errors import Ran, RudderError
from ..platform import headers as wire
from ..platform.names import ATTEMPT_ID
from ..process.decisions import DecisionLog
from ..process.invariants import Invariants
from ..process.metrics import Metrics
from ..request.dispatch import DispatchRecord
from .attempt import AttemptResult, StreamSink
from .call import Call
from .callerbody import discard_body, read_body
from .cutoff import CutOff, Cutoff, stop_error
from .model import Configuration
from .requestendings import RequestEndings
from .retries import Ending, RetryState
from .routes import find_destination, find_route
from .servedrequest import CallerDisconnected, ServedRequest
from .serving import Server
from .unexpectederror import UnexpectedError, cause_fields

FIRST_CONFIGURATION_RETRY_S = 0.5
DEFAULT_DEADLINE_S = 30.0


class NoConfiguration(RudderError):
    """This VM has not received a configuration yet."""

    code = 'no_configuration'
    status = 503
    ran = Ran.NO
    default_remedy = 'retry the request after the delay in Retry-After'


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
    endings: RequestEndings = field(init=False)
    cutoff: Cutoff = field(default_factory=Cutoff)
    is_closing: bool = False
    busy_connections: Counter[web.RequestHandler] = field(
        default_factory=Counter,
    )

    def __post_init__(self) -> None:
        """Create the invariants, which count violations in the metrics."""
        self.invariants = Invariants(self.metrics)
        self.endings = RequestEndings(self.invariants, self.metrics)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are being served."""
        return self.busy_connections.total()

    async def serve_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve one request and return its response, which is written."""
        self.on_request()
        attempt_id = request.headers.get(ATTEMPT_ID, '')
        with self._tracked_connection(request):
            with self.endings.tracked(attempt_id) as opened:
                served = ServedRequest(
                    request,
                    opened,
                    asyncio.get_running_loop().time(),
                    lambda: self.is_closing,
                )
                response = await self._serve_to_end(served)
            await discard_body(request.content)
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
        sink = StreamSink(stream.start, stream.send_event)
        try:
            async with self.cutoff.limited():
                call = await self._read_request(served)
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

    async def _read_request(self, served: ServedRequest) -> Call:
        request = served.request
        configuration = self.configuration()
        if configuration is None:
            raise NoConfiguration(
                'no configuration has been received yet',
                retry_after=FIRST_CONFIGURATION_RETRY_S,
            )
        metadata = wire.read_request(request.headers)
        route = find_route(
            configuration,
            request.headers.get('Host', ''),
            request.raw_path.partition('?')[0],
        )
        destination = find_destination(
            configuration, route, metadata.api_key, self.rng
        )
        allowed_s = metadata.deadline_s or DEFAULT_DEADLINE_S
        deadline_at = served.received_at + min(allowed_s, route.timeout_s)
        body = await read_body(
            request, configuration.limits.body_bytes, deadline_at
        )
        served.dispatch = DispatchRecord(self.invariants, metadata.attempt_id)
        return Call(
            method=request.method,
            raw_path=request.raw_path,
            headers=request.headers,
            body=body,
            metadata=metadata,
            destination=destination,
            received_at=served.received_at,
            deadline_at=deadline_at,
            retry_state=RetryState(route),
            dispatch=served.dispatch,
            last_event_id=metadata.last_event_id,
        )

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
        self.log.note(
            'caller_gone',
            request=served.attempt_id,
            end=served.end,
            had_events=served.stream.response is not None,
            held_ms=round(served.held_s * 1000),
            path=served.request.path,
        )


def _is_cancelled() -> bool:
    """Return whether the current task itself was cancelled."""
    task = asyncio.current_task()
    return task is None or bool(task.cancelling())
