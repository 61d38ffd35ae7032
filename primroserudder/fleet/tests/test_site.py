"""The whole way of requests over loopback, against stand-ins."""

import asyncio

import aiohttp
import pytest

from ...standins.groupengine import event
from ...testing.platformsite import (
    KEY,
    GROUP_SIZE,
    PlatformSite,
    configuration,
    platform_site,
)

ID = 'X-Primroserudder-Attempt-Id'


def _whole(engine_events: int) -> bytes:
    return b''.join(event(number) for number in range(1, engine_events + 1))


async def _until_served(site: PlatformSite) -> None:
    router = site.routers[0]
    await site.until(lambda: bool(router.view.directory.targets_by_pool()))
    await site.until(
        lambda: 'model/small' in router.view.directory.targets_by_pool()
    )


async def _answer(site: PlatformSite, path: str) -> bytes:
    async with site.request(path) as answer:
        return await answer.read()


def _version(site: PlatformSite) -> int:
    configuration = site.routers[0].view.configuration()
    return 0 if configuration is None else configuration.version


async def test_stream_comes_whole_from_a_group_formed_by_the_router() -> None:
    async with platform_site() as site:
        await _until_served(site)
        async with site.request('/notes/1', headers={ID: 'one'}) as answer:
            body = await answer.read()
        assert answer.status == 200
        assert body == _whole(5)
        assert answer.headers['X-Primroserudder-Response-Seal']
        assert len(site.arrivals('one')) == 1


async def test_engine_sees_the_workspace_and_never_the_key() -> None:
    async with platform_site() as site:
        await _until_served(site)
        fake = {'X-Primroserudder-Tenant': 'south', ID: 'one'}
        async with site.request('/notes/1', headers=fake) as answer:
            await answer.read()
        arrivals = [
            one for head in site.heads() for one in head.received_requests
        ]
        assert arrivals[0].headers['X-Primroserudder-Tenant'] == 'north'
        assert 'Authorization' not in arrivals[0].headers
        assert int(arrivals[0].headers['X-Primroserudder-Deadline-Ms']) <= 4000
        assert arrivals[0].body == b'text'


async def test_every_head_opens_only_with_all_members_ready() -> None:
    async with platform_site() as site:
        await _until_served(site)
        for head in site.heads():
            members = [site.engines_by_id[one] for one in head.members]
            assert len(members) == GROUP_SIZE
            assert head.group is not None
            for member in members:
                assert member.group is not None
                assert member.group['Name'] == head.group['Name']


@pytest.mark.parametrize('is_within_event', [False, True])
async def test_cut_stream_goes_on_elsewhere_with_each_event_once(
    is_within_event: bool,
) -> None:
    async with platform_site(engines=8) as site:
        await _until_served(site)
        await site.until(lambda: len(site.heads()) > 1)
        await asyncio.sleep(0.5)
        for head in site.heads():
            head.faults.cuts_after_events = 2
            head.faults.cuts_within_event = is_within_event
        async with site.request('/notes/1', headers={ID: 'one'}) as answer:
            body = await answer.read()
        assert body == _whole(5)
        assert len(site.arrivals('one')) == 3


async def test_non_idempotent_request_is_not_sent_again_after_a_cut() -> None:
    async with platform_site() as site:
        await _until_served(site)
        for engine in site.engines_by_id.values():
            engine.faults.omits_seal = True
        async with site.request('/refunds/1', headers={ID: 'one'}) as answer:
            await answer.read()
        assert answer.status == 502
        assert len(site.arrivals('one')) == 1


async def test_refusing_engine_makes_a_refusal_that_never_runs() -> None:
    async with platform_site() as site:
        await _until_served(site)
        for engine in site.engines_by_id.values():
            engine.faults.refuses = True
        async with site.request('/refunds/1', headers={ID: 'one'}) as answer:
            await answer.read()
        assert answer.status == 503
        assert float(answer.headers['Retry-After']) > 0
        for engine in site.engines_by_id.values():
            engine.faults.refuses = False
        await asyncio.sleep(0.2)
        assert not site.arrivals('one')


