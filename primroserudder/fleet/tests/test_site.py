"""End-to-end tests of routers over loopback, against stand-ins."""

import asyncio

import aiohttp
import pytest

from ...standins.groupengine import event
from ...testing.platformsite import (
    GROUP_SIZE,
    KEY,
    PlatformSite,
    configuration,
    platform_site,
)

ATTEMPT_ID = 'X-Primroserudder-Attempt-Id'


def _stream_body(event_count: int) -> bytes:
    return b''.join(event(number) for number in range(1, event_count + 1))


async def _wait_until_serving(site: PlatformSite) -> None:
    router = site.routers[0]
    await site.until(lambda: bool(router.view.directory.targets_by_pool()))
    await site.until(
        lambda: 'model/small' in router.view.directory.targets_by_pool()
    )


async def _response_body(site: PlatformSite, path: str) -> bytes:
    async with site.request(path) as response:
        return await response.read()


def _configuration_version(site: PlatformSite) -> int:
    configuration = site.routers[0].view.configuration()
    return 0 if configuration is None else configuration.version


async def test_stream_from_a_group_formed_by_the_router_is_complete() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        async with site.request(
            '/notes/1', headers={ATTEMPT_ID: 'one'}
        ) as response:
            body = await response.read()
        assert response.status == 200
        assert body == _stream_body(5)
        assert response.headers['X-Primroserudder-Response-Seal']
        assert len(site.arrivals('one')) == 1


async def test_engine_receives_the_workspace_but_never_the_key() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        forged = {'X-Primroserudder-Tenant': 'south', ATTEMPT_ID: 'one'}
        async with site.request('/notes/1', headers=forged) as response:
            await response.read()
        received_requests = [
            arrival
            for head in site.heads()
            for arrival in head.received_requests
        ]
        assert (
            received_requests[0].headers['X-Primroserudder-Tenant'] == 'north'
        )
        assert 'Authorization' not in received_requests[0].headers
        assert (
            int(received_requests[0].headers['X-Primroserudder-Deadline-Ms'])
            <= 4000
        )
        assert received_requests[0].body == b'text'


async def test_each_open_head_has_a_complete_group() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        for head in site.heads():
            members = [
                site.engines_by_id[member_id] for member_id in head.members
            ]
            assert len(members) == GROUP_SIZE
            assert head.group is not None
            for member in members:
                assert member.group is not None
                assert member.group['Name'] == head.group['Name']


@pytest.mark.parametrize('is_within_event', [False, True])
async def test_cut_stream_resumes_elsewhere_with_each_event_once(
    is_within_event: bool,
) -> None:
    async with platform_site(engines=8) as site:
        await _wait_until_serving(site)
        await site.until(lambda: len(site.heads()) > 1)
        await asyncio.sleep(0.5)
        for head in site.heads():
            head.faults.cuts_after_events = 2
            head.faults.cuts_within_event = is_within_event
        async with site.request(
            '/notes/1', headers={ATTEMPT_ID: 'one'}
        ) as response:
            body = await response.read()
        assert body == _stream_body(5)
        assert len(site.arrivals('one')) == 3


async def test_non_idempotent_request_without_a_seal_is_not_retried() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.faults.omits_seal = True
        async with site.request(
            '/refunds/1', headers={ATTEMPT_ID: 'one'}
        ) as response:
            await response.read()
        assert response.status == 502
        assert len(site.arrivals('one')) == 1


async def test_request_refused_by_all_engines_never_runs() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.faults.refuses = True
        async with site.request(
            '/refunds/1', headers={ATTEMPT_ID: 'one'}
        ) as response:
            await response.read()
        assert response.status == 503
        assert float(response.headers['Retry-After']) > 0
        for engine in site.engines_by_id.values():
            engine.faults.refuses = False
        await asyncio.sleep(0.2)
        assert not site.arrivals('one')


