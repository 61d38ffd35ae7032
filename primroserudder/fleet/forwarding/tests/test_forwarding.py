"""What holds for requests that go through a second router."""

import asyncio

import aiohttp
import pytest

from ....standins.groupengine import GroupEngine, event
from ....testing.enginecuts import CutKind, cut_off_from_engines
from ....testing.forwardingsite import forwarding_site
from ....testing.platformsite import PlatformSite, platform_site
from ...retrybudget import RetryLimit
from ...router import Router
from ..messages import ATTEMPTS_LEFT, RUNS

ATTEMPT_ID = 'X-Primroserudder-Attempt-Id'
DEADLINE_MS = 'X-Primroserudder-Deadline-Ms'
GONE_S = 0.5
STREAM_EVENTS = 80


def _plain(site: PlatformSite) -> list[GroupEngine]:
    return [engine for engine in site.engines_by_id.values() if engine.is_plain]


async def test_router_without_engines_takes_nothing_from_another() -> None:
    async with forwarding_site(routers=2) as site:
        second = site.routers[1]
        with cut_off_from_engines(site, second, CutKind.REFUSED):
            second.forwarder.reach.doubt()
            await site.until(lambda: second.forwarder.reach.is_cut_off)
            async with asyncio.timeout(2):
                async with site.request(
                    '/refunds/1', headers={ATTEMPT_ID: 'one'}
                ) as response:
                    assert response.status == 503
                    assert 'Retry-After' in response.headers
        await asyncio.sleep(0.3)
        assert not site.arrivals('one')


async def test_engine_gets_the_request_as_its_caller_sent_it() -> None:
    async with forwarding_site() as site:
        headers = {ATTEMPT_ID: 'one', DEADLINE_MS: '1200', 'Own-Field': 'kept'}
        async with site.request('/refunds/1', headers=headers) as response:
            assert response.status == 200
        received = [
            received
            for engine in site.engines_by_id.values()
            for received in engine.received_requests
            if received.attempt_id == 'one'
        ]
        assert len(received) == 1
        fields = received[0].headers
        assert fields['Own-Field'] == 'kept'
        assert fields['X-Primroserudder-Tenant'] == 'north'
        assert 'Authorization' not in fields
        assert ATTEMPTS_LEFT not in fields
        assert 0 < int(fields[DEADLINE_MS]) <= 1200
        assert received[0].body == b'text'


async def test_callers_can_not_pose_as_routers() -> None:
    async with platform_site() as site:
        directory = site.routers[0].view.directory
        await site.until(lambda: 'ledger/' in directory.targets_by_pool())
        headers = {ATTEMPTS_LEFT: '9', ATTEMPT_ID: 'one'}
        for engine in _plain(site):
            engine.faults.refuses = True
        async with site.request('/refunds/1', headers=headers) as response:
            assert response.status == 503
            assert 'X-Primroserudder-Not-Executed' not in response.headers


async def test_engine_failure_is_passed_on_with_its_seal() -> None:
    async with forwarding_site() as site:
        for engine in _plain(site):
            engine.faults.fails_with = 500
        async with site.request('/refunds/1') as response:
            assert response.status == 500
            assert response.headers['X-Primroserudder-Response-Seal']
            assert await response.read() == b'failed'


async def test_request_that_no_engine_takes_is_refused_and_never_runs() -> None:
    async with forwarding_site() as site:
        for engine in _plain(site):
            engine.faults.refuses = True
        async with site.request(
            '/refunds/1', headers={ATTEMPT_ID: 'one'}
        ) as response:
            assert response.status == 503
        for engine in _plain(site):
            engine.faults.refuses = False
        await asyncio.sleep(0.3)
        assert not site.arrivals('one')


@pytest.mark.parametrize('path', ['/refunds/1', '/notes/1'])
async def test_caller_that_leaves_ends_the_run_behind_both_routers(
    path: str,
) -> None:
    async with forwarding_site() as site:
        for engine in site.engines_by_id.values():
            engine.answer_delay_s = 3
            engine.events = 1000
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                async with site.request(
                    path, headers={ATTEMPT_ID: 'one'}
                ) as response:
                    await response.read()
        reached = site.engines_by_id[site.arrivals('one')[0]]
        async with asyncio.timeout(GONE_S):
            await site.until(lambda: not reached.running)


async def test_refund_may_have_run_if_the_second_router_is_lost() -> None:
    async with forwarding_site() as site:
        for engine in _plain(site):
            engine.answer_delay_s = 1
        sending = asyncio.ensure_future(_status(site, '/refunds/1', 'one'))
        await site.until(lambda: bool(site.arrivals('one')))
        for router in site.routers[1:]:
            await router.close()
        assert await sending == 502
        assert len(site.arrivals('one')) == 1