async def test_lookup_that_fails_is_repeated_at_another_engine() -> None:
    async with platform_site() as site:
        await _until_served(site)
        site.engines_by_id['i-6'].faults.fails_with = 500
        for number in range(4):
            headers = {ID: f'lookup-{number}'}
            async with site.request(
                '/lookups/1', 'GET', headers=headers, body=b''
            ) as answer:
                await answer.read()
            assert answer.status == 200


async def test_caller_that_leaves_ends_the_engines_work() -> None:
    async with platform_site() as site:
        await _until_served(site)
        for engine in site.engines_by_id.values():
            engine.faults.never_answers = True
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await _answer(site, '/notes/1')
        await site.until(
            lambda: not any(one.running for one in site.engines_by_id.values())
        )
        cancelled = [one.cancelled for one in site.engines_by_id.values()]
        assert sum(cancelled) == 1
        assert not site.routers[0].book.running_by_engine


async def test_unknown_key_and_route_are_told_apart() -> None:
    async with platform_site() as site:
        await _until_served(site)
        wrong = {'Authorization': 'Bearer nobody'}
        async with site.request('/notes/1', headers=wrong) as answer:
            assert answer.status == 401
        async with site.request('/elsewhere/1') as answer:
            assert answer.status == 404


async def test_no_configuration_is_no_answer_about_routes() -> None:
    async with platform_site(is_configured=False) as site:
        async with site.request('/notes/1') as answer:
            assert answer.status == 503
        readiness = site.routers[0].settings.readiness
        ready = f'http://{readiness}/api/readyz'
        assert site.session is not None
        async with site.session.get(ready) as answer:
            assert answer.status == 503
        site.store.rows.put('op', 'config', configuration())
        await site.until(site.routers[0].is_ready)
        async with site.session.get(ready) as answer:
            assert answer.status == 200


async def test_key_taken_away_is_refused() -> None:
    async with platform_site() as site:
        await _until_served(site)
        changed = configuration(
            2, Tenants=[{'Name': 'north', 'ApiKeys': ['another']}]
        )
        site.store.rows.put('op', 'config', changed)
        await site.until(lambda: _version(site) == 2)
        async with site.request('/notes/1') as answer:
            assert answer.status == 401


async def test_older_version_never_comes_back() -> None:
    async with platform_site() as site:
        await _until_served(site)
        site.store.rows.put('op', 'config', configuration(9))
        await site.until(lambda: _version(site) == 9)
        site.store.rows.put('op', 'config', configuration(7))
        await asyncio.sleep(0.5)
        assert _version(site) == 9


async def test_serves_on_while_the_store_is_down() -> None:
    async with platform_site() as site:
        await _until_served(site)
        site.store.faults.is_down = True
        view = site.routers[0].view
        await site.until(lambda: not view.engines.is_reachable)
        async with site.request('/notes/1') as answer:
            assert await answer.read() == _whole(5)
        site.store.faults.is_down = False
        await site.until(lambda: view.engines.is_reachable)


async def test_lost_member_is_replaced_and_the_stream_stays_whole() -> None:
    async with platform_site(engines=3) as site:
        await _until_served(site)
        head = site.heads()[0]
        first = head.group
        member = site.engines_by_id[head.members[1]]
        member.deregister()
        await site.until(
            lambda: any(one.group != first for one in site.heads())
        )
        assert member.engine_id not in site.heads()[0].members
        await _until_served(site)
        async with site.request('/notes/1') as answer:
            assert await answer.read() == _whole(5)