async def test_failed_lookup_is_retried_on_another_engine() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        site.engines_by_id['i-6'].faults.fails_with = 500
        for number in range(4):
            headers = {ATTEMPT_ID: f'lookup-{number}'}
            async with site.request(
                '/lookups/1', 'GET', headers=headers, body=b''
            ) as response:
                await response.read()
            assert response.status == 200


async def test_engine_cancels_the_request_of_a_disconnected_caller() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.faults.never_answers = True
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await _response_body(site, '/notes/1')
        await site.until(
            lambda: (
                not any(
                    stand_in.running for stand_in in site.engines_by_id.values()
                )
            )
        )
        cancelled = [
            stand_in.cancelled for stand_in in site.engines_by_id.values()
        ]
        assert sum(cancelled) == 1
        assert not site.routers[0].in_flight_counts.running_by_engine


async def test_unknown_key_and_unknown_route_have_different_statuses() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        unknown_key = {'Authorization': 'Bearer nobody'}
        async with site.request('/notes/1', headers=unknown_key) as response:
            assert response.status == 401
        async with site.request('/elsewhere/1') as response:
            assert response.status == 404


async def test_router_without_configuration_responds_with_503() -> None:
    async with platform_site(is_configured=False) as site:
        async with site.request('/notes/1') as response:
            assert response.status == 503
        readiness = site.routers[0].settings.readiness
        ready = f'http://{readiness}/api/readyz'
        assert site.session is not None
        async with site.session.get(ready) as response:
            assert response.status == 503
        site.store.rows.put('op', 'config', configuration())
        await site.until(site.routers[0].is_ready)
        async with site.session.get(ready) as response:
            assert response.status == 200


async def test_removed_key_is_refused() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        changed = configuration(
            2, Tenants=[{'Name': 'north', 'ApiKeys': ['another']}]
        )
        site.store.rows.put('op', 'config', changed)
        await site.until(lambda: _configuration_version(site) == 2)
        async with site.request('/notes/1') as response:
            assert response.status == 401


async def test_older_configuration_version_is_ignored() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        site.store.rows.put('op', 'config', configuration(9))
        await site.until(lambda: _configuration_version(site) == 9)
        site.store.rows.put('op', 'config', configuration(7))
        await asyncio.sleep(0.5)
        assert _configuration_version(site) == 9


async def test_router_keeps_serving_while_the_store_is_down() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        site.store.faults.is_down = True
        view = site.routers[0].view
        await site.until(lambda: not view.engines.is_reachable)
        async with site.request('/notes/1') as response:
            assert await response.read() == _stream_body(5)
        site.store.faults.is_down = False
        await site.until(lambda: view.engines.is_reachable)


async def test_lost_member_is_replaced_and_streams_are_complete() -> None:
    async with platform_site(engines=3) as site:
        await _wait_until_serving(site)
        head = site.heads()[0]
        first_group = head.group
        member = site.engines_by_id[head.members[1]]
        member.deregister()
        await site.until(
            lambda: any(head.group != first_group for head in site.heads())
        )
        assert member.engine_id not in site.heads()[0].members
        await _wait_until_serving(site)
        async with site.request('/notes/1') as response:
            assert await response.read() == _stream_body(5)


async def test_unreadable_engine_entries_are_ignored() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        site.store.rows.put_raw('servers', 'i-x', b'\xff\x00not json')
        site.store.rows.put('servers', 'i-y', {'Service': 7, 'State': 'odd'})
        router = site.routers[0]
        await site.until(
            lambda: 'servers/i-y' in router.view.engines.rows_by_key
        )
        engines_by_id = router.view.directory.engines_by_id
        assert 'i-x' not in engines_by_id
        assert 'i-y' not in engines_by_id
        async with site.request('/notes/1') as response:
            assert response.status == 200


async def test_stopping_router_completes_requests_that_it_has_read() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.1
        router = site.routers[0]
        async with site.request('/notes/1') as response:
            stopping = asyncio.ensure_future(router.stop())
            assert await response.read() == _stream_body(5)
        async with site.request('/notes/2') as late_response:
            assert await late_response.read() == _stream_body(5)
            assert late_response.headers['Connection'] == 'close'
        await stopping
        with pytest.raises(aiohttp.ClientConnectorError):
            await _response_body(site, '/notes/3')


