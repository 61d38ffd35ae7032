"""Execution of calls with an idempotency key, for both service kinds."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from http import HTTPStatus
from types import MappingProxyType

from ..version.holder import VersionHolder
from .answer import AnswerHead, Sink
from .attempts import Server
from .caller import CallerRequest, IncomingRequest, parse_completion
from .dispatch import DispatchRecord
from .servicecall import Executor, ServiceCall

PLAIN_PREFIX = '/services/'

JSON_HEADERS: Mapping[str, str] = MappingProxyType(
    {'Content-Type': 'application/json'},
)
STREAM_HEADERS: Mapping[str, str] = MappingProxyType(
    {'Content-Type': 'text/event-stream', 'Cache-Control': 'no-cache'},
)


@dataclass(slots=True)
class ModelExecution:
    """Runs calls to model services, without retries after a loss."""

    server: Server
    holder: VersionHolder

    async def execute(
        self,
        call: ServiceCall,
        dispatch: DispatchRecord,
        sink: Sink,
    ) -> None:
        """Run a completion and send its answer to a sink."""
        request = self._request(call)
        if request.is_streamed:
            stream = _StreamToSink(sink)
            await self.server.stream(request, dispatch, stream.send)
            return
        body = await self.server.complete(request, dispatch)
        await sink.begin(AnswerHead(HTTPStatus.OK, JSON_HEADERS))
        await sink.send(body)

    def _request(self, call: ServiceCall) -> CallerRequest:
        incoming = IncomingRequest(
            request_id=call.request_id,
            path=call.target.partition('?')[0],
            headers=call.headers,
            body=call.body,
            arrived_at=call.arrived_at,
            created=call.created,
        )
        request = parse_completion(
            incoming,
            call.workspace,
            self.holder.current,
        )
        return replace(request, is_idempotent=False)


@dataclass(slots=True)
class Execution:
    """Routes a call to the executor of its kind of service."""

    model: Executor
    plain: Executor

    async def execute(
        self,
        call: ServiceCall,
        dispatch: DispatchRecord,
        sink: Sink,
    ) -> None:
        """Run a call and send its answer to a sink."""
        is_plain = call.target.startswith(PLAIN_PREFIX)
        kind = self.plain if is_plain else self.model
        await kind.execute(call, dispatch, sink)


@dataclass(slots=True)
class _StreamToSink:
    """Sends the head of a streamed answer together with its first events."""

    sink: Sink
    has_begun: bool = False

    async def send(self, events: bytes) -> None:
        if not self.has_begun:
            self.has_begun = True
            await self.sink.begin(AnswerHead(HTTPStatus.OK, STREAM_HEADERS))
        await self.sink.send(events)