async def test_unreadable_entry_of_the_list_names_no_engine() -> None:
    async with platform_site() as site:
        await _until_served(site)
        site.store.rows.put_raw('servers', 'i-x', b'\xff\x00not json')
        site.store.rows.put('servers', 'i-y', {'Service': 7, 'State': 'odd'})
        router = site.routers[0]
        await site.until(
            lambda: 'servers/i-y' in router.view.engines.rows_by_key
        )
        known = router.view.directory.engines_by_id
        assert 'i-x' not in known
        assert 'i-y' not in known
        async with site.request('/notes/1') as answer:
            assert answer.status == 200


async def test_stopping_router_answers_what_it_read() -> None:
    async with platform_site() as site:
        await _until_served(site)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.1
        router = site.routers[0]
        async with site.request('/notes/1') as answer:
            stopping = asyncio.ensure_future(router.stop())
            assert await answer.read() == _whole(5)
        async with site.request('/notes/2') as late:
            assert await late.read() == _whole(5)
            assert late.headers['Connection'] == 'close'
        await stopping
        with pytest.raises(aiohttp.ClientConnectorError):
            await _answer(site, '/notes/3')


async def test_two_routers_see_each_others_load() -> None:
    async with platform_site(routers=2) as site:
        await _until_served(site)
        first, second = site.routers
        await site.until(lambda: bool(first.exchange.neighbours()))
        await site.until(lambda: bool(second.exchange.neighbours()))
        for engine in site.engines_by_id.values():
            engine.event_s = 0.1
        async with site.request('/notes/1') as answer:
            engine_id = next(iter(first.book.running_by_engine))
            await site.until(lambda: second.book.running(engine_id) == 1)
            await answer.read()
        held = [router.lease.is_held() for router in site.routers]
        assert held.count(True) == 1


async def test_stream_at_a_head_gone_dark_goes_on_elsewhere() -> None:
    async with platform_site(engines=8) as site:
        await _until_served(site)
        await site.until(lambda: len(site.heads()) > 1)
        await asyncio.sleep(0.5)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.1
        async with site.request('/notes/1', headers={ID: 'one'}) as answer:
            first = await answer.content.readuntil(b'\n\n')
            head = site.engines_by_id[site.arrivals('one')[0]]
            head.faults.is_unresponsive = True
            assert first + await answer.read() == _whole(5)
        assert len(site.arrivals('one')) == 2


async def test_slow_plain_service_is_not_taken_for_a_silent_head() -> None:
    async with platform_site() as site:
        await _until_served(site)
        for engine in site.engines_by_id.values():
            engine.faults.never_answers = engine.is_plain
        asking = asyncio.ensure_future(_answer(site, '/refunds/1'))
        server = site.routers[0].server
        await site.until(lambda: bool(server.book.running_by_engine))
        plain = set(server.book.running_by_engine)
        assert not plain.intersection(server.streams_by_head)
        await asking


async def test_stream_that_fails_where_it_went_on_never_looks_whole() -> None:
    async with platform_site(engines=8) as site:
        await _until_served(site)
        await site.until(lambda: len(site.heads()) > 1)
        await asyncio.sleep(0.5)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.1
            engine.faults.cuts_after_events = 2
        async with site.request('/notes/1', headers={ID: 'one'}) as answer:
            await answer.content.readuntil(b'\n\n')
            for other in site.engines_by_id.values():
                other.faults.fails_with = 500
            with pytest.raises(aiohttp.ClientPayloadError):
                await answer.read()
        assert len(site.arrivals('one')) > 1


async def test_stopping_router_takes_no_request_that_it_cannot_finish() -> None:
    # A caller's kept connection was idle when the stop began.
    async with platform_site() as site:
        await _until_served(site)
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


async def test_connection_ends_with_an_answer_that_outlasted_the_notice() -> (
    None
):
    # The answer began before the stop, so that it did not say "close".
    request = (
        'POST /notes/1 HTTP/1.1\r\nHost: one.example\r\n'
        f'Authorization: Bearer {KEY}\r\n{ID}: %s\r\n'
        'X-Primroserudder-Model: small\r\nContent-Length: 4\r\n\r\ntext'
    )
    async with platform_site() as site:
        await _until_served(site)
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
