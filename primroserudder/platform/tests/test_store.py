"""Calls to the store, including lost, missing and unreadable responses."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import BaseConnector, web

from ...process.platform import (
    Condition,
    Conflict,
    OutcomeUnknown,
    PlatformUnavailable,
    Transaction,
    Write,
)
from ...process.tablepages import HistoryLost, StoreVersion
from ...standins.tablestore import TableStore
from ..store import PlatformStore

ROW = Write('things/one', {'text': 'first'})


@asynccontextmanager
async def _store_with_standin() -> AsyncIterator[
    tuple[TableStore, PlatformStore]
]:
    standin = TableStore()
    runner = web.AppRunner(standin.app(), shutdown_timeout=0.01)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    store = PlatformStore(f'{host}:{port}')
    yield standin, store
    await store.close()
    await runner.cleanup()


async def test_committed_row_can_be_read() -> None:
    async with _store_with_standin() as (_, store):
        await store.commit(Transaction((), (ROW,)))
        row = await store.read('things/one')
        assert row is not None
        assert row.fields == ROW.fields
        assert await store.read('things/on') is None


async def test_failed_condition_writes_nothing() -> None:
    async with _store_with_standin() as (_, store):
        await store.commit(Transaction((), (ROW,)))
        absent = Condition('things/one', 0)
        other = Write('things/two', {})
        with pytest.raises(Conflict):
            await store.commit(Transaction((absent,), (other,)))
        assert await store.read('things/two') is None


async def test_lost_response_to_a_write_raises_outcome_unknown() -> None:
    async with _store_with_standin() as (standin, store):
        standin.faults.loses_answers = True
        with pytest.raises(OutcomeUnknown):
            await store.commit(Transaction((), (ROW,)))
        standin.faults.loses_answers = False
        assert await store.read('things/one') is not None


async def test_read_from_a_store_that_is_down_raises_unavailable() -> None:
    async with _store_with_standin() as (standin, store):
        standin.faults.is_down = True
        with pytest.raises(PlatformUnavailable):
            await store.read('things/one')


async def test_write_to_an_unreachable_store_raises_unavailable() -> None:
    store = PlatformStore('127.0.0.1:1')
    with pytest.raises(PlatformUnavailable):
        await store.commit(Transaction((), (ROW,)))
    await store.close()


async def test_long_table_is_read_completely() -> None:
    async with _store_with_standin() as (standin, store):
        for number in range(1201):
            standin.rows.put('long', format(number, '05'), {'number': number})
        page = await store.read_table('long')
        assert [row.fields['number'] for row in page.rows] == list(range(1201))


async def test_feed_returns_changes_and_removals_in_order() -> None:
    async with _store_with_standin() as (standin, store):
        table = await store.read_table('things')
        standin.rows.put('things', 'one', {'number': 1})
        standin.rows.remove('things', 'one')
        page = await store.changes('things', table.version, 1)
        assert [change.row is None for change in page.changes] == [False, True]
        later = await store.changes('things', page.version, 0.05)
        assert not later.changes


async def test_feed_after_dropped_history_raises_history_lost() -> None:
    async with _store_with_standin() as (standin, store):
        standin.rows.put('things', 'one', {})
        standin.rows.put('things', 'two', {})
        standin.rows.truncate_history()
        with pytest.raises(HistoryLost):
            await store.changes('things', StoreVersion(0, 1), 0.05)


async def test_changes_that_are_longer_than_a_page_are_not_read() -> None:
    """Else versions that come fast are read one by one, and ever later."""
    async with _store_with_standin() as (standin, store):
        since = (await store.read_table('things')).version
        for number in range(12):
            standin.rows.put('things', 'one', {'n': number, 'a': 'x' * 90_000})
        with pytest.raises(HistoryLost):
            await store.changes('things', since, 1)
        page = await store.read_table('things')
        assert [row.fields['n'] for row in page.rows] == [11]
        assert not (await store.changes('things', page.version, 0.05)).changes


async def test_unreadable_value_gives_a_row_without_fields() -> None:
    async with _store_with_standin() as (standin, store):
        standin.rows.put_raw('things', 'one', b'\xff\x00')
        row = await store.read('things/one')
        assert row is not None
        assert not row.fields


async def test_call_without_an_answer_takes_no_idle_connection_after_it() -> (
    None
):
    """All connections to the store may go silent at once, without a reset."""
    async with _store_with_standin() as (standin, store):
        reads = (store.read('things/one') for _ in range(4))
        await asyncio.gather(*reads)
        connector = store.session.connector
        assert connector is not None
        assert len(_idle(connector)) > 1
        standin.faults.loses_answers = True
        with pytest.raises(OutcomeUnknown):
            await store.commit(Transaction((), (ROW,)))
        assert not _idle(connector)
        standin.faults.loses_answers = False
        assert await store.read('things/one') is not None


def _idle(connector: BaseConnector) -> list[object]:
    return [
        protocol
        for idle in connector._conns.values()  # noqa: SLF001
        for protocol in idle
    ]
