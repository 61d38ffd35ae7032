"""One sending of a request to an engine."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from ..platform import headers as wire
from .call import Call
from .framing import Framing
from .events import Event, EventCutter
from .model import RequestKind, Target
from .retries import Ending

# Between failure domains a connection takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.15
LEAST_TIMEOUT_S = 0.001
STATUS_OK = 200
STATUS_REDIRECT = 300
LARGEST_ANSWER = 16_777_216
NO_CONNECTION = 'no connection'
_BROKEN = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
_NOT_ADDED = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


@dataclass(frozen=True, slots=True)
class EngineAnswer:
    """An engine's whole answer."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, why, and the answer if there is a whole one."""

    ending: Ending
    reason: str = ''
    answer: EngineAnswer | None = None
    engine_at_fault: str = ''
    has_crashed: bool = False


StartStream = Callable[[int, CIMultiDict[str]], Awaitable[None]]
PassEvent = Callable[[Event], Awaitable[None]]


@dataclass(slots=True)
class StreamSink:
    """Where a stream's events go; the answer begins with the first one."""

    start: StartStream
    pass_on: PassEvent
    is_started: bool = False


@dataclass(slots=True)
class StreamActivity:
    """When a stream of a target last moved, for finding silent heads."""

    active_at: float = 0
    events: int = 0


@dataclass(slots=True)
class Attempt:
    """Sends a call to a target and takes its answer.

    Explanation
    ===========
    Each attempt has a connection of its own, so that no late or extra answer
    and no connection closed by an idle timeout can touch another request.
    """

    session: aiohttp.ClientSession
    call: Call
    target: Target
    sink: StreamSink
    watch: StreamActivity = field(default_factory=StreamActivity)

    async def run(self) -> AttemptResult:
        """Send the request and return how that ended."""
        call = self.call
        fields = wire.ForwardedFields(
            self.target.engine_id,
            call.destination.workspace.name,
            call.remaining_s,
            call.last_event_id,
        )
        address = self.target.address
        url = URL(f'http://{address}{call.raw_path}', encoded=True)
        try:
            async with self.session.request(
                call.method,
                url,
                headers=wire.request_headers_for_engine(call.headers, fields),
                data=call.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=max(call.remaining_s, LEAST_TIMEOUT_S),
                    sock_connect=CONNECT_TIMEOUT_S,
                ),
                skip_auto_headers=_NOT_ADDED,
            ) as response:
                return await self._take(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return AttemptResult(Ending.NOT_RUN, NO_CONNECTION)
        except _BROKEN as error:
            return self._broken(type(error).__name__)

    def _broken(self, reason: str) -> AttemptResult:
        is_cut = self.sink.is_started
        ending = Ending.CUT if is_cut else Ending.UNKNOWN
        return AttemptResult(ending, reason, has_crashed=True)

    async def _take(self, response: aiohttp.ClientResponse) -> AttemptResult:
        headers = response.headers
        if not wire.echoes_attempt_id(headers, self.call.facts.attempt_id):
            return self._broken('answer to another request')
        if wire.confirms_not_run(response.status, headers):
            return AttemptResult(
                Ending.NOT_RUN,
                f'engine refused with {response.status}',
                engine_at_fault=wire.engine_at_fault(headers),
            )
        if not wire.has_seal(headers) or 'Content-Encoding' in headers:
            return self._broken('answer without a seal')
        is_success = STATUS_OK <= response.status < STATUS_REDIRECT
        is_stream = self.call.destination.route.kind is RequestKind.STREAM
        if is_stream and is_success:
            return await self._relay(response)
        return await self._collect(response, is_success=is_success)

    async def _collect(
        self,
        response: aiohttp.ClientResponse,
        *,
        is_success: bool,
    ) -> AttemptResult:
        framing = Framing.of(response)
        body = await response.content.read(LARGEST_ANSWER)
        while not response.content.at_eof() and len(body) < LARGEST_ANSWER:
            body += await response.content.read(LARGEST_ANSWER)
        if not await framing.is_complete():
            return self._broken('connection broke without a length')
        answer = EngineAnswer(
            response.status,
            wire.response_headers_for_caller(response.headers),
            body,
        )
        ending = Ending.DELIVERED if is_success else Ending.FAILED
        return AttemptResult(ending, str(response.status), answer)

    async def _relay(self, response: aiohttp.ClientResponse) -> AttemptResult:
        framing = Framing.of(response)
        cutter = EventCutter()
        async for octets in response.content.iter_any():
            for event in cutter.feed(octets):
                await self._pass_on(response, event)
        if not await framing.is_complete():
            return self._broken('connection broke without a length')
        if cutter.has_rest:
            return self._broken('ended within an event')
        if not self.sink.is_started:
            await self._begin(response)
        return AttemptResult(Ending.DELIVERED, 'stream complete')

    async def _pass_on(
        self,
        response: aiohttp.ClientResponse,
        event: Event,
    ) -> None:
        if not _follows(event.event_id, self.call.last_event_id):
            raise aiohttp.ClientPayloadError('event out of order')
        self.watch.active_at = asyncio.get_running_loop().time()
        self.watch.events += 1
        if not self.sink.is_started:
            await self._begin(response)
        await self.sink.pass_on(event)
        self.call.last_event_id = event.event_id or self.call.last_event_id

    async def _begin(self, response: aiohttp.ClientResponse) -> None:
        self.sink.is_started = True
        await self.sink.start(
            response.status, wire.response_headers_for_caller(response.headers)
        )


def _follows(event_id: str, last_event_id: str) -> bool:
    """Return whether an event may come after the last one passed on.

    Examples
    ========
    >>> _follows('13', '12'), _follows('12', '12'), _follows('5', '')
    (True, False, True)
    """
    if not (event_id.isdecimal() and last_event_id.isdecimal()):
        return True
    return int(event_id) > int(last_event_id)
