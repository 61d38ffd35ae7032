"""Reads the store's tables through a relay in the same failure domain.

Explanation
===========
The store accepts few calls, each call is expensive, and it refuses some VMs.
So the first router of each failure domain follows the tables and relays them
with the store's own versions; the other routers query it instead of the
store. If it fails, they query the second router, which has switched to the
store meanwhile, and only then the store itself, so that the store's extra
load after the loss of the first router does not grow with the domain. If the
store fails too, routers with ``MAX_RELAYS`` relays before them retry it only
at intervals.
"""

import asyncio
import itertools
from collections.abc import (
    Awaitable,
    Callable,
    Iterable,
    Mapping,
    Sequence,
)
from dataclasses import dataclass, field
from typing import TypeVar

from aiohttp import ClientSession

from ...process.clock import Clock
from ...process.decisions import DecisionLog
from ...process.platform import PlatformUnavailable, Row
from ...process.tablepages import (
    Change,
    ChangePage,
    StoreVersion,
    TablePage,
)
from ...process.tables import TableSource
from .avoidedrelays import ANY_TABLE, AvoidedRelays
from .progress import ReadProgress
from .querywatch import CHECK_INTERVAL_S
from .readlog import ReadLog
from .relayclient import (
    START,
    RelayAnswer,
    RelayClient,
    RelayFailure,
    TableQuery,
)
from .tablerelay import CATCH_UP_TIMEOUT_S

# This many relays are queried before the store itself.
MAX_RELAYS = 3
# A router with relays before it retries a failed store at this interval.
STORE_RETRY_INTERVAL_S = 1.0
# A relay that does not return a version known to peers within this time is
# behind.
RELAY_LAG_LIMIT_S = 0.8
# The store as a source, in log lines.
STORE = 'store'

_Page = TypeVar('_Page', TablePage, ChangePage)


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class _PeerVersion:
    """A version that peers have, and when this VM first received it."""

    version: StoreVersion
    at: float


