"""A model of the platform's store, for sites in virtual time."""

import asyncio
import random
from dataclasses import dataclass, field

from ..process.platform import PlatformUnavailable, Row
from ..process.tablepages import (
    Change,
    ChangePage,
    HistoryLost,
    StoreVersion,
    TablePage,
)
from ..standins.tablerows import TableRows

STORE_CALL_S = (0.005, 0.15)
# Share of the calls that fail while the store is unstable.
UNSTABLE_SHARE = 0.6


@dataclass(slots=True)
class ModelStore:
    """The platform's store as a VM reads it."""

    rng: random.Random
    rows: TableRows = field(default_factory=TableRows)
    is_unstable: bool = False

    async def read_table(self, table: str) -> TablePage:
        """Return all rows."""
        await self._call()
        rows = tuple(
            Row(
                f'{table}/{key}',
                row.revision,
                self.rows.fields(table, key) or {},
            )
            for (of, key), row in self.rows.rows_by_id.items()
            if of == table
        )
        return TablePage(rows, self.rows.revision, self.rows.era)

    async def changes(
        self, table: str, since: StoreVersion, wait_s: float
    ) -> ChangePage:
        """Return the changes after a version."""
        await self._call()
        rows = self.rows
        if not rows.truncated_revision <= since.revision <= rows.revision:
            raise HistoryLost('the history is gone')
        changed = await rows.changes(table, since.revision, wait_s)
        revision, era = rows.revision, rows.era
        await asyncio.sleep(self.rng.uniform(*STORE_CALL_S))
        changes = [
            Change(f'{table}/{row.key}', None)
            if row.value is None
            else Change(
                f'{table}/{row.key}',
                Row(f'{table}/{row.key}', row.revision, {'Version': 1}),
            )
            for row in changed
        ]
        return ChangePage(changes, revision, era=era)

    async def _call(self) -> None:
        await asyncio.sleep(self.rng.uniform(*STORE_CALL_S))
        if self.is_unstable and self.rng.random() < UNSTABLE_SHARE:
            raise PlatformUnavailable('the store is unstable')


@dataclass(slots=True)
class CutStore:
    """The store as a VM sees it that may lose its links."""

    store: ModelStore
    is_cut: bool = False

    async def read_table(self, table: str) -> TablePage:
        """Return all rows."""
        self._check()
        return await self.store.read_table(table)

    async def changes(
        self, table: str, since: StoreVersion, wait_s: float
    ) -> ChangePage:
        """Return the changes after a version."""
        self._check()
        page = await self.store.changes(table, since, wait_s)
        self._check()
        return page

    def _check(self) -> None:
        if self.is_cut:
            raise PlatformUnavailable('no link to the store')
