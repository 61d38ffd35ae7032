"""Rows and change history of the platform store's stand-in."""

import asyncio
import base64
from collections.abc import Mapping
from dataclasses import dataclass, field

import orjson

Json = Mapping[str, object]
RowId = tuple[str, str]


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A version of a row; ``value`` is ``None`` for a removal."""

    table: str
    key: str
    value: str | None
    revision: int

    def to_response(self) -> Json:
        """Return the row in the form of the protocol's responses."""
        row_id_fields = {'Table': self.table, 'part': '', 'Key': self.key}
        if self.value is None:
            return {
                **row_id_fields,
                'Deleted': True,
                'RowVersion': self.revision,
            }
        return {
            **row_id_fields,
            'Value': self.value,
            'RowVersion': self.revision,
        }


@dataclass(frozen=True, slots=True)
class RowsCopy:
    """A backup copy of all rows as of one revision."""

    rows_by_id: Mapping[RowId, StoredRow]
    revision: int

    def without(self, table: str) -> 'RowsCopy':
        """Return a copy from before a table's rows were written."""
        rows_by_id = {
            row_id: row
            for row_id, row in self.rows_by_id.items()
            if row_id[0] != table
        }
        return RowsCopy(rows_by_id, self.revision)

    def keys_of(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return [key for row_table, key in self.rows_by_id if row_table == table]


@dataclass(slots=True)
class TableRows:
    """All rows by table and key, and the history of their changes.

    Parameters
    ==========
    era : int
        Rises by one each time that the rows come back from a copy.
    """

    rows_by_id: dict[RowId, StoredRow] = field(default_factory=dict)
    history: list[StoredRow] = field(default_factory=list)
    revision: int = 0
    truncated_revision: int = 0
    era: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, table: str, key: str, fields: Json) -> None:
        """Write a row with JSON content."""
        self.put_raw(table, key, orjson.dumps(fields))

    def put_raw(self, table: str, key: str, raw_value: bytes) -> None:
        """Write a row with any bytes, for example invalid JSON."""
        self.revision += 1
        self._store(table, key, base64.b64encode(raw_value).decode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.revision += 1
        self._store(table, key, None)

    def copy(self) -> RowsCopy:
        """Return a copy of all rows, to come back from later."""
        return RowsCopy(dict(self.rows_by_id), self.revision)

    def restore(self, rows_copy: RowsCopy) -> None:
        """Come back from a copy; revisions after it are given out again."""
        self.rows_by_id = dict(rows_copy.rows_by_id)
        self.revision = rows_copy.revision
        self.era += 1
        self.truncate_history()
        self._notify_waiters()

    def truncate_history(self) -> None:
        """Drop the history; readers of older changes must read all rows."""
        self.history.clear()
        self.truncated_revision = self.revision

    def fields(self, table: str, key: str) -> Json | None:
        """Return a row's content, or ``None`` if there is no such row."""
        row = self.rows_by_id.get((table, key))
        if row is None or row.value is None:
            return None
        fields: Json = orjson.loads(base64.b64decode(row.value))
        return fields

    def conflicts(self, transaction: Json) -> list[Json] | None:
        """Return the conditions' rows, or ``None`` if all conditions hold."""
        expected = _entries(transaction, 'ExpectedRev')
        rows = [
            self.rows_by_id.get(_row_id(condition)) for condition in expected
        ]
        revisions = [row.revision if row else 0 for row in rows]
        if revisions == [condition['RowVersion'] for condition in expected]:
            return None
        return [row.to_response() for row in rows if row]

    def apply(self, transaction: Json) -> None:
        """Apply a transaction without checking its conditions."""
        self.revision += 1
        for put in _entries(transaction, 'Puts'):
            self._store(*_row_id(put), str(put['Value']))
        for removed in _entries(transaction, 'Remove'):
            self._store(*_row_id(removed), None)

    async def changes(
        self,
        table: str,
        since: int,
        wait_s: float,
    ) -> list[StoredRow]:
        """Return the changes after a revision.

        Explanation
        ===========
        Without a change it waits up to ``wait_s`` seconds for the first.
        """
        try:
            async with asyncio.timeout(wait_s):
                await self._wait_for_change(table, since)
        except TimeoutError:
            return []
        return self._changes_since(table, since)

    async def _wait_for_change(self, table: str, since: int) -> None:
        era = self.era
        while era == self.era and not self._changes_since(table, since):
            await self._changed.wait()

    def _changes_since(self, table: str, since: int) -> list[StoredRow]:
        return [
            row
            for row in self.history
            if row.table == table and row.revision > since
        ]

    def _store(self, table: str, key: str, value: str | None) -> None:
        row = StoredRow(table, key, value, self.revision)
        if value is None:
            self.rows_by_id.pop((table, key), None)
        else:
            self.rows_by_id[table, key] = row
        self.history.append(row)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _entries(transaction: Json, name: str) -> list[Json]:
    entries = transaction.get(name)
    return entries if isinstance(entries, list) else []


def _row_id(entry: Json) -> RowId:
    return str(entry['Table']), str(entry['Key'])
