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
    """Changes in order, and the version to go on from."""

    changes: Sequence[Change]
    revision: int


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
    is_known: bool = False
    is_reachable: bool = False
    confirmed_at: float = 0
    _revision: int = 0
    _grace_until: float = 0
    _lapsed: set[str] = field(default_factory=set)
    _news: asyncio.Event = field(default_factory=asyncio.Event)

    def hurry(self) -> None:
        """End a pause: news of a change came by another way."""
        self._news.set()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause = FIRST_PAUSE_S
        while True:
            try:
                await self._step()
            except HistoryLost:
                self.is_reachable = True
                self._revision = 0
                continue
            except PlatformUnavailable as error:
                self._note_loss(error)
                await asyncio.sleep(pause)
                pause = min(pause * 2, LONGEST_PAUSE_S)
                continue
            pause = FIRST_PAUSE_S
            await self._rest()

    async def _step(self) -> None:
        if not self._revision or not self.is_reachable:
            page = await self.source.read_table(self.table)
            self._note_return()
            self._replace(page)
        else:
            wait_s = self._wait_s()
            found = await self.source.changes(
                self.table, self._revision, wait_s
            )
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
        self._news.clear()
        if not pause:
            return
        try:
            async with asyncio.timeout(pause):
                await self._news.wait()
        except TimeoutError:
            return

    def _note_loss(self, error: PlatformUnavailable) -> None:
        if self.is_reachable or not self.is_known:
            self.log.note('store_lost', table=self.table, reason=str(error))
        self.is_reachable = False

    def _note_return(self) -> None:
        if self.is_reachable:
            return
        if self.is_known:
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
        self._lapsed -= set(fresh)
        self._revision = max(page.revision, 1)
        if changed or not self.is_known:
            self.is_known = True
            self._tell()

    def _apply(self, found: ChangePage) -> None:
        for change in found.changes:
            if change.row is None:
                self._remove(change.key)
            else:
                self._lapsed.discard(change.key)
                self.rows_by_key[change.key] = change.row
        self._revision = max(found.revision, self._revision)
        if found.changes:
            self._tell()

    def _remove(self, key: str) -> None:
        if self.clock.monotonic() < self._grace_until:
            self._lapsed.add(key)
        else:
            self.rows_by_key.pop(key, None)

    def _drop_lapsed(self) -> None:
        if not self._lapsed or self.clock.monotonic() < self._grace_until:
            return
        for key in self._lapsed:
            self.rows_by_key.pop(key, None)
        self._lapsed.clear()
        self._tell()

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()
