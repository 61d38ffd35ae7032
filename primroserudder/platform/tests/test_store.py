"""Calls to the store, including lost, missing and unreadable responses."""

import asyncio
from unittest import mock

import pytest
from aiohttp import BaseConnector

from ...process.platform import (
    CallRefused,
    Condition,
    Conflict,
    OutcomeUnknown,
    PlatformUnavailable,
    Transaction,
    Write,
)
from ...process.tablepages import HistoryLost, StoreVersion
from ...testing.platformstore import store_with_standin
from .. import store as store_module
from ..store import PlatformStore

ROW = Write('things/one', {'text': 'first'})
LONG = {'text': 'x' * 60_000}
LONG_NAME = 'x' * 201


async def test_committed_row_can_be_read() -> None:
    async with store_with_standin() as (_, store):
        await store.commit(Transaction((), (ROW,)))
        row = await store.read('things/one')
        assert row is not None
        assert row.fields == ROW.fields
        assert await store.read('things/on') is None


async def test_failed_condition_writes_nothing() -> None:
    async with store_with_standin() as (_, store):
        await store.commit(Transaction((), (ROW,)))
        absent = Condition('things/one', 0)
        other = Write('things/two', {})
        with pytest.raises(Conflict):
            await store.commit(Transaction((absent,), (other,)))
        assert await store.read('things/two') is None


async def test_lost_response_to_a_write_raises_outcome_unknown() -> None:
    async with store_with_standin() as (standin, store):
        standin.faults.loses_answers = True
        with pytest.raises(OutcomeUnknown):
            await store.commit(Transaction((), (ROW,)))
        standin.faults.loses_answers = False
        assert await store.read('things/one') is not None


async def test_read_from_a_store_that_is_down_raises_unavailable() -> None:
    async with store_with_standin() as (standin, store):
        standin.faults.is_down = True
        with pytest.raises(PlatformUnavailable):
            await store.read('things/one')


async def test_write_to_an_unreachable_store_raises_unavailable() -> None:
    store = PlatformStore('127.0.0.1:1')
    with pytest.raises(PlatformUnavailable):
        await store.commit(Transaction((), (ROW,)))
    await store.close()


async def test_long_table_is_read_completely() -> None:
    async with store_with_standin() as (standin, store):
        for number in range(1201):
            standin.rows.put('long', format(number, '05'), {'number': number})
        page = await store.read_table('long')
        assert [row.fields['number'] for row in page.rows] == list(range(1201))


async def test_feed_returns_changes_and_removals_in_order() -> None:
    async with store_with_standin() as (standin, store):
        table = await store.read_table('things')
        standin.rows.put('things', 'one', {'number': 1})
        standin.rows.remove('things', 'one')
        page = await store.changes('things', table.version, 1)
        assert [change.row is None for change in page.changes] == [False, True]
        later = await store.changes('things', page.version, 0.05)
        assert not later.changes


async def test_feed_after_dropped_history_raises_history_lost() -> None:
    async with store_with_standin() as (standin, store):
        standin.rows.put('things', 'one', {})
        standin.rows.put('things', 'two', {})
        standin.rows.truncate_history()
        with pytest.raises(HistoryLost):
            await store.changes('things', StoreVersion(0, 1), 0.05)


async def test_changes_that_are_longer_than_a_page_are_not_read() -> None:
    """Else versions that come fast are read one by one, and ever later."""
    async with store_with_standin() as (standin, store):
        since = (await store.read_table('things')).version
        for number in range(12):
            standin.rows.put('things', 'one', {'n': number, 'a': 'x' * 90_000})
        with pytest.raises(HistoryLost):
            await store.changes('things', since, 1)
        page = await store.read_table('things')
        assert [row.fields['n'] for row in page.rows] == [11]
        assert not (await store.changes('things', page.version, 0.05)).changes


async def test_unreadable_value_gives_a_row_without_fields() -> None:
    async with store_with_standin() as (standin, store):
        standin.rows.put_raw('things', 'one', b'\xff\x00')
        row = await store.read('things/one')
        assert row is not None
        assert not row.fields


async def test_call_without_an_answer_takes_no_idle_connection_after_it() -> (
    None
):
    """All connections to the store may go silent at once, without a reset."""
    async with store_with_standin() as (standin, store):
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


@pytest.mark.parametrize(
    'writes',
    [
        [Write(f'things/{number}', {}) for number in range(101)],
        [Write(f'things/{number}', LONG) for number in range(20)],
        [Write('things/one', {'a': 'x' * 70_000})],
        [Write(f'things/{LONG_NAME}', {})],
        [Write('op/config', {})],
    ],
    ids=['entries', 'bytes', 'row', 'name', 'table'],
)
@pytest.mark.parametrize('is_checked_here', [True, False])
async def test_call_over_a_limit_is_no_passing_trouble(
    writes: list[Write], is_checked_here: bool
) -> None:
    """Else its sender repeats it for ever."""
    async with store_with_standin() as (standin, store):
        unchecked = mock.patch.object(store_module, 'check_limits')
        if not is_checked_here:
            unchecked.start()
        with pytest.raises(CallRefused):
            await store.commit(Transaction((), writes))
        mock.patch.stopall()
        assert not standin.rows.rows_by_id


@pytest.mark.parametrize('status', [500, 502, 504])
async def test_failure_that_tells_nothing_leaves_a_write_unknown(
    status: int,
) -> None:
    with pytest.raises(OutcomeUnknown):
        store_module._check_written(status)
