"""Handles keyed requests and calls to plain services on the callers' port."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from ..errors import Ran, RudderError
from ..process.clock import Clock
from ..process.invariants import Invariants
from ..process.metrics import Metrics
from ..request.answer import AnswerHead
from ..request.authentication import authenticate
from ..request.dispatch import DispatchRecord
from ..request.keyrecord import record_to_fields, row_key
from ..request.keyrouting import KeyRouting
from ..request.mintedkey import MINTED_KEY_LIFETIME_S, is_minted
from ..request.plain import check_call
from ..request.problem import RAN_HEADER, REQUEST_ID_HEADER, problem_event
from ..request.servicecall import Executor, ServiceCall
from ..version.holder import VersionHolder
from .callers import KEY_SETTLED, REQUEST_ID, json_response
from .guard import read_body

EVENT_STREAM = 'text/event-stream'


class MintingDisabled(RudderError):
    """The settings contain no secret for signing idempotency keys."""

    code = 'minting_disabled'
    status = HTTPStatus.NOT_IMPLEMENTED
    ran = Ran.NO
    default_remedy = "set minting_secret in all entries' settings"


class KeyUnknown(RudderError):
    """No record of the idempotency key is stored."""

    code = 'key_unknown'
    status = HTTPStatus.NOT_FOUND
    ran = Ran.NO
    default_remedy = 'check workspace and key; records are kept for a day'


class BadLookUp(RudderError):
    """The query of a key look-up is incomplete or its key is minted."""

    code = 'bad_look_up'
    status = HTTPStatus.BAD_REQUEST
    ran = Ran.NO
    default_remedy = 'name the workspace and a key of its own, not a minted one'


@dataclass(slots=True)
class HttpSink:
    """Sends an answer to a caller over HTTP."""

    request: web.Request
    response: web.StreamResponse | None = None

    async def begin(self, head: AnswerHead) -> None:
        """Send the status and the headers."""
        self.response = web.StreamResponse(
            status=head.status,
            headers={
                **head.headers,
                RAN_HEADER: Ran.YES.value,
                REQUEST_ID_HEADER: self.request[REQUEST_ID],
            },
        )
        await self.response.prepare(self.request)

    async def send(self, part: bytes) -> None:
        """Send a part of the body."""
        if self.response is not None:
            await self.response.write(part)

    async def end(self) -> web.StreamResponse:
        """End the answer and return the response."""
        response = self.response or web.Response()
        if response.prepared:
            await response.write_eof()
        return response

    async def fail(self, error: RudderError) -> web.StreamResponse:
        """End an answer so that its caller can detect the error.

        Raises
        ======
        RudderError
            The given error, if nothing was sent yet.
        """
        response = self.response
        if response is None:
            self.request[KEY_SETTLED] = True
            raise error
        if response.content_type == EVENT_STREAM:
            request_id = self.request[REQUEST_ID]
            await response.write(problem_event(error, request_id))
            await response.write_eof()
        elif self.request.transport is not None:
            # After an abort the client detects that the body is truncated.
            self.request.transport.abort()
        return response


@dataclass(slots=True)
class KeyedHttp:
    """Handles keyed and plain requests for the process's lifetime."""

    routing: KeyRouting
    plain: Executor
    holder: VersionHolder
    clock: Clock
    metrics: Metrics
    invariants: Invariants
    has_secret: bool
    track_in_flight: Callable[[str], AbstractContextManager[None]]

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the callers' port."""
        return [
            web.post('/v1/idempotency-keys', self.mint),
            web.route('*', '/services/{tail:.+}', self.call_plain),
        ]

    def operator_routes(self) -> list[web.RouteDef]:
        """Return the routes of the operators' port."""
        return [web.get('/v1/keys', self.look_up)]

    async def mint(self, request: web.Request) -> web.Response:
        """Mint an idempotency key that binds a request to this process."""
        workspace = authenticate(request.headers, self.holder.current)
        if not self.has_secret:
            raise MintingDisabled('minting_secret is not set in the settings')
        self.metrics.count('keys_minted')
        key = self.routing.requests.minter.mint(workspace)
        return json_response(
            {'idempotency_key': key, 'expires_in_s': MINTED_KEY_LIFETIME_S},
        )

    async def call_plain(self, request: web.Request) -> web.StreamResponse:
        """Serve a call to a plain service."""
        workspace = authenticate(request.headers, self.holder.current)
        call = ServiceCall(
            request_id=request[REQUEST_ID],
            workspace=workspace,
            method=request.method,
            target=request.raw_path,
            headers=dict(request.headers),
            body=await read_body(request),
            arrived_at=self.clock.monotonic(),
            created=int(self.clock.wall()),
        )
        # A malformed call is refused before its key is claimed.
        check_call(call, self.holder.current)
        with self.track_in_flight(call.request_id):
            if call.key:
                return await self.serve_keyed(request, call)
            return await self._serve_unkeyed(request, call)

    async def serve_keyed(
        self,
        request: web.Request,
        call: ServiceCall,
    ) -> web.StreamResponse:
        """Serve a call that carries an idempotency key."""
        sink = HttpSink(request)
        try:
            await self.routing.serve(call, sink)
        except RudderError as error:
            self.metrics.count('keyed_refusals', code=error.code)
            return await sink.fail(error)
        return await sink.end()

    async def look_up(self, request: web.Request) -> web.Response:
        """Return the stored record of a workspace's key."""
        workspace = request.query.get('workspace', '')
        key = request.query.get('key', '')
        if not workspace or not key or is_minted(key):
            raise BadLookUp(
                'the query lacks workspace or key, or the key is minted'
            )
        requests = self.routing.requests
        record = await requests.store.look_up(row_key(workspace, key))
        if record is None:
            raise KeyUnknown(f'workspace {workspace} has no record of the key')
        fields = dict(record_to_fields(record))
        fields['answer_kept'] = fields.pop('answer') is not None
        fields['owner_living'] = requests.is_owner_alive(record.owner)
        return json_response(fields)

    async def _serve_unkeyed(
        self,
        request: web.Request,
        call: ServiceCall,
    ) -> web.StreamResponse:
        dispatch = DispatchRecord(self.invariants, call.request_id)
        sink = HttpSink(request)
        try:
            await self.plain.execute(call, dispatch, sink)
        except RudderError as error:
            return await sink.fail(dispatch.close(error))
        return await sink.end()
