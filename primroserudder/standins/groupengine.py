"""A stand-in of the platform's engines, which serve models in groups.

Explanation
===========
It executes orders (join, open, close, leave, stage), registers itself in the
store's stand-in, and answers requests with event streams. It records the
requests and orders that it receives, so that tests can check them. Tests
inject its faults.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import orjson
from aiohttp import web

from .endless import send_without_end
from .enginecrash import abort, crash, crash_with_connections
from .groupmember import GroupMember
from .tablestore import TableStore

Json = Mapping[str, object]

ATTEMPT_ID = 'X-Primroserudder-Attempt-Id'
PROMPT = 'X-Primroserudder-Prefix-Hash'
SEAL = 'X-Primroserudder-Response-Seal'
NOT_EXECUTED = 'X-Primroserudder-Not-Executed'
LEAVING = 'Server-Leaving'
LIMIT = 'Server-Limit'
SERVICE = 'model'
# Longer than any caller's timeout.
HANG_S = 60
# More than routers let callers send.
MAX_BODY_BYTES = 8_388_608
SILENCE_POLL_S = 0.01


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as an engine received it.

    Explanation
    ===========
    ``received_at`` is a time of the event loop, in seconds.
    """

    engine_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    received_at: float

    @property
    def attempt_id(self) -> str:
        """Return the attempt id that the caller sent, or an empty string."""
        return self.headers.get(ATTEMPT_ID, '')

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the prompt's parts, except the last one."""
        return shared_parts(self.headers)


@dataclass(frozen=True, slots=True)
class OddAnswer:
    """What a faulty engine answers to any request."""

    status: int
    media_type: str
    text: str


@dataclass(slots=True)
class EngineFaults:
    """Injected faults of an engine; times are in seconds."""

    cuts_after_events: int | None = None
    cuts_within_event: bool = False
    refuses: bool = False
    refuses_after_s: float = 0
    # Value of the Retry-After field of refusals, none if empty.
    retry_after: str = ''
    # Whether responses say that the engine leaves; its entry doesn't.
    announces_leaving: bool = False
    # Requests a second that the engine says it takes, none if empty.
    limit: str = ''
    never_answers: bool = False
    never_ends: bool = False
    omits_seal: bool = False
    fails_with: int = 0
    # An answer in place of a stream, none if empty.
    odd_answer: OddAnswer | None = None
    # Bytes in place of any answer, after which the connection ends.
    raw_answer: bytes = b''
    ignores_orders: bool = False
    late_orders_s: float = 0
    is_unresponsive: bool = False
    # Whether the engine sends nothing for now, and goes on later.
    is_silent: bool = False
    # Requests with these bodies end the engine's process.
    crashing_bodies: set[bytes] = field(default_factory=set)
    crashes_silently: bool = False
    # Prompts with these parts end the process before the answer begins. The
    # last part of a prompt is the request's own and never counts.
    crashing_parts: set[str] = field(default_factory=set)
    # Time for which such a prompt is read before the process ends.
    crashing_after_s: float = 0.02

    async def wait_while_silent(self) -> None:
        """Wait until the engine is not silent any more."""
        while self.is_silent:
            await asyncio.sleep(SILENCE_POLL_S)


