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
    Coroutine,
    Iterable,
    Mapping,
    Sequence,
)
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TypeVar

from aiohttp import ClientError, ClientSession, ClientTimeout
from pydantic import ValidationError

from ..platform import read_bounded
from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.loops import cancel_on_exit
from ..process.platform import PlatformUnavailable, Row
from ..process.tablepages import Change, ChangePage, StoreVersion, TablePage
from ..process.tables import TableSource
from .relaying import ReadLog, ReadProgress
from .relaymessages import PATH, TableMessage
from .tablerelay import CATCH_UP_TIMEOUT_S

# Relays that are queried are checked at this interval.
CHECK_INTERVAL_S = 0.1
# A relay may answer this long after the requested wait time.
RELAY_TIMEOUT_SLACK_S = 0.5
# A table of some thousand rows takes a few MB.
MAX_ANSWER_BYTES = 16_777_216
# A failed relay is queried again after this time.
RELAY_RETRY_S = 2.0
# This many relays are queried before the store itself.
MAX_RELAYS = 3
# A router with relays before it retries a failed store at this interval.
STORE_RETRY_INTERVAL_S = 1.0
# A relay that does not return a version known to peers within this time is
# behind.
RELAY_LAG_LIMIT_S = 0.8

# The store as a source, in log lines.
STORE = 'store'
# Asks for the whole table.
START = StoreVersion(0, 0)

_Page = TypeVar('_Page', TablePage, ChangePage)


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class _PeerVersion:
    """A version that peers have, and when this VM first received it."""

    version: StoreVersion
    at: float


@dataclass(frozen=True, slots=True)
class _TableQuery:
    """A query to a relay.

    Parameters
    ==========
    newest : StoreVersion
        Version of the newest row that this VM has read, for a query of the
        whole table; a relay that does not have this row is behind.
    """

    table: str
    since: StoreVersion
    wait_s: float
    newest: StoreVersion = START


