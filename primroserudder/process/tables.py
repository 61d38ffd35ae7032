"""A local copy of a store's table that follows the table's changes."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import RudderError
from .clock import Clock
from .decisions import DecisionLog
from .platform import PlatformUnavailable, Row

# The platform also keeps lapsed entries this long after an outage.
RETURN_GRACE_S = 2.2
FIRST_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.5
MIN_WAIT_S = 0.05


class HistoryLost(RudderError):
    """The store no longer holds all changes since a version."""

    code = 'history_lost'
    status = 503
    default_remedy = 'read the whole table again'


@dataclass(frozen=True, slots=True)
class TablePage:
    """All rows of a table as of one version."""

    rows: Sequence[Row]
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """A row's new content; ``None`` where the row was removed."""

    key: str
    row: Row | None


@dataclass(frozen=True, slots=True)
class ChangePage:
    """Changes in order, and the version to continue from.

    Parameters
    ==========
    count : int or None
        Number of rows in the table, if the source reports it.
    """

    changes: Sequence[Change]
    revision: int
    count: int | None = None


class TableSource(Protocol):
    """The reads that a follower needs from the store."""

    async def read_table(self, table: str) -> TablePage:
        """Return all rows."""

    async def changes(
        self,
        table: str,
        since: int,
        wait_s: float,
    ) -> ChangePage:
        """Return the changes after a version; wait up to ``wait_s`` for one."""


Listener = Callable[[], None]


@dataclass(slots=True)
class TableFollower:
    """Keeps ``rows_by_key`` equal to the store's table.

    Explanation
    ===========
    While the store is unreachable, the last known rows stay. Entries that
    lapsed meanwhile are kept until ``RETURN_GRACE_S`` after the store is
    reachable again, so that a living writer has time to write its entry
    again.

    Parameters
    ==========
    wait_s : float
        Longest time that one call waits for a change.
    pause_s : Callable
        Returns the seconds to wait after an answer, which batches changes.
    current_since : float
        Monotonic time since which the rows have been up to date, in seconds;
        meaningless while the store is not reachable.
    """

    source: TableSource
    table: str
    clock: Clock
    log: DecisionLog
    wait_s: float
    pause_s: Callable[[], float]
    rows_by_key: dict[str, Row] = field(default_factory=dict)
    listeners: list[Listener] = field(default_factory=list)
    is_loaded: bool = False
    is_reachable: bool = False
    confirmed_at: float = 0
    current_since: float = 0
    revision: int = 0
    removed_at_by_key: dict[str, int] = field(default_factory=dict)
    _must_read_table: bool = True
    _grace_until: float = 0
    _lapsed_keys: set[str] = field(default_factory=set)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def newest(self) -> int:
        """Return the version of the newest row, zero if there is none."""
        rows = self.rows_by_key.values()
        return max((row.revision for row in rows), default=0)

    def removed_since(self, revision: int) -> list[str]:
        """Return the keys of rows that were removed after a version."""
        return [
            key
            for key, at in self.removed_at_by_key.items()
            if at > revision and key not in self.rows_by_key
        ]

    async def wait_for_change(self, revision: int, wait_s: float) -> None:
        """Wait for a change after a version, for ``wait_s`` at most."""
        try:
            async with asyncio.timeout(wait_s):
                while self._is_unchanged(revision):
                    await self._changed.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause = FIRST_RETRY_PAUSE_S
        while True:
            try:
                await self._step()
            except HistoryLost:
                self.is_reachable = True
                self._must_read_table = True
                continue
            except PlatformUnavailable as error:
                self._note_outage(error)
                await asyncio.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_PAUSE_S)
                continue
            pause = FIRST_RETRY_PAUSE_S
            await self._pause()

    async def _step(self) -> None:
        if self._must_read_table or not self.is_reachable:
            page = await self.source.read_table(self.table)
            self._note_return()
            self._replace(page)
        else:
            wait_s = self._wait_s()
            change_page = await self.source.changes(
                self.table, self.revision, wait_s
            )
            self._apply(change_page)
        self.confirmed_at = self.clock.monotonic()
        self._drop_lapsed()

    def _wait_s(self) -> float:
        if not self._lapsed_keys:
            return self.wait_s
        remaining_s = self._grace_until - self.clock.monotonic()
        return min(self.wait_s, max(remaining_s, MIN_WAIT_S))

    async def _pause(self) -> None:
        pause = self.pause_s()
        if pause:
            await asyncio.sleep(pause)

    def _note_outage(self, error: PlatformUnavailable) -> None:
        if self.is_reachable or not self.is_loaded:
            self.log.note('store_lost', table=self.table, reason=str(error))
        self.is_reachable = False

    def _note_return(self) -> None:
        if self.is_reachable:
            return
        if self.is_loaded:
            self._grace_until = self.clock.monotonic() + RETURN_GRACE_S
        self.is_reachable = True
        self.current_since = self.clock.monotonic()
        self.log.note('store_reached', table=self.table)

    def _replace(self, page: TablePage) -> None:
        fresh = {row.key: row for row in page.rows}
        missing = set(self.rows_by_key) - set(fresh)
        changed = fresh != self.rows_by_key
        self.rows_by_key.update(fresh)
        for key in missing:
            self._remove(key)
        self._must_read_table = False
        self._lapsed_keys -= set(fresh)
        self.revision = max(page.revision, self.revision)
        if changed or not self.is_loaded:
            self.is_loaded = True
            self._notify_listeners()

    def _apply(self, page: ChangePage) -> None:
        for change in page.changes:
            if change.row is None:
                self._remove(change.key)
            else:
                self._lapsed_keys.discard(change.key)
                self.rows_by_key[change.key] = change.row
        self.revision = max(page.revision, self.revision)
        if page.changes:
            self._notify_listeners()
        if page.count not in {None, len(self.rows_by_key)}:
            # A change was missed: the next step reads the whole table.
            self._must_read_table = True

    def _remove(self, key: str) -> None:
        if self.clock.monotonic() < self._grace_until:
            self._lapsed_keys.add(key)
        elif self.rows_by_key.pop(key, None) is not None:
            self.removed_at_by_key[key] = self.revision + 1

    def _drop_lapsed(self) -> None:
        if not self._lapsed_keys or self.clock.monotonic() < self._grace_until:
            return
        for key in self._lapsed_keys:
            self.rows_by_key.pop(key, None)
            self.removed_at_by_key[key] = self.revision + 1
        self._lapsed_keys.clear()
        self._notify_listeners()

    def _is_unchanged(self, revision: int) -> bool:
        if revision >= self.revision:
            return True
        return not self.removed_since(revision) and not any(
            row.revision > revision for row in self.rows_by_key.values()
        )

    def _notify_listeners(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        for listener in self.listeners:
            listener()
