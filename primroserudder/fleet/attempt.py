"""A single attempt to run a request on an engine."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from ..httpclient import BrokenResponse, read_pieces
from ..platform import headers as wire
from ..platform.signals import EngineSignals, engine_signals
from .call import Call
from .eventorder import EventOrder
from .events import Event, EventSplitter, EventTooLong
from .forwarding.messages import NOT_ARRIVED, headers_for_router, take_runs
from .framing import Framing
from .memory.streambuffers import StreamBuffers
from .model import RequestKind, Target
from .retries import Ending

# Connecting to another failure domain takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.15
# An event loop that is so late may not have noticed that an engine accepted.
LATE_S = 0.005
# Then the engine is tried again, so often at most.
MAX_LATE_CONNECTIONS = 3
RECONNECT_TIMEOUT_S = 0.05
MIN_TIMEOUT_S = 0.001
STATUS_OK = 200
STATUS_REDIRECT = 300
MAX_RESPONSE_BYTES = 16_777_216
# Other tasks get their turn after this many events of one piece.
EVENTS_IN_A_ROW = 64
# An engine sends what a pass generated together; two passes are further apart.
TOGETHER_S = 0.002
NO_CONNECTION = 'no connection'
NO_MEMORY = 'no memory for the response'
_TRANSPORT_ERRORS = (
    aiohttp.ClientError,
    OSError,
    ValueError,
    EventTooLong,
)
_OMITTED_DEFAULT_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


class NoMemoryLeft(aiohttp.ClientPayloadError):
    """A response gave way to others, as the memory of this VM is in use."""


@dataclass(frozen=True, slots=True)
class EngineResponse:
    """A complete response of an engine, with its body in pieces."""

    status: int
    headers: CIMultiDict[str]
    pieces: Sequence[bytes]

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b''.join(self.pieces)


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How and why an attempt ended, with the response if it is complete.

    Explanation
    ===========
    ``engine_at_fault`` is the id of the engine that a refusal names, empty if
    it names none. ``may_have_crashed`` is true if the connection failed after
    it was opened. ``is_broken`` is true if the engine sent what is no response;
    it runs on, so that its requests are not to blame. ``has_arrived`` is false
    if no engine received the request. ``runs`` is on how many engines it may
    have run, ``None`` if no answer says so.
    """

    ending: Ending
    reason: str = ''
    response: EngineResponse | None = None
    engine_at_fault: str = ''
    may_have_crashed: bool = False
    is_broken: bool = False
    has_arrived: bool = True
    runs: int | None = None


