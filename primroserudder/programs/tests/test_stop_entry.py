"""Test that a stopping entry finishes its streams, over real sockets."""

import asyncio

import aiohttp

from ...testing.localsite import LocalSite, running_site
from ..entrynode import EntryNode

DRAIN_NOTICE_S = 0.3
TOKENS = 60


async def _start_stop(entry: EntryNode) -> 'asyncio.Task[None]':
    entry.drain.notice_s = DRAIN_NOTICE_S
    stopping = asyncio.create_task(entry.stop())
    # Yield to the event loop so that the stop begins before the next request.
    await asyncio.sleep(0)
    return stopping


async def _is_refused(site: LocalSite, entry: EntryNode) -> bool:
    try:
        await site.complete(entry, 1)
    except aiohttp.ClientConnectorError:
        return True
    return False


async def test_stop_finishes_streams_and_keepalive_connections() -> None:
    async with running_site() as site:
        entry = site.entries[0]
        streams = [
            asyncio.create_task(site.stream(entry, TOKENS)) for _ in range(8)
        ]
        await site.until_in_flight(entry, 8)
        # The connection stays open, as a load balancer keeps its connections.
        before_stop = await site.complete(entry, 1)
        stopping = await _start_stop(entry)
        assert not entry.is_ready()
        during_stop = await site.complete(entry, 1)
        bodies = await asyncio.gather(*streams)
        await stopping
        assert await _is_refused(site, entry)
    assert before_stop.headers.get('Connection') != 'close'
    assert (during_stop.status, during_stop.headers['Connection']) == (
        200,
        'close',
    )
    assert all(body.endswith(b'data: [DONE]\n\n') for body in bodies)
    assert {body.count(b'"choices"') for body in bodies} == {TOKENS}