async def test_each_router_counts_the_load_of_the_other() -> None:
    async with platform_site(routers=2) as site:
        await _wait_until_serving(site)
        first, second = site.routers
        await site.until(lambda: bool(first.exchange.links.by_address))
        await site.until(lambda: bool(second.exchange.links.by_address))
        for engine in site.engines_by_id.values():
            engine.event_s = 0.1
        async with site.request('/notes/1') as response:
            engine_id = next(iter(first.in_flight_counts.running_by_engine))
            await site.until(
                lambda: second.in_flight_counts.running(engine_id) == 1
            )
            await response.read()
        lease_holders = [router.lease.is_held() for router in site.routers]
        assert lease_holders.count(True) == 1


async def test_stream_of_an_unreachable_head_resumes_elsewhere() -> None:
    async with platform_site(engines=8) as site:
        await _wait_until_serving(site)
        await site.until(lambda: len(site.heads()) > 1)
        await asyncio.sleep(0.5)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.1
        async with site.request(
            '/notes/1', headers={ATTEMPT_ID: 'one'}
        ) as response:
            first_event = await response.content.readuntil(b'\n\n')
            head = site.engines_by_id[site.arrivals('one')[0]]
            head.faults.is_unresponsive = True
            assert first_event + await response.read() == _stream_body(5)
        assert len(site.arrivals('one')) == 2


async def test_slow_plain_service_is_not_treated_as_a_silent_head() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.faults.never_answers = engine.is_plain
        pending = asyncio.ensure_future(_response_body(site, '/refunds/1'))
        server = site.routers[0].server
        await site.until(
            lambda: bool(server.slots.in_flight_counts.running_by_engine)
        )
        busy_engines = set(server.slots.in_flight_counts.running_by_engine)
        assert not busy_engines.intersection(server.runner.streams_by_head)
        await pending


async def test_stream_that_fails_after_resuming_never_looks_complete() -> None:
    async with platform_site(engines=8) as site:
        await _wait_until_serving(site)
        await site.until(lambda: len(site.heads()) > 1)
        await asyncio.sleep(0.5)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.1
            engine.faults.cuts_after_events = 2
        async with site.request(
            '/notes/1', headers={ATTEMPT_ID: 'one'}
        ) as response:
            await response.content.readuntil(b'\n\n')
            for engine in site.engines_by_id.values():
                engine.faults.fails_with = 500
            with pytest.raises(aiohttp.ClientPayloadError):
                await response.read()
        assert len(site.arrivals('one')) > 1


async def test_stopping_router_accepts_no_request_that_it_cannot_finish() -> (
    None
):
    # The caller's keep-alive connection is idle when the router stops.
    async with platform_site() as site:
        await _wait_until_serving(site)
        router = site.routers[0]
        host, _, port = router.settings.callers.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET /elsewhere HTTP/1.1\r\nHost: one.example\r\n\r\n')
        head = await reader.readuntil(b'\r\n\r\n')
        assert b'404' in head
        await reader.readuntil(b'}}')
        await router.stop()
        assert not await reader.read()
        writer.close()


async def test_connection_closes_after_a_response_that_outlasts_notice() -> (
    None
):
    # The response starts before the stop and has no "Connection: close".
    request = (
        'POST /notes/1 HTTP/1.1\r\nHost: one.example\r\n'
        f'Authorization: Bearer {KEY}\r\n{ATTEMPT_ID}: %s\r\n'
        'X-Primroserudder-Model: small\r\nContent-Length: 4\r\n\r\ntext'
    )
    async with platform_site() as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.75
        router = site.routers[0]
        host, _, port = router.settings.callers.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((request % 'first').encode())
        await reader.readuntil(b'id: 1')
        await router.stop()
        await reader.readuntil(b'0\r\n\r\n')
        writer.write((request % 'second').encode())
        assert not await reader.read()
        assert not site.arrivals('second')
        writer.close()