StartStream = Callable[[int, CIMultiDict[str]], Awaitable[None]]
SendEvent = Callable[[Event], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class StreamKind:
    """Status and media type of a stream's response."""

    status: int
    media_type: str


@dataclass(slots=True)
class StreamSink:
    """Receiver of a stream; the response starts with the first event.

    Explanation
    ===========
    ``kind`` is that of the response which the caller receives, and which the
    responses of later engines go on with.
    """

    start: StartStream
    send_event: SendEvent
    # Whether the caller has not accepted all that was sent.
    is_blocked: Callable[[], bool] = bool
    is_started: bool = False
    kind: StreamKind | None = None
    buffered_bytes: Callable[[], int] = int


def _ignore() -> None:
    """Do nothing at the first event."""


@dataclass(slots=True)
class StreamActivity:
    """When a stream last sent an event, used to detect silent heads.

    Explanation
    ===========
    ``active_at`` is a time of the event loop, in seconds: that of the last
    event, or that of the attempt's start while there is none.
    ``first_events`` came together with the first one, at ``first_at``.
    """

    active_at: float = 0
    events: int = 0
    # Whether the engine is not read, because the caller doesn't read.
    is_blocked: Callable[[], bool] = bool
    on_first_event: Callable[[], None] = _ignore
    first_at: float = 0
    first_events: int = 0

    def note_event(self, now: float) -> None:
        """Note an event at a time of the event loop, in seconds."""
        self.active_at = now
        self.events += 1
        if self.events == 1:
            self.first_at = now
            self.on_first_event()
        if now - self.first_at <= TOGETHER_S:
            self.first_events += 1


@dataclass(slots=True)
class Attempt:
    """Sends a request to a target and reads the response.

    Explanation
    ===========
    Each attempt opens its own connection, so that a late or extra response,
    or a connection closed by an idle timeout, can't affect another request.
    """

    session: aiohttp.ClientSession
    call: Call
    target: Target
    sink: StreamSink
    on_signals: Callable[[Target, EngineSignals], None]
    activity: StreamActivity = field(default_factory=StreamActivity)

    async def run(self) -> AttemptResult:
        """Send the request and return how the attempt ended.

        Explanation
        ===========
        A process that was held up finds a connection that was made in the
        meantime timed out. That is no fault of the engine, so it connects anew.
        """
        loop = asyncio.get_running_loop()
        timeout_s = CONNECT_TIMEOUT_S
        for _ in range(MAX_LATE_CONNECTIONS):
            late_from = loop.time() + timeout_s + LATE_S
            outcome = await self._run_once(timeout_s)
            is_late = loop.time() >= late_from
            if outcome.ending is not Ending.NOT_SENT or not is_late:
                break
            timeout_s = RECONNECT_TIMEOUT_S
        return outcome

    async def _run_once(self, connect_timeout_s: float) -> AttemptResult:
        """Send the request if a connection is made in time."""
        call = self.call
        address = self.target.address
        url = URL(f'http://{address}{call.raw_path}', encoded=True)
        try:
            async with self.session.request(
                call.method,
                url,
                headers=self._headers(),
                data=call.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=max(call.remaining_s, MIN_TIMEOUT_S),
                    sock_connect=connect_timeout_s,
                ),
                skip_auto_headers=_OMITTED_DEFAULT_HEADERS,
            ) as response:
                return await self._read_response(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return AttemptResult(
                Ending.NOT_SENT, NO_CONNECTION, has_arrived=False
            )
        except TimeoutError as error:
            # A slow engine times out too.
            return self._broken_result(
                type(error).__name__, may_have_crashed=False
            )
        except _TRANSPORT_ERRORS as error:
            return self._failed_result(error)

    def _headers(self) -> CIMultiDict[str]:
        call = self.call
        if self.target.is_router:
            return headers_for_router(
                call.headers,
                call.retry_state.granted,
                call.remaining_s,
                call.last_event_id,
            )
        fields = wire.ForwardedFields(
            self.target.engine_id,
            call.destination.workspace.name,
            call.remaining_s,
            call.last_event_id,
        )
        return wire.request_headers_for_engine(call.headers, fields)

    def _broken_result(
        self, reason: str, *, may_have_crashed: bool = True
    ) -> AttemptResult:
        is_cut = self.sink.is_started
        ending = Ending.CUT if is_cut else Ending.UNKNOWN
        return AttemptResult(ending, reason, may_have_crashed=may_have_crashed)

    def _failed_result(self, error: Exception) -> AttemptResult:
        # The reader of the body keeps its error, and so what its frames held.
        error.with_traceback(None)
        if isinstance(error, NoMemoryLeft):
            return self._broken_result(str(error), may_have_crashed=False)
        if isinstance(error, BrokenResponse):
            broken = self._broken_result(str(error), may_have_crashed=False)
            return replace(broken, is_broken=True)
        return self._broken_result(type(error).__name__)

    async def _read_response(
        self, response: aiohttp.ClientResponse
    ) -> AttemptResult:
        headers = response.headers
        if not wire.echoes_attempt_id(headers, self.call.metadata.attempt_id):
            return self._broken_result('response belongs to another request')
        self._note_signals(response)
        if wire.confirms_not_run(response.status, headers):
            return AttemptResult(
                Ending.NOT_RUN,
                f'engine refused with {response.status}',
                engine_at_fault=wire.engine_at_fault(headers),
                has_arrived=not (
                    self.target.is_router and NOT_ARRIVED in headers
                ),
            )
        if not wire.has_seal(headers) or 'Content-Encoding' in headers:
            return self._broken_result('response has no seal or is encoded')
        is_success = STATUS_OK <= response.status < STATUS_REDIRECT
        is_stream = self.call.destination.route.kind is RequestKind.STREAM
        if is_stream and is_success:
            return await self._relay_stream(response)
        return await self._collect(response, is_success=is_success)

    def _note_signals(self, response: aiohttp.ClientResponse) -> None:
        if self.target.is_router:
            # They are those of an engine, which the other router notes.
            return
        signals = engine_signals(
            response.status, response.headers, self.target.engine_id
        )
        if signals:
            self.on_signals(self.target, signals)

    async def _collect(
        self,
        response: aiohttp.ClientResponse,
        *,
        is_success: bool,
    ) -> AttemptResult:
        framing = Framing.of(response)
        holding = self.call.holding
        holding.let_give_way(partial(_end_for_memory, response))
        try:
            pieces = await read_pieces(
                response, MAX_RESPONSE_BYTES, self._hold_response
            )
        except BaseException:
            holding.free_response()
            raise
        holding.keep_response()
        if not await framing.is_complete():
            holding.free_response()
            return self._broken_result(
                'connection failed before a response of unknown length ended'
            )
        headers = wire.response_headers_for_caller(response.headers)
        runs = take_runs(headers) if self.target.is_router else None
        complete = EngineResponse(response.status, headers, pieces)
        ending = Ending.DELIVERED if is_success else Ending.FAILED
        return AttemptResult(ending, str(response.status), complete, runs=runs)

    def _hold_response(self, octets: int) -> None:
        if not self.call.holding.hold_response(octets):
            raise NoMemoryLeft(NO_MEMORY)

    async def _relay_stream(
        self, response: aiohttp.ClientResponse
    ) -> AttemptResult:
        kind = StreamKind(response.status, response.content_type)
        if self.sink.is_started and kind != self.sink.kind:
            return self._broken_result(
                'response goes on with no stream', may_have_crashed=False
            )
        self.sink.kind = kind
        framing = Framing.of(response)
        splitter = EventSplitter()
        order = EventOrder()
        buffers = StreamBuffers(response, splitter)
        self.sink.buffered_bytes = buffers.size
        self.activity.is_blocked = self.sink.is_blocked
        async for octets in response.content.iter_any():
            buffers.taken_bytes += len(octets)
            await self._relay_events(response, splitter.feed(octets), order)
        if not await framing.is_complete():
            return self._broken_result(
                'connection failed before a response of unknown length ended'
            )
        if splitter.has_partial_event:
            return self._broken_result('stream ended within an event')
        if not self.sink.is_started:
            await self._start_stream(response)
        if splitter.rest():
            await self.sink.send_event(Event(splitter.rest(), ''))
        return AttemptResult(Ending.DELIVERED, 'stream complete')

    async def _relay_events(
        self,
        response: aiohttp.ClientResponse,
        events: Iterable[Event],
        order: EventOrder,
    ) -> None:
        for number, event in enumerate(events, 1):
            await self._relay_event(response, event, order)
            if number % EVENTS_IN_A_ROW == 0:
                await asyncio.sleep(0)

    async def _relay_event(
        self,
        response: aiohttp.ClientResponse,
        event: Event,
        order: EventOrder,
    ) -> None:
        if not order.allows(
            event, self.call.last_event_id, is_started=self.sink.is_started
        ):
            raise aiohttp.ClientPayloadError('event out of order')
        self.activity.note_event(asyncio.get_running_loop().time())
        if not self.sink.is_started:
            await self._start_stream(response)
        # A cancelled send may have written the event already.
        self.call.last_event_id = event.event_id or self.call.last_event_id
        await self.sink.send_event(event)

    async def _start_stream(self, response: aiohttp.ClientResponse) -> None:
        self.sink.is_started = True
        await self.sink.start(
            response.status, wire.response_headers_for_caller(response.headers)
        )


def _end_for_memory(response: aiohttp.ClientResponse) -> None:
    """Let the reader of a response end, and its connection with it."""
    response.content.set_exception(NoMemoryLeft(NO_MEMORY))
