"""An entry that stops cuts no stream, over real sockets."""

import asyncio

import aiohttp

from ...testing.localsite import LocalSite, running_site
from ..entrynode import EntryNode

NOTICE_S = 0.3
TOKENS = 60


async def _stopping(entry: EntryNode) -> 'asyncio.Task[None]':
    entry.drain.notice_s = NOTICE_S
    stopping = asyncio.create_task(entry.stop())
    # Let the stop begin before the next request.
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
        # The connection stays open, as a balancer would keep it.
        first = await site.complete(entry, 1)
        stopping = await _stopping(entry)
        assert not entry.is_ready()
        late = await site.complete(entry, 1)
        bodies = await asyncio.gather(*streams)
        await stopping
        assert await _is_refused(site, entry)
    assert first.headers.get('Connection') != 'close'
    assert (late.status, late.headers['Connection']) == (200, 'close')
    assert all(body.endswith(b'data: [DONE]\n\n') for body in bodies)
    assert {body.count(b'"choices"') for body in bodies} == {TOKENS}
