"""A copy of one of the store's tables that follows its changes."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import RudderError
from .clock import Clock
from .decisions import DecisionLog
from .platform import PlatformUnavailable, Row

# What the platform gives lapsed entries to come back after an outage.
RETURN_GRACE_S = 2.2
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5
LEAST_WAIT_S = 0.05


class HistoryLost(RudderError):
    """The store no longer knows the changes since a version."""

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
    """Changes in order, and the version to go on from.

    Parameters
    ==========
    count : int or None
        Rows of the whole table, where the source tells.
    """

    changes: Sequence[Change]
    revision: int
    count: int | None = None


class TableSource(Protocol):
    """What a follower asks of the store."""

    async def read_table(self, table: str) -> TablePage:
        """Return all rows."""

    async def changes(
        self,
        table: str,
        since: int,
        wait_s: float,
    ) -> ChangePage:
        """Return the changes after a version."""


Listener = Callable[[], None]


@dataclass(slots=True)
class TableFollower:
    """Keeps ``rows_by_key`` like the store's table.

    Explanation
    ===========
    While the store is away the last known rows stay. Entries that lapsed
    meanwhile are kept for ``RETURN_GRACE_S`` after the return, the time in
    which a living writer puts its entry back.

    Parameters
    ==========
    wait_s : float
        How long one call may wait for a change.
    pause_s : Callable
        Seconds to wait after an answer, so that changes gather.
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
    revision: int = 0
    removed_at_by_key: dict[str, int] = field(default_factory=dict)
    _must_read: bool = True
    _grace_until: float = 0
    _lapsed: set[str] = field(default_factory=set)
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
        """Wait until there are changes after a version, or the time is over."""
        try:
            async with asyncio.timeout(wait_s):
                while self._is_unchanged(revision):
                    await self._changed.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause = FIRST_PAUSE_S
        while True:
            try:
                await self._step()
            except HistoryLost:
                self.is_reachable = True
                self._must_read = True
                continue
            except PlatformUnavailable as error:
                self._note_loss(error)
                await asyncio.sleep(pause)
                pause = min(pause * 2, LONGEST_PAUSE_S)
                continue
            pause = FIRST_PAUSE_S
            await self._rest()

    async def _step(self) -> None:
        if self._must_read or not self.is_reachable:
            page = await self.source.read_table(self.table)
            self._note_return()
            self._replace(page)
        else:
            wait_s = self._wait_s()
            found = await self.source.changes(self.table, self.revision, wait_s)
            self._apply(found)
        self.confirmed_at = self.clock.monotonic()
        self._drop_lapsed()

    def _wait_s(self) -> float:
        if not self._lapsed:
            return self.wait_s
        left = self._grace_until - self.clock.monotonic()
        return min(self.wait_s, max(left, LEAST_WAIT_S))

    async def _rest(self) -> None:
        pause = self.pause_s()
        if pause:
            await asyncio.sleep(pause)

    def _note_loss(self, error: PlatformUnavailable) -> None:
        if self.is_reachable or not self.is_loaded:
            self.log.note('store_lost', table=self.table, reason=str(error))
        self.is_reachable = False

    def _note_return(self) -> None:
        if self.is_reachable:
            return
        if self.is_loaded:
            self._grace_until = self.clock.monotonic() + RETURN_GRACE_S
        self.is_reachable = True
        self.log.note('store_reached', table=self.table)

    def _replace(self, page: TablePage) -> None:
        fresh = {row.key: row for row in page.rows}
        missing = set(self.rows_by_key) - set(fresh)
        changed = fresh != self.rows_by_key
        self.rows_by_key.update(fresh)
        for key in missing:
            self._remove(key)
        self._must_read = False
        self._lapsed -= set(fresh)
        self.revision = max(page.revision, self.revision)
        if changed or not self.is_loaded:
            self.is_loaded = True
            self._tell()

    def _apply(self, found: ChangePage) -> None:
        for change in found.changes:
            if change.row is None:
                self._remove(change.key)
            else:
                self._lapsed.discard(change.key)
                self.rows_by_key[change.key] = change.row
        self.revision = max(found.revision, self.revision)
        if found.changes:
            self._tell()
        if found.count not in {None, len(self.rows_by_key)}:
            # Something was missed; the whole table is read next.
            self._must_read = True

    def _remove(self, key: str) -> None:
        if self.clock.monotonic() < self._grace_until:
            self._lapsed.add(key)
        elif self.rows_by_key.pop(key, None) is not None:
            self.removed_at_by_key[key] = self.revision + 1

    def _drop_lapsed(self) -> None:
        if not self._lapsed or self.clock.monotonic() < self._grace_until:
            return
        for key in self._lapsed:
            self.rows_by_key.pop(key, None)
            self.removed_at_by_key[key] = self.revision + 1
        self._lapsed.clear()
        self._tell()

    def _is_unchanged(self, revision: int) -> bool:
        if revision >= self.revision:
            return True
        return not self.removed_since(revision) and not any(
            row.revision > revision for row in self.rows_by_key.values()
        )

    def _tell(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        for listener in self.listeners:
            listener()
