"""No request that a stopping router has read is left without an end."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress

import pytest

from ...testing.configchanges import with_route
from ...testing.platformsite import (
    GRACE_S,
    SLOTS,
    PlatformSite,
    platform_site,
)
from ...testing.rawcaller import RawCaller, RawResponse, head, raw_caller
from .. import router as router_module
from ..router import Router

LOOKUP = '/lookups/1'
NOTICE_S = 0.3
# Requests are worked on for this long after a stop began.
WORK_S = 0.6
# A request may come so late after the signal to stop; the users' bound.
TAKEN_FOR_AT_MOST_S = 3.0
LONGEST_STOP_S = 4.0
CONNECT_INTERVAL_S = 0.02
# From the end of the port until a slot comes, and how long requests
# are worked on meanwhile.
LATE_SLOT_S = 0.2
LONG_WORK_S = 2.0


@asynccontextmanager
async def _serving_site(
    monkeypatch: pytest.MonkeyPatch,
    engines: int = 0,
    work_s: float = WORK_S,
) -> AsyncIterator[PlatformSite]:
    """Run a site whose routers stop soon after the notice."""
    monkeypatch.setattr(router_module, 'DRAIN_NOTICE_S', NOTICE_S)
    monkeypatch.setattr(router_module, 'EXIT_RESERVE_S', GRACE_S - work_s)
    async with platform_site(engines=engines, plain=1) as site:
        directory = site.routers[0].view.directory
        pools = 1 + bool(engines)
        await site.until(lambda: len(directory.targets_by_pool()) == pools)
        yield site


async def _set_route(site: PlatformSite, name: str, **changes: int) -> None:
    site.store.rows.put('op', 'config', with_route(2, name, **changes))
    view = site.routers[0].view

    def is_in_force() -> bool:
        current = view.configuration()
        return current is not None and current.version == 2

    await site.until(is_in_force)


async def _stop(router: Router) -> None:
    """Stop a router as its program does."""
    await router.stop()
    await router.close()


async def _response(caller: RawCaller) -> RawResponse:
    async with asyncio.timeout(5):
        return await caller.response()


def _connect_without_reading(site: PlatformSite) -> socket.socket:
    """Open a connection whose request lies in the listen backlog."""
    address = site.routers[0].settings.callers
    host, _, port = address.rpartition(':')
    connection = socket.create_connection((host, int(port)))
    fields = {'Content-Length': '4'}
    connection.sendall(head('late', LOOKUP, fields=fields))
    connection.sendall(b'text')
    connection.setblocking(False)
    return connection


async def test_request_in_the_backlog_as_the_port_closes_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _serving_site(monkeypatch) as site:
        router = site.routers[0]
        connection = _connect_without_reading(site)
        # The router has not run since the caller connected.
        closing = asyncio.ensure_future(router.ports.close_to_callers())
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(5):
            received = await loop.sock_recv(connection, 65_536)
        await closing
        connection.close()
        assert received.startswith(b'HTTP/1.1 200')


async def test_request_on_a_kept_connection_as_the_port_closes_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The request lies in the socket's buffer, or its head was just parsed.
    for turns in range(6):
        async with _serving_site(monkeypatch) as site:
            router = site.routers[0]
            async with raw_caller(site) as caller:
                caller.request('one', LOOKUP)
                assert (await _response(caller)).status == 200
                caller.request('two', LOOKUP)
                for _ in range(turns):
                    await asyncio.sleep(0)
                await router.ports.close_to_callers()
                assert (await _response(caller)).status == 200


async def test_refusal_stays_readable_while_the_port_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _serving_site(monkeypatch) as site:
        router = site.routers[0]
        async with raw_caller(site) as caller:
            body = b'x' * 3_000_000
            length = {'Content-Length': str(len(body))}
            caller.send(head('one', '/nowhere/1', fields=length))
            caller.send(body[:1000])
            await site.until(lambda: router.ports.handler.endings.read == 1)
            await router.ports.close_to_callers()
            caller.send(body[1000:])
            async with asyncio.timeout(5):
                await caller.writer.drain()
            assert (await _response(caller)).status == 404


async def test_request_that_waits_for_a_slot_at_the_end_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _serving_site(monkeypatch) as site:
        router = site.routers[0]
        await _set_route(site, 'lookups', SloMs=4000, TimeoutMs=4000)
        router.in_flight_counts.running_by_engine['i-0'] = 100
        async with raw_caller(site) as caller:
            stopping = asyncio.ensure_future(_stop(router))
            # It may wait for 0.5 s, which is longer than the work goes on.
            await asyncio.sleep(0.25)
            caller.request('one', LOOKUP)
            response = await _response(caller)
            await stopping
        assert response.status == 503
        assert b'"code":"stopping"' in response.body
        assert not site.arrivals('one')
        assert not router.dump()['violations']


@pytest.mark.parametrize('route', ['refunds', 'lookups', 'notes'])
async def test_request_that_outlasts_the_grace_period_is_answered(
    monkeypatch: pytest.MonkeyPatch, route: str
) -> None:
    async with _serving_site(monkeypatch, engines=2) as site:
        router = site.routers[0]
        await _set_route(site, route, TimeoutMs=4000)
        for engine in site.engines_by_id.values():
            engine.faults.never_answers = True
        async with raw_caller(site) as caller:
            stopping = asyncio.ensure_future(_stop(router))
            await asyncio.sleep(0.1)
            caller.request('one', f'/{route}/1')
            response = await _response(caller)
            await stopping
        assert response.status == 502
        assert b'"code":"stopped_within_run"' in response.body
        assert site.arrivals('one')
        assert not router.dump()['violations']


async def test_body_that_outlasts_the_grace_period_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _serving_site(monkeypatch) as site:
        await _set_route(site, 'lookups', TimeoutMs=4000)
        async with raw_caller(site) as caller:
            caller.request('one', LOOKUP, fields={'Content-Length': '10'})
            stopping = asyncio.ensure_future(_stop(site.routers[0]))
            assert (await _response(caller)).status == 503
            await stopping


@pytest.mark.parametrize('route', ['refunds', 'lookups', 'notes'])
async def test_body_that_is_not_complete_as_the_port_closes_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch, route: str
) -> None:
    # The connection is not read any more, so the body can't become complete.
    async with _serving_site(monkeypatch, 2, LONG_WORK_S) as site:
        router = site.routers[0]
        await _set_route(site, route, TimeoutMs=4000)
        async with raw_caller(site) as caller:
            loop = asyncio.get_running_loop()
            stopping = asyncio.ensure_future(_stop(router))
            fields = {'Content-Length': '4'}
            caller.send(head('one', f'/{route}/1', fields=fields))
            await site.until(lambda: router.ports.caller_port.is_stopped)
            stopped_at = loop.time()
            response = await _response(caller)
            assert loop.time() - stopped_at < LONG_WORK_S / 2
            await stopping
        assert response.status == 503
        assert b'"code":"stopping"' in response.body
        assert not site.arrivals('one')
        assert not router.dump()['violations']


@pytest.mark.parametrize('route', ['refunds', 'lookups'])
async def test_slot_that_comes_after_the_port_closed_is_not_used(
    monkeypatch: pytest.MonkeyPatch, route: str
) -> None:
    async with _serving_site(monkeypatch, 0, LONG_WORK_S) as site:
        router = site.routers[0]
        await _set_route(site, route, SloMs=4000, TimeoutMs=4000)
        engine = site.engines_by_id['i-0']
        engine.faults.never_answers = True
        counts = router.in_flight_counts
        for _ in range(SLOTS):
            counts.begin('i-0')
        async with raw_caller(site) as caller:
            stopping = asyncio.ensure_future(_stop(router))
            await asyncio.sleep(0.2)
            caller.request('one', f'/{route}/1')
            await site.until(lambda: router.ports.caller_port.is_stopped)
            await asyncio.sleep(LATE_SLOT_S)
            for _ in range(SLOTS):
                counts.end('i-0')
            response = await _response(caller)
            await stopping
        assert response.status == 503
        assert not site.arrivals('one')


async def test_stream_that_outlasts_the_grace_period_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _serving_site(monkeypatch, engines=2) as site:
        router = site.routers[0]
        for engine in site.engines_by_id.values():
            engine.event_s = 0.2
            engine.events = 20
        async with raw_caller(site) as caller:
            caller.request('one')
            await caller.reader.readuntil(b'id: 1')
            await _stop(router)
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await _response(caller)
        endings = router.ports.handler.endings
        assert endings.dump()['endings'] == {
            'answered': 0,
            'refused': 0,
            'aborted': 1,
            'caller gone': 0,
        }
        assert not router.dump()['violations']


async def test_each_request_sent_during_a_stop_under_load_has_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Callers connect anew for each request until the port is closed.
    async with _serving_site(monkeypatch) as site:
        router = site.routers[0]
        statuses: list[int] = []

        async def ask_once(stack: AsyncExitStack, name: str) -> None:
            caller = await stack.enter_async_context(raw_caller(site))
            caller.request(name, LOOKUP)
            statuses.append((await _response(caller)).status)

        async def ask(name: str) -> None:
            while not router.ports.caller_port.is_stopped:
                async with AsyncExitStack() as stack:
                    await ask_once(stack, name)

        asking = [
            asyncio.ensure_future(ask(f'one-{number}')) for number in range(8)
        ]
        await asyncio.sleep(0.1)
        await router.stop()
        await asyncio.gather(*asking)
        assert set(statuses) <= {200, 503}
        assert not router.dump()['violations']


async def test_stopping_router_soon_takes_no_more_requests() -> None:
    # What is taken later has too little of the grace period left to end.
    async with platform_site() as site:
        router = site.routers[0]
        host, _, port = router.settings.callers.rpartition(':')
        loop = asyncio.get_running_loop()
        signalled_at = loop.time()
        stopping = asyncio.ensure_future(router.stop())
        last_taken_at = signalled_at
        with suppress(OSError):
            while loop.time() < signalled_at + LONGEST_STOP_S:
                asked_at = loop.time()
                _, writer = await asyncio.open_connection(host, int(port))
                last_taken_at = asked_at
                writer.close()
                await asyncio.sleep(CONNECT_INTERVAL_S)
        assert last_taken_at - signalled_at < TAKEN_FOR_AT_MOST_S
        stopping.cancel()
