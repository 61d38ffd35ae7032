"""Each request that was read ends in exactly one way, and is counted."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from ...process.invariants import Invariants
from ...process.metrics import Metrics
from ...testing.configchanges import with_route
from ...testing.platformsite import PlatformSite, platform_site
from ...testing.rawcaller import raw_caller
from ..requestendings import INVARIANT, RequestEnding, RequestEndings


def _endings() -> RequestEndings:
    metrics = Metrics()
    return RequestEndings(Invariants(metrics), metrics)


def _violations(endings: RequestEndings) -> float:
    return endings.metrics.value('invariant_violations', invariant=INVARIANT)


@pytest.mark.parametrize('ending', RequestEnding)
def test_one_ending_is_counted_and_no_violation(ending: RequestEnding) -> None:
    endings = _endings()
    with endings.tracked('one') as opened:
        assert endings.under_way == 1
        opened.end(ending)
    assert endings.metrics.value('request_endings', ending=ending.value) == 1
    assert not _violations(endings)
    assert (endings.read, endings.under_way) == (1, 0)


def test_request_without_an_ending_is_a_violation_with_its_id() -> None:
    endings = _endings()
    with endings.tracked('one'):
        assert not _violations(endings)
    assert _violations(endings) == 1
    assert 'request one' in endings.invariants.dump()[INVARIANT]


def test_request_with_two_endings_is_a_violation() -> None:
    endings = _endings()
    with endings.tracked('one') as opened:
        opened.end(RequestEnding.REFUSED)
        opened.end(RequestEnding.ABORTED)
    assert _violations(endings) == 1
    assert 'refused, aborted' in endings.invariants.dump()[INVARIANT]


def test_error_of_the_handler_passes_and_the_violation_is_counted() -> None:
    endings = _endings()
    with pytest.raises(KeyError), endings.tracked('one'):
        raise KeyError('unexpected')
    assert _violations(endings) == 1


async def _wait_for_endings(
    site: PlatformSite, ending: RequestEnding, count: int = 1
) -> None:
    endings = site.routers[0].ports.handler.endings
    async with asyncio.timeout(5):
        await site.until(lambda: endings.count_by_ending[ending] == count)
    assert sum(endings.count_by_ending.values()) == count
    assert not site.routers[0].dump()['violations']


async def _wait_until_serving(site: PlatformSite) -> None:
    directory = site.routers[0].view.directory
    await site.until(lambda: len(directory.targets_by_pool()) == 2)


async def test_served_stream_and_refusal_are_counted_by_their_endings() -> None:
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        async with raw_caller(site) as caller:
            caller.request('one')
            assert (await caller.response()).status == 200
            await _wait_for_endings(site, RequestEnding.ANSWERED)
            caller.request('two', '/nowhere/1')
            assert (await caller.response()).status == 404
        requests = site.routers[0].dump()['requests']
        assert requests == {
            'read': 2,
            'under_way': 0,
            'endings': {
                'answered': 1,
                'refused': 1,
                'aborted': 0,
                'caller gone': 0,
            },
        }


async def test_stream_that_can_not_go_on_ends_as_aborted() -> None:
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.faults.cuts_after_events = 1
        async with raw_caller(site) as caller:
            caller.request('one')
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await caller.response()
        await _wait_for_endings(site, RequestEnding.ABORTED)


@pytest.mark.parametrize('path', ['/notes/1', '/refunds/1'])
async def test_caller_that_leaves_before_the_answer_is_counted_as_gone(
    path: str,
) -> None:
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.faults.never_answers = True
        async with raw_caller(site) as caller:
            caller.request('one', path)
            await site.until(lambda: bool(site.arrivals('one')))
            caller.leave()
        await _wait_for_endings(site, RequestEnding.CALLER_GONE)
        engines = site.engines_by_id.values()
        await site.until(lambda: not any(each.running for each in engines))


async def test_caller_that_leaves_within_a_stream_is_counted_as_gone() -> None:
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.2
        async with raw_caller(site) as caller:
            caller.request('one')
            await caller.reader.readuntil(b'id: 1')
            caller.leave()
        await _wait_for_endings(site, RequestEnding.CALLER_GONE)


async def test_caller_that_leaves_within_its_body_is_counted_as_gone() -> None:
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        async with raw_caller(site) as caller:
            caller.request('one', fields={'Content-Length': '10'})
            endings = site.routers[0].ports.handler.endings
            await site.until(lambda: endings.under_way == 1)
            caller.leave()
        await _wait_for_endings(site, RequestEnding.CALLER_GONE)
        assert not site.arrivals('one')


async def test_caller_that_leaves_while_it_waits_frees_its_place() -> None:
    async with AsyncExitStack() as stack:
        site = await stack.enter_async_context(platform_site(2, 1))
        slow = with_route(2, 'notes', SloMs=4000)
        site.store.rows.put('op', 'config', slow)
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.faults.never_answers = True
        router = site.routers[0]
        endings = router.ports.handler.endings
        callers = [
            await stack.enter_async_context(raw_caller(site)) for _ in range(5)
        ]
        for number, caller in enumerate(callers):
            caller.request(f'one-{number}')
        await site.until(lambda: endings.read == len(callers))
        await site.until(
            lambda: bool(router.in_flight_counts.waiting('model/small'))
        )
        for caller in callers:
            caller.leave()
        await _wait_for_endings(site, RequestEnding.CALLER_GONE, 5)
        assert not router.in_flight_counts.running_by_engine
        assert (
            sum(len(site.arrivals(f'one-{number}')) for number in range(5)) == 4
        )
