"""A whole site on loopback, for tests and benchmarks with real sockets."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp

from ..programs.demo import DEMO_KEY, EXAMPLE
from ..programs.entrynode import EntryNode
from ..programs.local import LOCAL_TOKEN, Local
from ..programs.operatorclient import OperatorClient

POLL_S = 0.02
GROUPS = 6


@dataclass(slots=True)
class LocalSite:
    """All roles in one process, and an HTTP client session."""

    local: Local
    session: aiohttp.ClientSession

    @property
    def entries(self) -> Sequence[EntryNode]:
        """Return the entries, one of each failure domain."""
        return list(self.local.entries_by_domain.values())

    def operator(self, entry: EntryNode) -> OperatorClient:
        """Return a client of an entry's operator port."""
        url = f'http://127.0.0.1:{entry.operators_port}'
        return OperatorClient(self.session, url, LOCAL_TOKEN)

    async def stream(self, entry: EntryNode, tokens: int) -> bytes:
        """Return the whole body of a streamed answer."""
        response = await self._post(entry, tokens, is_streamed=True)
        return await response.read()

    async def complete(
        self,
        entry: EntryNode,
        tokens: int,
    ) -> aiohttp.ClientResponse:
        """Return the answer to a request that is not streamed."""
        response = await self._post(entry, tokens, is_streamed=False)
        await response.read()
        return response

    async def until_in_flight(self, entry: EntryNode, count: int) -> None:
        """Wait until an entry has ``count`` or more in-flight requests."""
        while entry.drain.in_flight < count:
            await asyncio.sleep(POLL_S)

    async def until_serving(self, count: int = GROUPS) -> None:
        """Wait until every entry can send to ``count`` or more groups."""
        while min(map(_serving, self.entries)) < count:
            await asyncio.sleep(POLL_S)

    async def _post(
        self,
        entry: EntryNode,
        tokens: int,
        *,
        is_streamed: bool,
    ) -> aiohttp.ClientResponse:
        return await self.session.post(
            f'http://127.0.0.1:{entry.callers_port}/v1/completions',
            json={
                'model': 'ledger',
                'prompt': 'batch of the north kiln',
                'stream': is_streamed,
                'max_tokens': tokens,
            },
            headers={'Authorization': f'Bearer {DEMO_KEY}'},
        )


def _serving(entry: EntryNode) -> int:
    return sum(
        entry.evidence.book.is_serving(group)
        for group in entry.directory.by_id.values()
    )


@asynccontextmanager
async def running_site() -> AsyncIterator[LocalSite]:
    """Run a site with the example configuration; wait until it serves."""
    local = Local()
    await local.start()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        site = LocalSite(local, session)
        path = '/v1/config?base=0&submission=s1'
        operator = site.operator(site.entries[0])
        await operator.post(path, EXAMPLE.read_bytes())
        await site.until_serving()
        yield site
    await local.stop()
