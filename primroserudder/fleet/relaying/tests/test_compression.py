"""Relays compress large answers for builds that read them, and no others."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest
from aiohttp import ClientSession, web

from ....platform import PlatformStore
from ....process.clock import SystemClock
from ....process.decisions import DecisionLog
from ....process.followedrows import FollowedRows
from ....process.platform import Row
from ....process.tablepages import StoreVersion, TablePage
from ....process.tables import TableFollower
from ....testing.largeversions import large_configuration
from ..messages import PATH, TableMessage
from ..relayedtables import RelayedTableSource
from ..tablerelay import TableRelay

ROUTES = 1120
ROWS = (
    Row('op/config', 7, large_configuration(7, ROUTES)),
    Row('op/evacuate/fd-1', 6, {}),
)


@dataclass(slots=True)
class _SizeLog(DecisionLog):
    """Notes the sizes of the answers that were read."""

    sizes: list[int] = field(default_factory=list)

    def note(self, decision: str, **inputs: Any) -> None:
        self.sizes.append(inputs['bytes'])


def _no_pause() -> float:
    return 0


@asynccontextmanager
async def _relay() -> AsyncIterator[str]:
    clock = SystemClock()
    store = PlatformStore('127.0.0.1:1')
    follower = TableFollower(
        store, 'op', clock, DecisionLog('vm', clock), 60, _no_pause
    )
    follower.rows = FollowedRows(clock)
    follower.rows.replace(TablePage(ROWS, 7))
    follower.is_reachable = True
    follower.confirmed_at = clock.monotonic()
    relay = TableRelay({'op': follower}, clock, lambda: float('-inf'))
    for row in ROWS:
        relay.history.keep(0, row)
    runner = web.ServerRunner(web.Server(relay.answer), shutdown_timeout=0.01)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    yield f'{host}:{port}'
    await runner.cleanup()
    await store.close()


async def test_build_that_names_no_held_rows_gets_a_plain_table() -> None:
    async with _relay() as relay, ClientSession() as session:
        async with session.get(f'http://{relay}{PATH}/op') as answer:
            assert 'Content-Encoding' not in answer.headers
            message = TableMessage.model_validate_json(await answer.read())
    assert tuple(row.row() for row in message.rows) == ROWS


@pytest.mark.parametrize('held', ['x', '0:x', '0:1;2'])
async def test_malformed_list_of_held_rows_is_refused(held: str) -> None:
    async with _relay() as relay, ClientSession() as session:
        url = f'http://{relay}{PATH}/op'
        async with session.get(url, params={'held': held}) as answer:
            assert answer.status == 400


async def test_large_table_is_read_compressed_and_then_as_a_patch() -> None:
    async with (
        _relay() as relay,
        ClientSession(auto_decompress=False) as session,
    ):
        clock = SystemClock()
        store = PlatformStore('127.0.0.1:1')
        log = _SizeLog('vm', clock)
        tables = RelayedTableSource(store, session, clock, log, lambda: [relay])
        for _ in range(2):
            page = await tables.read_table('op')
            assert page.version == StoreVersion(0, 7)
            assert tuple(page.rows) == ROWS
        await store.close()
    assert log.sizes[0] < 60_000
    assert log.sizes[1] < 1000
