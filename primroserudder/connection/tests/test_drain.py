"""Tests of the graceful shutdown of an entry's port."""

import asyncio
from dataclasses import dataclass, field

import pytest
from aiohttp import ClientError, web
from aiohttp.test_utils import TestClient, TestServer

from ...process.metrics import Metrics
from ..drain import Drain, DrainStage, EntryStopping, Handler

POLL_S = 0.005


@dataclass(slots=True)
class _Port:
    """A port whose requests wait until they are released."""

    drain: Drain
    release: asyncio.Event = field(default_factory=asyncio.Event)

    def app(self) -> web.Application:
        app = web.Application(middlewares=[self._problems])
        app.router.add_get('/wait', self.wait)
        return self.drain.attach(app)

    async def wait(self, request: web.Request) -> web.Response:
        await self.release.wait()
        return web.Response(text='whole')

    @web.middleware
    async def _problems(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except EntryStopping as error:
            return web.Response(status=error.status, text=error.ran.value)


async def _wait_for_stage(
    drain: Drain, stage: DrainStage, in_flight: int
) -> None:
    while (drain.stage, drain.in_flight) != (stage, in_flight):
        await asyncio.sleep(POLL_S)


async def test_notice_stage_serves_requests_and_closes_connections() -> None:
    drain = Drain(Metrics(), notice_s=60)
    port = _Port(drain)
    port.release.set()
    async with TestClient(TestServer(port.app())) as client:
        before = await client.get('/wait')
        stopping = asyncio.create_task(drain.run())
        await _wait_for_stage(drain, DrainStage.NOTICE, 0)
        during = await client.get('/wait')
        stopping.cancel()
    assert 'Connection' not in before.headers
    assert during.status == 200
    assert during.headers['Connection'] == 'close'


async def test_in_flight_requests_finish_and_new_ones_are_refused() -> None:
    drain = Drain(Metrics(), notice_s=0)
    port = _Port(drain)
    async with TestClient(TestServer(port.app())) as client:
        running = asyncio.create_task(client.get('/wait'))
        await _wait_for_stage(drain, DrainStage.SERVING, 1)
        stopping = asyncio.create_task(drain.run())
        await _wait_for_stage(drain, DrainStage.FINISHING, 1)
        refused = await client.get('/wait')
        assert not stopping.done()
        port.release.set()
        await stopping
        answer = await running
        assert await answer.text() == 'whole'
        assert await refused.text() == 'no'
    assert refused.status == 503
    assert drain.stage is DrainStage.DRAINED


async def test_request_beyond_the_limit_is_counted() -> None:
    drain = Drain(Metrics(), notice_s=0, limit_s=0)
    port = _Port(drain)
    async with TestClient(TestServer(port.app())) as client:
        running = asyncio.create_task(client.get('/wait'))
        await _wait_for_stage(drain, DrainStage.SERVING, 1)
        await drain.run()
        running.cancel()
        with pytest.raises((asyncio.CancelledError, ClientError)):
            await running
    assert drain.metrics.value('requests_over_drain_limit') == 1
