"""Tables are read from a relay, and from the store if the relay fails."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest
from aiohttp import ClientSession, web

from ....platform import PlatformStore
from ....process.clock import SystemClock
from ....process.decisions import DecisionLog
from ....process.platform import PlatformUnavailable
from ....process.tablepages import ChangePage, StoreVersion, TablePage
from ....process.tables import TableFollower
from ....standins.tablestore import TableStore
from ....testing.platformsite import free_ports
from ....testing.rawpeer import floods, raw_peer
from ..relayclient import MAX_ANSWER_BYTES
from ..relayedtables import MAX_RELAYS, RelayedTableSource
from ..tablerelay import TableRelay

LONG_WAIT_S = 5.0
# The buffers of sockets and readers take bytes beyond a bound.
BUFFERED_BYTES = 6_291_456


@dataclass(slots=True)
class _RelayAndRouter:
    """A relay and a router that queries it."""

    standin: TableStore
    follower: TableFollower
    tables: RelayedTableSource
    follower_task: asyncio.Task[None]
    relay_addresses: list[str] = field(default_factory=list)
    source_changed_at: list[float] = field(default_factory=list)


async def _listen(handler: web.Server) -> tuple[web.ServerRunner, str]:
    runner = web.ServerRunner(handler, shutdown_timeout=0.01)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f'{host}:{port}'


def _dead_addresses(count: int) -> list[str]:
    return [f'127.0.0.1:{port}' for port in free_ports(count)]


def _no_pause() -> float:
    return 0


@asynccontextmanager
async def _relay_and_router(
    wait_s: float = 0.2,
) -> AsyncIterator[_RelayAndRouter]:
    standin = TableStore()
    app = web.AppRunner(standin.app(), shutdown_timeout=0.01)
    await app.setup()
    await web.TCPSite(app, '127.0.0.1', 0).start()
    host, port = app.addresses[0][:2]
    store = PlatformStore(f'{host}:{port}')
    clock = SystemClock()
    follower = TableFollower(
        store, 'things', clock, DecisionLog('vm', clock), wait_s, _no_pause
    )
    follower_task = asyncio.ensure_future(follower.run())
    source_changed_at = [float('-inf')]
    relay = TableRelay(
        {'things': follower}, clock, lambda: source_changed_at[0]
    )
    runner, address = await _listen(web.Server(relay.answer))
    relay_addresses = [address]
    async with ClientSession() as session:
        tables = RelayedTableSource(
            store,
            session,
            clock,
            DecisionLog('vm', clock),
            lambda: relay_addresses,
        )
        await asyncio.sleep(0.1)
        yield _RelayAndRouter(
            standin,
            follower,
            tables,
            follower_task,
            relay_addresses,
            source_changed_at,
        )
        follower_task.cancel()
    await runner.cleanup()
    await store.close()
    await app.cleanup()


async def test_table_and_changes_are_read_from_the_relay() -> None:
    async with _relay_and_router() as pair:
        pair.standin.rows.put('things', 'a', {'number': 1})
        await asyncio.sleep(0.1)
        table = await pair.tables.read_table('things')
        assert [row.fields for row in table.rows] == [{'number': 1}]
        pair.standin.rows.remove('things', 'a')
        page = await pair.tables.changes('things', table.version, 1)
        assert [change.row for change in page.changes] == [None]
        assert page.count == 0
        assert pair.tables.relayed_reads == 2


@dataclass(slots=True)
class _WaitingSource:
    """A store that notes for how long its callers wait for a change."""

    waits_s: list[float] = field(default_factory=list)

    async def read_table(self, table: str) -> TablePage:
        return TablePage((), 1)

    async def changes(
        self, table: str, since: StoreVersion, wait_s: float
    ) -> ChangePage:
        self.waits_s.append(wait_s)
        return ChangePage((), 1, 0)


@pytest.mark.parametrize('is_held_up', [False, True])
async def test_router_that_had_to_choose_its_source_is_soon_up_to_date(
    *, is_held_up: bool
) -> None:
    """Else it would refuse its children, who would all turn to the store."""
    clock = SystemClock()
    store = _WaitingSource()
    settled_at = clock.monotonic() + 0.3 * is_held_up
    async with ClientSession() as session:
        tables = RelayedTableSource(
            store,
            session,
            clock,
            DecisionLog('vm', clock),
            tuple,
            lambda: clock.monotonic() >= settled_at,
        )
        version = (await tables.read_table('things')).version
        for _ in range(2):
            await tables.changes('things', version, LONG_WAIT_S)
    first_s = 0 if is_held_up else LONG_WAIT_S
    assert store.waits_s == [first_s, LONG_WAIT_S]


async def test_router_whose_relay_ends_is_soon_up_to_date() -> None:
    async with _relay_and_router(LONG_WAIT_S) as pair:
        version = (await pair.tables.read_table('things')).version
        changes = asyncio.ensure_future(
            pair.tables.changes('things', version, LONG_WAIT_S)
        )
        await asyncio.sleep(0.3)
        pair.relay_addresses.clear()
        async with asyncio.timeout(1):
            await changes


async def test_relay_stays_in_use_during_long_polls() -> None:
    async with _relay_and_router(LONG_WAIT_S) as pair:
        await asyncio.sleep(3)
        await pair.tables.read_table('things')
        assert pair.tables.relayed_reads == 1


async def test_relay_that_lost_the_store_is_skipped_at_once() -> None:
    async with _relay_and_router() as pair:
        pair.standin.rows.put('things', 'a', {})
        await asyncio.sleep(0.1)
        pair.follower.is_reachable = False
        page = await pair.tables.read_table('things')
        assert len(page.rows) == 1
        assert pair.tables.relayed_reads == 0


async def test_call_to_a_relay_that_is_no_longer_live_is_abandoned() -> None:
    async with _relay_and_router(LONG_WAIT_S) as pair:
        request = asyncio.ensure_future(
            pair.tables.changes(
                'things', pair.follower.rows.version, LONG_WAIT_S
            )
        )
        await asyncio.sleep(0.05)
        pair.relay_addresses.clear()
        pair.standin.rows.put('things', 'a', {})
        page = await request
        assert [change.key for change in page.changes] == ['things/a']


async def test_table_is_never_older_than_rows_read_before() -> None:
    async with _relay_and_router() as pair:
        pair.standin.rows.put('things', 'a', {'number': 1})
        await asyncio.sleep(0.1)
        pair.follower_task.cancel()
        pair.follower.wait_s = 1000
        address = pair.relay_addresses.pop()
        pair.standin.rows.put('things', 'a', {'number': 2})
        await pair.tables.read_table('things')
        pair.relay_addresses.append(address)
        page = await pair.tables.read_table('things')
        assert [row.fields for row in page.rows] == [{'number': 2}]
        assert pair.tables.relayed_reads == 1


async def test_relay_stays_in_use_after_the_newest_row_was_removed() -> None:
    # All rows that are left are older than one that was read before.
    async with _relay_and_router() as pair:
        pair.standin.rows.put('things', 'a', {'number': 1})
        pair.standin.rows.put('things', 'b', {'number': 2})
        await asyncio.sleep(0.1)
        began_at = pair.tables.source_changed_at
        await pair.tables.read_table('things')
        pair.standin.rows.remove('things', 'b')
        await asyncio.sleep(0.1)
        page = await pair.tables.read_table('things')
        assert [row.key for row in page.rows] == ['things/a']
        assert pair.tables.source_changed_at == began_at


async def test_relay_with_a_lower_store_version_stays_in_use() -> None:
    # Changes of other tables raise the store's version too, so a lower version
    # does not mean that the relay lacks changes of this table.
    async with _relay_and_router() as pair:
        pair.standin.rows.put('things', 'a', {})
        await asyncio.sleep(0.1)
        ahead = StoreVersion(0, pair.follower.rows.version.revision + 5)
        page = await pair.tables.changes('things', ahead, 0.05)
        assert not page.changes
        assert pair.tables.relayed_reads == 1


async def test_version_known_to_peers_is_read_past_a_stale_relay() -> None:
    # The relay's connection to the store stalls without an error: the relay
    # returns nothing new but still counts itself as up to date.
    async with _relay_and_router(LONG_WAIT_S) as pair:
        pair.standin.rows.put('things', 'a', {})
        await asyncio.sleep(0.1)
        since = pair.follower.rows.version
        pair.follower.wait_s = 1000
        pair.follower_task.cancel()
        pair.standin.rows.put('things', 'b', {})
        pair.tables.note_peer_versions({'things': pair.standin.rows.revision})
        page = await pair.tables.changes('things', since, LONG_WAIT_S)
        assert [change.key for change in page.changes] == ['things/b']
        assert pair.tables.relayed_reads == 0


async def test_relay_that_becomes_stale_refuses_calls_that_wait() -> None:
    async with _relay_and_router() as pair:
        await asyncio.sleep(0.1)
        pair.follower_task.cancel()
        request = pair.tables.changes(
            'things', pair.follower.rows.version, LONG_WAIT_S
        )
        pair.standin.rows.put('things', 'a', {})
        page = await request
        assert [change.key for change in page.changes] == ['things/a']
        assert pair.tables.relayed_reads == 0


async def test_second_relay_is_queried_before_the_store() -> None:
    async with _relay_and_router() as pair:
        pair.standin.rows.put('things', 'a', {})
        await asyncio.sleep(0.1)
        pair.relay_addresses.insert(0, _dead_addresses(1)[0])
        calls = pair.standin.calls
        for _ in range(5):
            await pair.tables.read_table('things')
        assert pair.tables.relayed_reads == 5
        # The relay itself still follows the store, which can take one call.
        assert pair.standin.calls - calls <= 1


async def test_relay_that_just_switched_to_the_store_may_catch_up() -> None:
    async with _relay_and_router() as pair:
        pair.standin.rows.put('things', 'a', {})
        await asyncio.sleep(0.1)
        pair.follower.is_reachable = False
        pair.source_changed_at[0] = asyncio.get_running_loop().time()
        asyncio.get_running_loop().call_later(
            0.1, setattr, pair.follower, 'is_reachable', True
        )
        await pair.tables.read_table('things')
        assert pair.tables.relayed_reads == 1


async def test_router_with_relays_does_not_retry_a_failed_store() -> None:
    async with _relay_and_router() as pair:
        pair.standin.faults.is_down = True
        pair.follower_task.cancel()
        pair.relay_addresses.clear()
        pair.relay_addresses.extend(_dead_addresses(MAX_RELAYS))
        calls = pair.standin.calls
        for _ in range(10):
            with pytest.raises(PlatformUnavailable):
                await pair.tables.read_table('things')
        assert pair.standin.calls - calls == 1


async def test_first_router_retries_a_failed_store_at_once() -> None:
    async with _relay_and_router() as pair:
        pair.standin.faults.is_down = True
        pair.follower_task.cancel()
        pair.relay_addresses.clear()
        calls = pair.standin.calls
        for _ in range(3):
            with pytest.raises(PlatformUnavailable):
                await pair.tables.read_table('things')
        assert pair.standin.calls - calls == 3


@pytest.mark.parametrize(
    'head',
    [b'\r\n', b'Content-Length: 9999999999\r\n\r\n'],
    ids=['unframed', 'length'],
)
async def test_relay_with_an_endless_answer_is_left_for_the_store(
    head: bytes,
) -> None:
    async with _relay_and_router() as pair:
        pair.standin.rows.put('things', 'a', {'number': 1})
        await asyncio.sleep(0.1)
        start = b''.join((b'HTTP/1.1 200 OK\r\n', head))
        async with raw_peer(floods(start, b' ')) as peer:
            pair.relay_addresses.clear()
            pair.relay_addresses.append(peer.address)
            page = await pair.tables.read_table('things')
            assert [row.fields for row in page.rows] == [{'number': 1}]
            assert peer.sent_bytes < MAX_ANSWER_BYTES + BUFFERED_BYTES
            await pair.tables.read_table('things')
            assert peer.connections == 1
        assert pair.tables.relayed_reads == 0


async def test_waiting_queries_share_one_timer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A timer for each long poll woke routers at rest 40 times a second."""
    loop = asyncio.get_running_loop()
    scheduled: list[float] = []
    call_at = loop.call_at

    def counted(when: float, *args: Any, **options: Any) -> asyncio.TimerHandle:
        scheduled.append(when)
        return call_at(when, *args, **options)

    async with _relay_and_router(LONG_WAIT_S) as pair:
        table = await pair.tables.read_table('things')
        monkeypatch.setattr(loop, 'call_at', counted)
        queries = [
            pair.tables.changes('things', table.version, 1) for _ in range(8)
        ]
        await asyncio.gather(*queries)
    # Ten checks a second, and for each query the timeouts of both sides.
    assert len(scheduled) < 10 + 8 * 6


async def test_outage_of_the_store_ends_waiting_queries() -> None:
    async with _relay_and_router(LONG_WAIT_S) as pair:
        table = await pair.tables.read_table('things')
        waiting = asyncio.ensure_future(
            pair.follower.wait_for_change(table.version, LONG_WAIT_S)
        )
        await asyncio.sleep(0)
        pair.follower._note_outage(PlatformUnavailable('the store is away'))
        async with asyncio.timeout(1):
            await waiting