@dataclass(slots=True)
class RelayedTableSource:
    """Reads tables from the failure domain's relays, or else from the store.

    Parameters
    ==========
    relays : Callable
        Returns the addresses of live relays in order of preference; empty
        if the store is to be queried.
    is_settled : Callable
        Returns whether ``relays`` is final; until then reads wait, so that a
        domain does not turn to the store while it chooses its next relay.
    source_changed_at : float
        Monotonic time in seconds of the last switch to another source.
    """

    store: TableSource
    session: ClientSession
    clock: Clock
    log: DecisionLog
    relays: Callable[[], Sequence[str]]
    is_settled: Callable[[], bool] = _always
    source_changed_at: float = field(init=False)
    reads: ReadLog = field(init=False)
    client: RelayClient = field(init=False)
    avoided: AvoidedRelays = field(init=False)
    _store_failed_at: float = float('-inf')
    _peer_version_by_table: dict[str, _PeerVersion] = field(
        default_factory=dict
    )
    _newest_by_table: dict[str, StoreVersion] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Count the start as a switch to another source."""
        self.source_changed_at = self.clock.monotonic()
        self.reads = ReadLog(self.log)
        self.client = RelayClient(self.session, self.clock)
        self.avoided = AvoidedRelays(self.clock)

    @property
    def relayed_reads(self) -> int:
        """Return how many reads relays have answered."""
        return self.client.answered

    async def close(self) -> None:
        """Close the connections to relays."""
        await self.session.close()

    def note_peer_versions(
        self, revisions: Mapping[str, int], era: int = 0
    ) -> None:
        """Record the revisions of tables that other VMs have in an era."""
        now = self.clock.monotonic()
        for table, revision in revisions.items():
            version = StoreVersion(era, revision)
            known = self._peer_version_by_table.get(table)
            if known is None or version > known.version:
                self._peer_version_by_table[table] = _PeerVersion(version, now)

    def newer_known_s(self, table: str, version: StoreVersion) -> float | None:
        """Return for how long peers have had a newer row than a version.

        Explanation
        ===========
        In seconds, since this VM heard of it; ``None`` if none is known.
        """
        known = self._peer_version_by_table.get(table)
        if known is None or known.version <= version:
            return None
        return self.clock.monotonic() - known.at

    async def read_table(self, table: str) -> TablePage:
        """Return all rows, never older than rows returned before.

        Raises
        ======
        PlatformUnavailable
            Neither a relay nor the store answers.
        """
        newest = self._newest_by_table.get(table, START)
        answer = await self._query_relays(TableQuery(table, START, 0, newest))
        if answer is None:
            progress = ReadProgress(self.clock)
            page = await self._from_store(lambda: self.store.read_table(table))
            page = self.client.history.keep_table(page)
            size = len(page.rows)
            self.reads.note_page(table, STORE, START, size, progress)
        else:
            version = answer.version
            page = TablePage(answer.rows, version.revision, version.era)
        self._note_newest(table, page.era, page.rows)
        return page

    async def changes(
        self,
        table: str,
        since: StoreVersion,
        wait_s: float,
    ) -> ChangePage:
        """Return the changes after a version; wait up to ``wait_s`` for one.

        Raises
        ======
        HistoryLost
            The store no longer has the changes since that version.
        PlatformUnavailable
            Neither a relay nor the store answers.
        """
        began_at = self.clock.monotonic()
        answer = await self._query_relays(TableQuery(table, since, wait_s))
        if answer is None:
            waited_s = self.clock.monotonic() - began_at
            # Others may read from this VM, which has to be up to date again.
            left_s = 0 if waited_s >= CHECK_INTERVAL_S / 2 else wait_s
            page = await self._from_store(
                lambda: self.store.changes(table, since, left_s)
            )
            page = self.client.history.keep_changes(page)
        else:
            page = _change_page(answer)
        changed_rows = [change.row for change in page.changes if change.row]
        self._note_newest(table, page.era, changed_rows)
        return page

    def _note_newest(self, table: str, era: int, rows: Iterable[Row]) -> None:
        known = self._newest_by_table.get(table, START)
        newest = max((row.revision for row in rows), default=0)
        self._newest_by_table[table] = max(known, StoreVersion(era, newest))

    async def _query_relays(self, query: TableQuery) -> RelayAnswer | None:
        """Return the answer of the first relay that is up to date, if any."""
        await self._wait_until_settled()
        usable = self.avoided.usable(self.relays(), query.table)
        for relay in itertools.islice(usable, MAX_RELAYS):
            progress = ReadProgress(self.clock)
            answer = await self._query_relay(relay, query, progress)
            table, since = query.table, query.since
            if isinstance(answer, RelayAnswer):
                size = len(answer.rows)
                self.reads.note_page(table, relay, since, size, progress)
                return answer
            self.avoided.note(relay, ANY_TABLE if answer.is_general else table)
            self.source_changed_at = self.clock.monotonic()
            self.reads.note_left(table, relay, since, answer.reason, progress)
        return None

    async def _wait_until_settled(self) -> None:
        # The first table to be read is that of the routers' addresses.
        while self._newest_by_table and not self.is_settled():
            await asyncio.sleep(CHECK_INTERVAL_S / 2)

    async def _query_relay(
        self,
        relay: str,
        query: TableQuery,
        progress: ReadProgress,
    ) -> RelayAnswer | RelayFailure:
        """Return a relay's answer, or why it can't be used."""
        queried_at = self.clock.monotonic()
        return await self.client.query(
            relay,
            query,
            progress,
            lambda: (
                relay in self.relays()
                and not self._is_behind(query, queried_at)
            ),
        )

    def _is_behind(self, table_query: TableQuery, queried_at: float) -> bool:
        """Return whether peers have had a newer version for some time."""
        peer_version = self._peer_version_by_table.get(table_query.table)
        if peer_version is None or table_query.since == START:
            return False
        if peer_version.version <= table_query.since:
            return False
        now = self.clock.monotonic()
        # A relay that this VM has only just queried gets time to catch up.
        return (
            now - peer_version.at > RELAY_LAG_LIMIT_S
            and now - queried_at > CATCH_UP_TIMEOUT_S
        )

    async def _from_store(
        self, read_page: Callable[[], Awaitable[_Page]]
    ) -> _Page:
        """Query the store itself, unless it failed very recently."""
        now = self.clock.monotonic()
        has_relays_before = len(self.relays()) >= MAX_RELAYS
        if (
            has_relays_before
            and now - self._store_failed_at < STORE_RETRY_INTERVAL_S
        ):
            raise PlatformUnavailable('neither the relays nor the store answer')
        try:
            return await read_page()
        except PlatformUnavailable:
            self._store_failed_at = self.clock.monotonic()
            raise


def _change_page(answer: RelayAnswer) -> ChangePage:
    removed = [Change(key, None) for key in answer.removed]
    changed = [Change(row.key, row) for row in answer.rows]
    version = answer.version
    return ChangePage(
        (*removed, *changed), version.revision, answer.count, version.era
    )