async def test_stream_goes_on_if_the_second_router_is_lost() -> None:
    async with forwarding_site() as site:
        for engine in site.engines_by_id.values():
            engine.events = STREAM_EVENTS
        async with site.request(
            '/notes/1', headers={ATTEMPT_ID: 'one'}
        ) as response:
            body = await response.content.readany()
            running = site.routers[0].in_flight_counts.running_by_engine
            for router in site.routers[1:]:
                address = router.settings.exchange_endpoint
                if f'router/{address}' in running:
                    await router.close()
            body += await response.read()
        assert body == b''.join(map(event, range(1, STREAM_EVENTS + 1)))
        assert len(site.arrivals('one')) == 2


async def test_request_that_an_engine_rejected_is_not_forwarded_free() -> None:
    """With a budget of zero, one engine gets it at most."""
    async with forwarding_site() as site:
        for engine in _plain(site):
            engine.faults.refuses = True
        for router in site.routers:
            _allow_no_retries(router, 'ledger')
        assert await _status(site, '/refunds/1', 'one') == 503
        assert sum(engine.refused for engine in _plain(site)) == 1


async def test_request_runs_on_no_more_engines_than_its_route_allows() -> None:
    """Each router that it is forwarded to may try several of them."""
    async with forwarding_site() as site:
        for engine in _plain(site):
            engine.faults.fails_with = 500
        for number in range(4):
            headers = {ATTEMPT_ID: f'lookup-{number}'}
            async with site.request('/lookups/1', headers=headers) as response:
                assert response.status == 500
                assert RUNS not in response.headers
            assert len(site.arrivals(f'lookup-{number}')) == 2


async def test_stream_runs_on_no_more_engines_than_its_route_allows() -> None:
    async with forwarding_site() as site:
        for engine in site.engines_by_id.values():
            engine.faults.cuts_after_events = 1
        headers = {ATTEMPT_ID: 'one'}
        with pytest.raises(aiohttp.ClientPayloadError):
            async with site.request('/notes/1', headers=headers) as response:
                await response.read()
        assert 1 < len(site.arrivals('one')) <= 3


async def test_request_that_reached_no_engine_goes_to_another_router() -> None:
    async with forwarding_site() as site:
        _allow_no_retries(site.routers[0], 'ledger')
        stopping = site.routers[1]
        stopping.ports.handler.is_closing = True
        statuses = [
            await _status(site, '/refunds/1', f'one-{number}')
            for number in range(6)
        ]
        assert statuses == [200 for _ in statuses]


def _allow_no_retries(router: Router, service: str) -> None:
    budget = router.server.charger.budgets.for_service(service)
    budget.limit = RetryLimit(0, 0, 10)


async def test_stopping_router_ends_what_it_took_and_takes_no_more() -> None:
    async with forwarding_site() as site:
        for engine in _plain(site):
            engine.answer_delay_s = 0.5
        sends = [
            asyncio.ensure_future(
                _status(site, '/refunds/1', f'before-{number}')
            )
            for number in range(4)
        ]
        await site.until(lambda: bool(site.arrivals('before-3')))
        stopping = asyncio.ensure_future(site.routers[1].stop())
        await asyncio.sleep(0)
        later = [
            await _status(site, '/lookups/1', f'later-{number}')
            for number in range(4)
        ]
        assert await asyncio.gather(*sends) == [200 for _ in sends]
        assert later == [200 for _ in later]
        stopping.cancel()


async def test_requests_go_straight_to_engines_once_these_are_reached() -> None:
    async with forwarding_site() as site:
        first = site.routers[0]
        assert first.forwarder.is_active
    async with platform_site(routers=2) as site:
        directory = site.routers[0].view.directory
        await site.until(lambda: 'ledger/' in directory.targets_by_pool())
        first = site.routers[0]
        with cut_off_from_engines(site, first, CutKind.SILENT):
            first.forwarder.reach.doubt()
            await site.until(lambda: first.forwarder.is_active)
        async with asyncio.timeout(2):
            await site.until(lambda: not first.forwarder.is_active)
        assert await _status(site, '/refunds/1', 'one') == 200


async def _status(site: PlatformSite, path: str, attempt_id: str) -> int:
    try:
        async with site.request(
            path, headers={ATTEMPT_ID: attempt_id}
        ) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


@pytest.mark.parametrize('text', ['many', '0', '-1', ''])
async def test_malformed_number_of_attempts_is_refused_as_not_run(
    text: str,
) -> None:
    async with platform_site(routers=1) as site:
        settings = site.routers[0].settings
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f'http://{settings.exchange_endpoint}/refunds/1',
                headers={ATTEMPTS_LEFT: text},
            ) as response,
        ):
            assert response.status == 400
            assert 'X-Primroserudder-Not-Executed' in response.headers
