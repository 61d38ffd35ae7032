"""Statuses that no response has, on each way from an engine to a caller."""

import pathlib
from http import HTTPStatus

import aiohttp
import pytest

from ...standins.groupengine import event
from ...testing.brokenresponses import BROKEN_HEADS
from ...testing.forwardingsite import forwarding_site
from ...testing.platformsite import PlatformSite, platform_site
from ...testing.rawattempts import EVENTS

ATTEMPT_ID = 'X-Primroserudder-Attempt-Id'
ECHO = b'X-Primroserudder-Attempt-Id: one\r\n'
PACKAGE = pathlib.Path(__file__).parents[2]
SERVING = ('connection', 'fleet', 'platform', 'process', 'request', 'version')
NAMES = (
    'status line HTTP/1.1 000 Odd',
    'status line HTTP/1.1 099 Odd',
    'status line HTTP/1.1 600 Odd',
    'status line HTTP/1.1 000 Odd after an interim head',
    'interim status line HTTP/1.1 000 Odd',
)
outside = pytest.mark.parametrize(
    'response', [BROKEN_HEADS[name] for name in NAMES], ids=NAMES
)


def _make_all_answer(site: PlatformSite, response: bytes) -> None:
    for engine in site.engines_by_id.values():
        engine.faults.raw_answer = response.replace(ECHO, b'')


async def _outcome(site: PlatformSite, path: str) -> int:
    """Return the status of a request, which has nothing of the engine."""
    async with site.request(path, headers={ATTEMPT_ID: 'one'}) as response:
        assert EVENTS not in await response.read()
        assert 'X-Primroserudder-Response-Seal' not in response.headers
        assert site.arrivals('one')
        return response.status


@outside
@pytest.mark.parametrize('path', ['/notes/1', '/lookups/1', '/refunds/1'])
async def test_status_outside_the_grammar_reaches_no_caller(
    path: str, response: bytes
) -> None:
    async with platform_site(engines=8) as site:
        pools = site.routers[0].view.directory.targets_by_pool
        await site.until(lambda: {'ledger/', 'model/small'} <= pools().keys())
        _make_all_answer(site, response)
        assert await _outcome(site, path) == HTTPStatus.BAD_GATEWAY


@outside
@pytest.mark.parametrize('path', ['/notes/1', '/lookups/1', '/refunds/1'])
async def test_status_outside_the_grammar_passes_no_second_router(
    path: str, response: bytes
) -> None:
    async with forwarding_site() as site:
        _make_all_answer(site, response)
        assert await _outcome(site, path) == HTTPStatus.BAD_GATEWAY


@outside
async def test_status_outside_the_grammar_does_not_continue_a_stream(
    response: bytes,
) -> None:
    async with platform_site(engines=8) as site:
        pools = site.routers[0].view.directory.targets_by_pool
        await site.until(lambda: len(pools().get('model/small', ())) > 1)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.1
            engine.faults.cuts_after_events = 2
        received = b''
        async with site.request(
            '/notes/1', headers={ATTEMPT_ID: 'one'}
        ) as answer:
            received += await answer.content.readuntil(b'\n\n')
            _make_all_answer(site, response)
            with pytest.raises(aiohttp.ClientPayloadError):
                while not answer.content.at_eof():
                    received += await answer.content.readany()
        assert b''.join(map(event, range(1, 6))).startswith(received)
        assert len(site.arrivals('one')) > 1


def test_serving_programs_read_responses_with_the_checked_reader() -> None:
    """It alone refuses such statuses, also of routers, relays and the store."""
    sources = (
        path
        for package in SERVING
        for path in (PACKAGE / package).rglob('*.py')
        if 'tests' not in path.parts
    )
    opening = [
        path.name for path in sources if 'ClientSession(' in path.read_text()
    ]
    assert not opening
