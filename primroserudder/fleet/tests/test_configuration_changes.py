"""A new configuration reaches requests that are under way."""

import asyncio
from collections.abc import Callable, Mapping

import pytest

from ...standins.groupengine import GroupEngine, event
from ...testing.configchanges import (
    with_route,
    without_key,
    without_model,
    without_route,
    without_service,
)
from ...testing.platformsite import PlatformSite, platform_site
from ...testing.rawcaller import RawCaller, RawResponse, raw_caller

Change = Callable[[int], Mapping[str, object]]
LOOKUP = '/lookups/1'
STREAM = '/notes/1'
ALL_EVENTS = [event(number) for number in range(1, 6)]


def _without_lookups(version: int) -> Mapping[str, object]:
    return without_route(version, 'lookups')


def _without_notes(version: int) -> Mapping[str, object]:
    return without_route(version, 'notes')


def _without_ledger(version: int) -> Mapping[str, object]:
    return without_service(version, 'ledger')


def _without_models(version: int) -> Mapping[str, object]:
    return without_service(version, 'model')


def _shorter(version: int) -> Mapping[str, object]:
    return with_route(version, 'lookups', TimeoutMs=50)


def _shorter_stream(version: int) -> Mapping[str, object]:
    return with_route(version, 'notes', TimeoutMs=50)


PLAIN_CHANGES = [_without_lookups, _without_ledger, without_key, _shorter]
STREAM_CHANGES = [
    _without_notes,
    _without_models,
    without_key,
    without_model,
    _shorter_stream,
]


async def _wait_until_serving(site: PlatformSite, pools: int) -> None:
    directory = site.routers[0].view.directory
    await site.until(lambda: len(directory.targets_by_pool()) == pools)


async def _change(site: PlatformSite, change: Change, version: int = 3) -> None:
    site.store.rows.put('op', 'config', change(version))
    view = site.routers[0].view

    def is_in_force() -> bool:
        current = view.configuration()
        return current is not None and current.version == version

    await site.until(is_in_force)


async def _response(caller: RawCaller) -> RawResponse:
    async with asyncio.timeout(6):
        return await caller.response()


def _check(site: PlatformSite) -> None:
    router = site.routers[0]
    assert not router.dump()['violations']
    assert not router.ports.handler.in_flight
    assert not router.in_flight_counts.running_by_engine


@pytest.mark.parametrize('change', PLAIN_CHANGES)
async def test_request_that_waits_for_a_slot_has_an_answer(
    change: Change,
) -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site, 1)
        await _change(site, lambda _: with_route(2, 'lookups', SloMs=4000), 2)
        counts = site.routers[0].in_flight_counts
        for _ in range(4):
            counts.begin('i-0')
        async with raw_caller(site) as caller:
            caller.request('one', LOOKUP)
            await site.until(lambda: bool(counts.own_waiting()))
            await _change(site, change)
            for _ in range(4):
                counts.end('i-0')
            response = await _response(caller)
        assert response.status in {200, 503, 504}
        assert bool(site.arrivals('one')) == (response.status == 200)
        _check(site)


@pytest.mark.parametrize('change', PLAIN_CHANGES)
async def test_request_that_runs_is_answered_by_its_engine(
    change: Change,
) -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site, 1)
        engine = site.engines_by_id['i-0']
        engine.answer_delay_s = 1
        async with raw_caller(site) as caller:
            caller.request('one', LOOKUP)
            await site.until(lambda: bool(site.arrivals('one')))
            await _change(site, change)
            assert (await _response(caller)).status == 200
        _check(site)


@pytest.mark.parametrize('change', PLAIN_CHANGES)
async def test_request_between_two_attempts_has_an_answer(
    change: Change,
) -> None:
    # The first engine refuses, slowly enough for the change to come first.
    async with platform_site(engines=0, plain=2) as site:
        await _wait_until_serving(site, 1)
        await site.until(
            lambda: len(site.routers[0].view.directory.engines_by_id) == 2
        )
        for engine in site.engines_by_id.values():
            engine.faults.refuses = True
            engine.faults.refuses_after_s = 0.6
        async with raw_caller(site) as caller:
            caller.request('one', LOOKUP)
            engines = site.engines_by_id.values()
            await site.until(lambda: any(each.refused for each in engines))
            for engine in engines:
                engine.faults.refuses = False
            await _change(site, change)
            response = await _response(caller)
        assert response.status in {200, 503}
        assert bool(site.arrivals('one')) == (response.status == 200)
        _check(site)


def _slow_and_cut(engine: GroupEngine) -> None:
    engine.event_s = 0.4
    engine.faults.cuts_after_events = 2


@pytest.mark.parametrize('change', STREAM_CHANGES)
async def test_stream_that_is_resumed_is_whole_or_visibly_broken_off(
    change: Change,
) -> None:
    async with platform_site(engines=8, plain=0) as site:
        await _wait_until_serving(site, 1)
        await site.until(lambda: len(site.heads()) > 1)
        await asyncio.sleep(0.5)
        for engine in site.engines_by_id.values():
            _slow_and_cut(engine)
        async with raw_caller(site) as caller:
            caller.request('one', STREAM)
            await caller.reader.readuntil(b'id: 1')
            await _change(site, change)
            octets = b''
            try:
                octets = await _rest(caller)
            except ConnectionError:
                octets = b''
        endings = site.routers[0].ports.handler.endings
        await site.until(lambda: not endings.under_way)
        if octets.endswith(b'0\r\n\r\n'):
            assert ALL_EVENTS[-1] in octets
        router = site.routers[0]
        assert not router.dump()['violations']
        assert not router.in_flight_counts.running_by_engine


async def _rest(caller: RawCaller) -> bytes:
    octets = b''
    async with asyncio.timeout(8):
        while not octets.endswith(b'0\r\n\r\n'):
            more = await caller.reader.read(65_536)
            octets += more
            if not more:
                break
    return octets


@pytest.mark.parametrize('change', STREAM_CHANGES)
async def test_stream_that_runs_goes_on_to_its_end(change: Change) -> None:
    async with platform_site(engines=2, plain=0) as site:
        await _wait_until_serving(site, 1)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.4
        async with raw_caller(site) as caller:
            caller.request('one', STREAM)
            await caller.reader.readuntil(b'id: 1')
            await _change(site, change)
            octets = await _rest(caller)
        assert octets.endswith(b'0\r\n\r\n')
        assert ALL_EVENTS[-1] in octets
        endings = site.routers[0].ports.handler.endings
        await site.until(lambda: not endings.under_way)
        _check(site)
