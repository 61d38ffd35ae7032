"""Tables by way of a relay, and without it once it fails."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from aiohttp import ClientSession, web

from ...platform import PlatformStore
from ...process.clock import SystemClock
from ...process.decisions import DecisionLog
from ...process.platform import PlatformUnavailable
from ...process.tables import TableFollower
from ...standins.tablestore import TableStore
from ...testing.platformsite import free_ports
from ..relayedtables import MAX_RELAYS, RelayedTableSource
from ..tablerelay import TableRelay

LONG_WAIT_S = 5.0


@dataclass(slots=True)
class _Pair:
    """A relay and a router that asks it."""

    standin: TableStore
    follower: TableFollower
    tables: RelayedTableSource
    following: asyncio.Task[None]
    relay_address: list[str] = field(default_factory=list)
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
async def _pair(wait_s: float = 0.2) -> AsyncIterator[_Pair]:
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
    following = asyncio.ensure_future(follower.run())
    source_changed_at = [float('-inf')]
    relay = TableRelay(
        {'things': follower}, clock, lambda: source_changed_at[0]
    )
    runner, address = await _listen(web.Server(relay.answer))
    known = [address]
    async with ClientSession() as session:
        tables = RelayedTableSource(
            store, session, clock, DecisionLog('vm', clock), lambda: known
        )
        await asyncio.sleep(0.1)
        yield _Pair(
            standin, follower, tables, following, known, source_changed_at
        )
        following.cancel()
    await runner.cleanup()
    await store.close()
    await app.cleanup()


async def test_table_and_changes_come_from_the_relay() -> None:
    async with _pair() as pair:
        pair.standin.rows.put('things', 'a', {'number': 1})
        await asyncio.sleep(0.1)
        page = await pair.tables.read_table('things')
        assert [row.fields for row in page.rows] == [{'number': 1}]
        pair.standin.rows.remove('things', 'a')
        found = await pair.tables.changes('things', page.revision, 1)
        assert [change.row for change in found.changes] == [None]
        assert found.count == 0
        assert pair.tables.relayed_reads == 2


async def test_calls_that_wait_long_leave_the_relay_in_use() -> None:
    async with _pair(LONG_WAIT_S) as pair:
        await asyncio.sleep(3)
        await pair.tables.read_table('things')
        assert pair.tables.relayed_reads == 1


async def test_relay_that_lost_the_store_is_left_at_once() -> None:
    async with _pair() as pair:
        pair.standin.rows.put('things', 'a', {})
        await asyncio.sleep(0.1)
        pair.follower.is_reachable = False
        page = await pair.tables.read_table('things')
        assert len(page.rows) == 1
        assert pair.tables.relayed_reads == 0


async def test_relay_that_falls_silent_is_not_waited_for() -> None:
    async with _pair(LONG_WAIT_S) as pair:
        asking = asyncio.ensure_future(
            pair.tables.changes('things', pair.follower.revision, LONG_WAIT_S)
        )
        await asyncio.sleep(0.05)
        pair.relay_address.clear()
        pair.standin.rows.put('things', 'a', {})
        found = await asking
        assert [change.key for change in found.changes] == ['things/a']


async def test_table_is_never_older_than_what_was_seen_here() -> None:
    async with _pair() as pair:
        pair.standin.rows.put('things', 'a', {'number': 1})
        await asyncio.sleep(0.1)
        pair.following.cancel()
        pair.follower.wait_s = 1000
        address = pair.relay_address.pop()
        pair.standin.rows.put('things', 'a', {'number': 2})
        await pair.tables.read_table('things')
        pair.relay_address.append(address)
        page = await pair.tables.read_table('things')
        assert [row.fields for row in page.rows] == [{'number': 2}]
        assert pair.tables.relayed_reads == 1


async def test_relay_whose_counter_is_lower_stays_in_use() -> None:
    # Other tables move the store's counter on; nothing is missed by that.
    async with _pair() as pair:
        pair.standin.rows.put('things', 'a', {})
        await asyncio.sleep(0.1)
        ahead = pair.follower.revision + 5
        found = await pair.tables.changes('things', ahead, 0.05)
        assert not found.changes
        assert pair.tables.relayed_reads == 1


async def test_version_that_others_know_is_fetched_past_a_blind_relay() -> None:
    # The relay's connection to the store fell silent: it neither fails nor
    # tells anything new, and still holds itself for current.
    async with _pair(LONG_WAIT_S) as pair:
        pair.standin.rows.put('things', 'a', {})
        await asyncio.sleep(0.1)
        since = pair.follower.revision
        pair.follower.wait_s = 1000
        pair.following.cancel()
        pair.standin.rows.put('things', 'b', {})
        pair.tables.note_peer_versions({'things': pair.standin.rows.revision})
        found = await pair.tables.changes('things', since, LONG_WAIT_S)
        assert [change.key for change in found.changes] == ['things/b']
        assert pair.tables.relayed_reads == 0


async def test_relay_gone_blind_tells_so_while_others_wait() -> None:
    async with _pair() as pair:
        await asyncio.sleep(0.1)
        pair.following.cancel()
        asking = pair.tables.changes(
            'things', pair.follower.revision, LONG_WAIT_S
        )
        pair.standin.rows.put('things', 'a', {})
        found = await asking
        assert [change.key for change in found.changes] == ['things/a']
        assert pair.tables.relayed_reads == 0


async def test_second_relay_is_asked_before_the_store() -> None:
    async with _pair() as pair:
        pair.standin.rows.put('things', 'a', {})
        await asyncio.sleep(0.1)
        pair.relay_address.insert(0, _dead_addresses(1)[0])
        calls = pair.standin.calls
        for _ in range(5):
            await pair.tables.read_table('things')
        assert pair.tables.relayed_reads == 5
        # The relay itself goes on to follow the store meanwhile.
        assert pair.standin.calls - calls <= 1


async def test_relay_that_has_just_turned_to_the_store_is_waited_for() -> None:
    async with _pair() as pair:
        pair.standin.rows.put('things', 'a', {})
        await asyncio.sleep(0.1)
        pair.follower.is_reachable = False
        pair.source_changed_at[0] = asyncio.get_running_loop().time()
        asyncio.get_running_loop().call_later(
            0.1, setattr, pair.follower, 'is_reachable', True
        )
        await pair.tables.read_table('things')
        assert pair.tables.relayed_reads == 1


async def test_router_far_down_spares_a_store_that_just_failed_it() -> None:
    async with _pair() as pair:
        pair.standin.faults.is_down = True
        pair.following.cancel()
        pair.relay_address.clear()
        pair.relay_address.extend(_dead_addresses(MAX_RELAYS))
        calls = pair.standin.calls
        for _ in range(10):
            with pytest.raises(PlatformUnavailable):
                await pair.tables.read_table('things')
        assert pair.standin.calls - calls == 1


async def test_first_router_asks_a_failed_store_again_at_once() -> None:
    async with _pair() as pair:
        pair.standin.faults.is_down = True
        pair.following.cancel()
        pair.relay_address.clear()
        calls = pair.standin.calls
        for _ in range(3):
            with pytest.raises(PlatformUnavailable):
                await pair.tables.read_table('things')
        assert pair.standin.calls - calls == 3