@dataclass(slots=True)
class GroupEngine:
    """One engine; its times in seconds are short to keep tests fast."""

    engine_id: str
    address: str
    store: TableStore
    domain: str = 'd0'
    failure_domain: str = 'fd-1'
    service: str = SERVICE
    is_plain: bool = False
    slots: int = 4
    events: int = 5
    event_s: float = 0.01
    # Bytes of text that each event, or answer, has besides.
    event_bytes: int = 0
    # Before the answer of a plain engine.
    answer_delay_s: float = 0
    join_s: float = 0.02
    restart_s: float = 0.05
    end_process: Callable[['GroupEngine'], None] = crash
    faults: EngineFaults = field(default_factory=EngineFaults)
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    orders: list[Json] = field(default_factory=list)
    is_draining: bool = False
    born: int = 1
    # For how long the engine is cold, as its entry tells.
    cold_remaining_ms: float = 0
    running: int = 0
    cancelled: int = 0
    refused: int = 0
    crashes: int = 0
    is_down: bool = False
    running_by_id: dict[int, web.Request] = field(default_factory=dict)
    member: GroupMember = field(init=False)

    def __post_init__(self) -> None:
        """Create the membership without a group."""
        self.member = GroupMember(
            self.engine_id,
            self.register,
            self.join_s,
            is_idle=lambda: not self.running,
        )

    @property
    def group(self) -> Json | None:
        """Return the group that this engine reports."""
        return self.member.group

    @property
    def members(self) -> tuple[str, ...]:
        """Return the members of the last accepted join order."""
        return self.member.members

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post('/api/order', self._take_order)
        app.router.add_get('/api/report', self._report)
        app.router.add_route('*', '/{path:.*}', self._serve)
        return app

    def register(self) -> None:
        """Write this engine's entry of the platform's server list."""
        self.store.rows.put('servers', self.engine_id, self._entry())

    def deregister(self) -> None:
        """Remove the entry, as the platform does if heartbeats stop."""
        self.store.rows.remove('servers', self.engine_id)

    def is_open(self) -> bool:
        """Return whether this engine is the head of an open group."""
        return self.group is not None and self.group['State'] == 'open'

    def _entry(self) -> Json:
        entry = {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.failure_domain,
            'Version': 'v1',
            'Slots': self.slots,
            'State': 'draining' if self.is_draining else 'ready',
            'Sequence': len(self.orders),
            'ColdRemainingMs': self.cold_remaining_ms,
            'born': self.born,
        }
        if self.is_plain:
            return entry
        return {
            **entry,
            'Domain': self.domain,
            'Staged': list(self.member.staged),
            'group': self.group,
        }

    async def _report(self, _request: web.Request) -> web.Response:
        if self.faults.is_unresponsive:
            await asyncio.sleep(HANG_S)
        await self.faults.wait_while_silent()
        entry = {
            **self._entry(),
            'Queued': 0,
            'Active': self.running,
            'KvUsed': 0,
            'KvTotal': 1,
            'pace': 1,
        }
        return web.Response(body=orjson.dumps(entry))

    async def _take_order(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        if self.faults.is_unresponsive:
            await asyncio.sleep(HANG_S)
        await self.faults.wait_while_silent()
        self.orders.append(order)
        delay_s = self.faults.late_orders_s
        if delay_s:
            self.member.execute_later(order, delay_s)
        if delay_s or self.faults.ignores_orders:
            await asyncio.sleep(HANG_S)
        return web.Response(status=self.member.execute(order))

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if self.is_down:
            return abort(request)
        refusal = self._refusal(request)
        if refusal is not None:
            self.refused += 1
            await asyncio.sleep(self.faults.refuses_after_s)
            return refusal
        self.received_requests.append(
            ReceivedRequest(
                self.engine_id,
                request.method,
                request.raw_path,
                dict(request.headers),
                body,
                asyncio.get_running_loop().time(),
            )
        )
        if self.faults.raw_answer:
            return _send_raw(request, self.faults.raw_answer)
        if body in self.faults.crashing_bodies:
            self.end_process(self)
            if self.faults.crashes_silently:
                await asyncio.sleep(HANG_S)
            return abort(request)
        self.running += 1
        self.running_by_id[id(request)] = request
        try:
            return await self._answer(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
            self.running_by_id.pop(id(request))

    def _refusal(self, request: web.Request) -> web.Response | None:
        expected = request.headers.get('X-Primroserudder-Expect-Instance')
        if expected not in {None, self.engine_id}:
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        if self.faults.refuses or not (self.is_plain or self.is_open()):
            headers = {NOT_EXECUTED: '1', **_state_fields(self.faults)}
            if self.faults.retry_after:
                headers['Retry-After'] = self.faults.retry_after
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers
            )
        return None

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        if self.faults.never_answers:
            await asyncio.sleep(HANG_S)
        await self.faults.wait_while_silent()
        if self.faults.never_ends:
            return await send_without_end(request, len(self.received_requests))
        headers = {
            ATTEMPT_ID: request.headers.get(ATTEMPT_ID, ''),
            **_state_fields(self.faults),
        }
        if not self.faults.omits_seal:
            headers[SEAL] = f'seal of {self.engine_id}'
        if self.faults.fails_with:
            status = self.faults.fails_with
            return web.Response(status=status, headers=headers, text='failed')
        odd = self.faults.odd_answer
        if odd is not None:
            return web.Response(
                status=odd.status,
                headers=headers,
                text=odd.text,
                content_type=odd.media_type,
            )
        if not self.faults.crashing_parts.isdisjoint(
            shared_parts(request.headers)
        ):
            await asyncio.sleep(self.faults.crashing_after_s)
            crash_with_connections(self)
            return abort(request)
        if self.is_plain:
            await asyncio.sleep(self.answer_delay_s)
            padding = 'x' * self.event_bytes
            text = f'answer of {self.engine_id}{padding}'
            return web.Response(headers=headers, text=text)
        return await self._stream(request, headers)

    async def _stream(
        self,
        request: web.Request,
        headers: Mapping[str, str],
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={**headers, 'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        first = int(request.headers.get('Last-Event-Id') or 0) + 1
        sheds = self.member.sheds
        for sent, number in enumerate(range(first, self.events + 1)):
            is_shed = self.member.sheds > sheds
            if is_shed or sent == self.faults.cuts_after_events:
                return await self._cut(request, response, number)
            if self.faults.is_unresponsive:
                await asyncio.sleep(HANG_S)
            await self.faults.wait_while_silent()
            await response.write(event(number, self.event_bytes))
            await asyncio.sleep(self.event_s)
        await response.write_eof()
        return response

    async def _cut(
        self,
        request: web.Request,
        response: web.StreamResponse,
        number: int,
    ) -> web.StreamResponse:
        if self.faults.cuts_within_event:
            await response.write(event(number)[:-3])
        await asyncio.sleep(self.event_s)
        if request.transport is not None:
            request.transport.close()
        return response


def _send_raw(request: web.Request, octets: bytes) -> web.Response:
    """Send bytes as they are, and end the connection."""
    if request.transport is not None:
        request.transport.write(octets)
        request.transport.close()
    return web.Response()


def shared_parts(headers: Mapping[str, str]) -> tuple[str, ...]:
    """Return the ids of a prompt's parts, except the last one.

    Examples
    ========
    >>> shared_parts({PROMPT: '5c:800,91:410,e4:250'})
    ('5c', '91')
    """
    entries = headers.get(PROMPT, '').split(',')
    return tuple(entry.partition(':')[0] for entry in entries[:-1])


def _state_fields(faults: EngineFaults) -> Mapping[str, str]:
    """Return the fields in which an engine speaks of itself."""
    leaving = {LEAVING: '1'} if faults.announces_leaving else {}
    limit = {LIMIT: faults.limit} if faults.limit else {}
    return {**leaving, **limit}


def event(number: int, padding: int = 0) -> bytes:
    """Return one event of a stream."""
    text = 'x' * padding
    return f'id: {number}\ndata: piece {number}{text}\n\n'.encode()
