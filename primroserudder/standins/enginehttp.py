"""Serves a stand-in engine over HTTP."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict, dataclass
from http import HTTPStatus

import orjson
from aiohttp import web

from ..process.engines import (
    LOAD_HEADER,
    EngineLoad,
    EngineOrder,
    OrderRefused,
    UpstreamLost,
    UpstreamRefused,
    load_to_header,
)
from ..request.caller import prompt_text
from .engine import Engine, GenerationRequest
from .faults import change_faults
from .frames import CHAT_PATH, STREAM_END, complete_response, token_event

COMPLETION_PATH = '/v1/completions'
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class _Call:
    """One attempt, parsed from its HTTP request."""

    generation: GenerationRequest
    path: str
    created: int
    model: str
    is_streamed: bool


@dataclass(slots=True)
class EngineStandin:
    """HTTP handlers of one engine."""

    engine: Engine

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._fail_if_dead])
        app.add_routes(
            [
                web.get('/status', self.status),
                web.post('/orders', self.order),
                web.post('/cancel', self.cancel),
                web.get('/cache', self.cache_events),
                web.post(COMPLETION_PATH, self.generate),
                web.post(CHAT_PATH, self.generate),
                web.post('/faults', self.change_faults),
                web.post('/crash', self.crash),
            ]
        )
        return app

    async def status(self, request: web.Request) -> web.Response:
        """Return the engine's status."""
        return _json(asdict(self.engine.status()))

    async def order(self, request: web.Request) -> web.Response:
        """Apply an order and return the engine's status."""
        order = EngineOrder(**(await request.json()))
        try:
            status = self.engine.apply_order(order)
        except OrderRefused as refused:
            return web.Response(status=HTTPStatus.CONFLICT, text=str(refused))
        return _json(asdict(status))

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a request."""
        self.engine.cancel((await request.json())['request_id'])
        return _json({})

    async def cache_events(self, request: web.Request) -> web.Response:
        """Return the cache events that follow an event number."""
        after = int(request.query['after'])
        events = self.engine.cache.events.after(after)
        return _json([asdict(event) for event in events])

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Generate a response, streamed or as one body."""
        call = _parse(request, await request.json())
        try:
            if call.is_streamed:
                return await self._stream(request, call)
            return await self._complete(call)
        except UpstreamRefused as refused:
            return web.Response(
                status=HTTPStatus.CONFLICT,
                text=str(refused),
                headers={'Engine-Not-Run': 'true'},
            )
        except UpstreamLost:
            return _abort_connection(request)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Inject or clear faults of this engine."""
        change_faults(self.engine.faults, await request.json())
        return _json({})

    async def crash(self, request: web.Request) -> web.Response:
        """Crash and restart the engine."""
        self.engine.crash()
        return _json({})

    async def _stream(
        self,
        request: web.Request,
        call: _Call,
    ) -> web.StreamResponse:
        generation = call.generation
        response = web.StreamResponse(headers=_headers(call, self.engine.load))
        response.content_type = 'text/event-stream'
        position = generation.resume_from
        async for text in self.engine.generate(generation):
            if not response.prepared:
                await response.prepare(request)
            await response.write(
                token_event(
                    call.path,
                    generation.request_id,
                    call.created,
                    call.model,
                    position,
                    text,
                ),
            )
            position += 1
        if not response.prepared:
            await response.prepare(request)
        await response.write(STREAM_END)
        await response.write_eof()
        return response

    async def _complete(self, call: _Call) -> web.Response:
        generation = call.generation
        tokens = [text async for text in self.engine.generate(generation)]
        body = complete_response(
            call.path,
            generation.request_id,
            call.created,
            call.model,
            len(generation.prompt.split()),
            tokens,
        )
        return web.Response(
            body=body,
            headers=_headers(call, self.engine.load),
            content_type='application/json',
        )

    @web.middleware
    async def _fail_if_dead(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        is_control = request.path in {'/faults', '/crash'}
        if self.engine.faults.is_dead and not is_control:
            return _abort_connection(request)
        return await handler(request)


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)


def _headers(call: _Call, load: EngineLoad) -> Mapping[str, str]:
    return {
        'Engine-Request-Id': call.generation.request_id,
        'Engine-Attempt': str(call.generation.attempt),
        LOAD_HEADER: load_to_header(load),
    }


def _parse(request: web.Request, body: Mapping[str, object]) -> _Call:
    headers = request.headers
    generation = GenerationRequest(
        request_id=headers['Engine-Request-Id'],
        attempt=int(headers['Engine-Attempt']),
        group_id=headers['Engine-Group'],
        generation=int(headers['Engine-Generation']),
        prompt=prompt_text(body),
        seed=int(str(body['seed'])),
        max_tokens=int(str(body['max_tokens'])),
        priority=int(headers['Engine-Priority']),
        resume_from=int(headers['Engine-Resume-From']),
    )
    return _Call(
        generation,
        request.path,
        int(headers['Engine-Created']),
        str(body.get('model')),
        bool(body.get('stream')),
    )


def _json(body: object) -> web.Response:
    return web.Response(
        body=orjson.dumps(body),
        content_type='application/json',
    )
