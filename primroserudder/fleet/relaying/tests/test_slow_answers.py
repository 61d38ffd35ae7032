"""Guards against large tables that are given up while they arrive."""

import asyncio

import orjson
import pytest
from aiohttp import ClientSession

from ....platform import PlatformStore
from ....process.clock import SystemClock
from ....process.decisions import DecisionLog
from ....process.tablepages import StoreVersion
from ....testing.trickle import trickling_server
from ..relayedtables import RelayedTableSource

# An answer takes eight such pauses, far more than it may be silent.
PAUSE_S = 0.25
WAIT_S = 0.1
SINCE = StoreVersion(0, 4)
TABLE = orjson.dumps(
    {
        'revision': 5,
        'count': 1,
        'rows': [{'key': 'op/config', 'revision': 5, 'fields': {'a': 1}}],
    }
)
STORE_ROWS = orjson.dumps(
    {
        'Rows': [
            {'Table': 'op', 'Key': 'config', 'Value': 'e30=', 'RowVersion': 5}
        ],
        'HasMore': False,
        'RowVersion': 5,
        'NowMs': 1,
    }
)


@pytest.mark.parametrize('is_whole', [True, False])
@pytest.mark.parametrize('is_newer_known', [True, False])
async def test_answer_of_a_relay_that_arrives_slowly_is_read(
    *, is_whole: bool, is_newer_known: bool
) -> None:
    clock = SystemClock()
    log = DecisionLog('vm', clock)
    async with (
        trickling_server(TABLE, PAUSE_S) as relay,
        ClientSession() as session,
    ):
        store = PlatformStore(relay.address)
        tables = RelayedTableSource(
            store, session, clock, log, lambda: [relay.address]
        )
        if is_newer_known:
            tables.note_peer_versions({'op': 5})
        if is_whole:
            version = (await tables.read_table('op')).version
        else:
            version = (await tables.changes('op', SINCE, WAIT_S)).version
        assert version == StoreVersion(0, 5)
        assert (relay.requests, relay.whole_answers) == (1, 1)
        assert tables.relayed_reads == 1
        await store.close()


@pytest.mark.parametrize('is_whole', [True, False])
async def test_answer_of_the_store_that_arrives_slowly_is_read(
    *, is_whole: bool
) -> None:
    async with trickling_server(STORE_ROWS, PAUSE_S) as server:
        store = PlatformStore(server.address)
        async with asyncio.timeout(4):
            if is_whole:
                version = (await store.read_table('op')).version
            else:
                version = (await store.changes('op', SINCE, WAIT_S)).version
        assert version == StoreVersion(0, 5)
        assert (server.requests, server.whole_answers) == (1, 1)
        await store.close()