@dataclass(slots=True)
class _QueryWatch:
    """Cancels queries whose relay can't be used any more.

    Explanation
    ===========
    A single timer checks all running queries.

    Parameters
    ==========
    late_s : float
        How late that timer was at most, in seconds, since it was last reset.
    """

    _condition_by_task: dict[
        'asyncio.Task[TableMessage | None]', Callable[[], bool]
    ] = field(default_factory=dict)
    late_s: float = 0
    _timer: asyncio.TimerHandle | None = None

    async def wait(
        self,
        query: Coroutine[object, object, TableMessage | None],
        condition: Callable[[], bool],
    ) -> TableMessage | None:
        """Return an answer, ``None`` if the condition ceased to hold before."""
        task = asyncio.ensure_future(query)
        self._condition_by_task[task] = condition
        task.add_done_callback(self._condition_by_task.pop)
        self._schedule()
        async with cancel_on_exit(task):
            await asyncio.wait((task,))
            return None if task.cancelled() else task.result()

    def _schedule(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._note_lateness()
        self._timer = None
        for task, is_wanted in tuple(self._condition_by_task.items()):
            if not is_wanted():
                task.cancel()
        if self._condition_by_task:
            self._schedule()

    def _note_lateness(self) -> None:
        if self._timer is not None:
            now = asyncio.get_running_loop().time()
            self.late_s = max(self.late_s, now - self._timer.when())


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
    relayed_reads: int = 0
    _failed_at_by_relay: dict[str, float] = field(default_factory=dict)
    _store_failed_at: float = float('-inf')
    _peer_version_by_table: dict[str, _PeerVersion] = field(
        default_factory=dict
    )
    _newest_by_table: dict[str, StoreVersion] = field(default_factory=dict)
    _watch: _QueryWatch = field(default_factory=_QueryWatch)

    def __post_init__(self) -> None:
        """Count the start as a switch to another source."""
        self.source_changed_at = self.clock.monotonic()
        self.reads = ReadLog(self.log)

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
        message = await self._query_relays(_TableQuery(table, START, 0, newest))
        if message is None:
            progress = ReadProgress(self.clock)
            page = await self._from_store(lambda: self.store.read_table(table))
            read_rows = len(page.rows)
            self.reads.note_page(table, STORE, START, read_rows, progress)
        else:
            rows = tuple(row.row() for row in message.rows)
            page = TablePage(rows, message.revision, message.era)
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
        message = await self._query_relays(_TableQuery(table, since, wait_s))
        if message is None:
            waited_s = self.clock.monotonic() - began_at
            # Others may read from this VM, which has to be up to date again.
            left_s = 0 if waited_s >= CHECK_INTERVAL_S / 2 else wait_s
            page = await self._from_store(
                lambda: self.store.changes(table, since, left_s)
            )
        else:
            changed = [Change(row.key, row.row()) for row in message.rows]
            removed = [Change(key, None) for key in message.removed]
            page = ChangePage(
                (*removed, *changed),
                message.revision,
                message.count,
                message.era,
            )
        changed_rows = [change.row for change in page.changes if change.row]
        self._note_newest(table, page.era, changed_rows)
        return page

    def _note_newest(self, table: str, era: int, rows: Iterable[Row]) -> None:
        known = self._newest_by_table.get(table, START)
        newest = max((row.revision for row in rows), default=0)
        self._newest_by_table[table] = max(known, StoreVersion(era, newest))

    async def _query_relays(
        self, table_query: _TableQuery
    ) -> TableMessage | None:
        """Return the answer of the first relay that is up to date, if any."""
        await self._wait_until_settled()
        for relay in self._usable_relays():
            progress = ReadProgress(self.clock)
            self._watch.late_s = 0
            answer = await self._query_relay(relay, table_query, progress)
            progress.late_s = self._watch.late_s
            query = table_query
            if isinstance(answer, TableMessage):
                self.reads.note_page(
                    query.table, relay, query.since, len(answer.rows), progress
                )
                return answer
            self._mark_failed(relay)
            self.reads.note_left(
                query.table, relay, query.since, answer, progress
            )
        return None

    async def _wait_until_settled(self) -> None:
        # The first table to be read is that of the routers' addresses.
        while self._newest_by_table and not self.is_settled():
            await asyncio.sleep(CHECK_INTERVAL_S / 2)

    def _usable_relays(self) -> list[str]:
        now = self.clock.monotonic()
        usable = (
            relay
            for relay in self.relays()
            if now - self._failed_at_by_relay.get(relay, float('-inf'))
            >= RELAY_RETRY_S
        )
        return list(itertools.islice(usable, MAX_RELAYS))

    async def _query_relay(
        self,
        relay: str,
        table_query: _TableQuery,
        progress: ReadProgress,
    ) -> TableMessage | str:
        """Return a relay's answer, or the reason why it can't be used."""
        queried_at = self.clock.monotonic()
        try:
            message = await self._watch.wait(
                self._fetch(relay, table_query, progress),
                lambda: (
                    relay in self.relays()
                    and not self._is_behind(table_query, queried_at)
                ),
            )
        except (ClientError, OSError, ValidationError) as error:
            return repr(error)
        if message is None:
            return 'the relay is no longer live, behind or out of date'
        if message.version < table_query.newest:
            return 'the relay returned older rows than this VM has read'
        if message.era < table_query.since.era:
            return 'the relay has not seen that the store came back from a copy'
        return message

    def _is_behind(self, table_query: _TableQuery, queried_at: float) -> bool:
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

    async def _fetch(
        self,
        relay: str,
        table_query: _TableQuery,
        progress: ReadProgress,
    ) -> TableMessage | None:
        query = {
            'since': str(table_query.since.revision),
            'era': str(table_query.since.era),
            'wait': str(table_query.wait_s),
        }
        timeout = ClientTimeout(
            total=table_query.wait_s + RELAY_TIMEOUT_SLACK_S
        )
        async with self.session.get(
            f'http://{relay}{PATH}/{table_query.table}',
            params=query,
            timeout=timeout,
        ) as answer:
            progress.note_head()
            body = await read_bounded(answer, MAX_ANSWER_BYTES, progress.note)
            if answer.status != HTTPStatus.OK:
                return None
        self.relayed_reads += 1
        return TableMessage.model_validate_json(body)

    def _mark_failed(self, relay: str) -> None:
        now = self.clock.monotonic()
        self._failed_at_by_relay[relay] = now
        self.source_changed_at = now
