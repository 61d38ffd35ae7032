"""A local copy of a store's table that follows the table's changes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from .clock import Clock
from .decisions import DecisionLog
from .followedrows import FollowedRows
from .platform import PlatformUnavailable, Row
from .tablepages import ChangePage, HistoryLost, StoreVersion, TablePage

FIRST_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.5
# A single failed call shows a lost connection. A store that is away for as long
# as entries take to lapse fails the next call as well.
FAILURES_OF_AN_OUTAGE = 2


class TableSource(Protocol):
    """The reads that a follower needs from the store."""

    async def read_table(self, table: str) -> TablePage:
        """Return all rows."""

    async def changes(
        self,
        table: str,
        since: StoreVersion,
        wait_s: float,
    ) -> ChangePage:
        """Return the changes after a version; wait up to ``wait_s`` for one."""


Listener = Callable[[], None]


@dataclass(slots=True)
class TableFollower:
    """Keeps ``rows`` equal to the store's table.

    Explanation
    ===========
    While the store is unreachable, the last known rows stay. Entries that
    lapsed meanwhile are kept until ``RETURN_GRACE_S`` after the store is
    reachable again, so that a living writer has time to write its entry
    again. Rows that are missing after a lost connection were removed.

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
    rows: FollowedRows = field(init=False)
    listeners: list[Listener] = field(default_factory=list)
    is_reachable: bool = False
    confirmed_at: float = 0
    current_since: float = 0
    _must_read_table: bool = True
    _failures: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Create the rows, of which none is known yet."""
        self.rows = FollowedRows(self.clock)

    @property
    def rows_by_key(self) -> dict[str, Row]:
        """Return the known rows by key."""
        return self.rows.by_key

    @property
    def is_loaded(self) -> bool:
        """Return whether the table was read at least once."""
        return self.rows.is_loaded

    async def wait_for_change(self, since: StoreVersion, wait_s: float) -> None:
        """Wait for a change after a version, for ``wait_s`` at most.

        Explanation
        ===========
        The wait ends early when the source becomes unreachable.
        """
        try:
            async with asyncio.timeout(wait_s):
                while self.rows.is_unchanged(since) and self.is_reachable:
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
            self._replace(await self.source.read_table(self.table))
        else:
            self._apply(
                await self.source.changes(
                    self.table,
                    self.rows.version,
                    self.rows.wait_s(self.wait_s),
                )
            )
        self.confirmed_at = self.clock.monotonic()
        if self.rows.settle():
            self._notify_listeners()

    async def _pause(self) -> None:
        pause = self.pause_s()
        if pause:
            await asyncio.sleep(pause)

    def _note_outage(self, error: PlatformUnavailable) -> None:
        if self.is_reachable or not self.is_loaded:
            self.log.note('store_lost', table=self.table, reason=str(error))
        self.is_reachable = False
        self._failures += 1
        self._wake_waiters()

    def _note_return(self) -> None:
        if self.is_reachable:
            return
        if self.is_loaded and self._failures >= FAILURES_OF_AN_OUTAGE:
            self.rows.begin_grace()
        self._failures = 0
        self.is_reachable = True
        self.current_since = self.clock.monotonic()
        self.log.note('store_reached', table=self.table)

    def _replace(self, page: TablePage) -> None:
        self._note_return()
        if self.is_loaded and page.era != self.rows.version.era:
            self._note_restore(page)
        self._must_read_table = False
        if self.rows.replace(page):
            self._notify_listeners()

    def _note_restore(self, page: TablePage) -> None:
        self.current_since = self.clock.monotonic()
        self.log.note(
            'store_restored',
            table=self.table,
            era=page.era,
            revision=page.revision,
            era_before=self.rows.version.era,
            revision_before=self.rows.version.revision,
        )

    def _apply(self, page: ChangePage) -> None:
        if page.era != self.rows.version.era:
            # The store came back from a copy: its revisions start anew.
            self._must_read_table = True
            return
        if not self.rows.apply(page):
            # A change was missed: the next step reads the whole table.
            self._must_read_table = True
        if page.changes:
            self._notify_listeners()

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _notify_listeners(self) -> None:
        self._wake_waiters()
        for listener in self.listeners:
            listener()
