"""Rows and objects of the stand-in of the platform's store."""

import asyncio
import base64
from collections.abc import Mapping
from dataclasses import dataclass, field

import orjson

Json = Mapping[str, object]
Place = tuple[str, str]


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row; ``value`` is missing once it was removed."""

    table: str
    key: str
    value: str | None
    revision: int

    def wire(self) -> Json:
        """Return the row as answers carry it."""
        named = {'Table': self.table, 'part': '', 'Key': self.key}
        if self.value is None:
            return {**named, 'Deleted': True, 'RowVersion': self.revision}
        return {**named, 'Value': self.value, 'RowVersion': self.revision}


@dataclass(slots=True)
class TableRows:
    """All rows by place, and the changes that led to them."""

    rows_by_place: dict[Place, StoredRow] = field(default_factory=dict)
    history: list[StoredRow] = field(default_factory=list)
    revision: int = 0
    forgotten: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, table: str, key: str, fields: Json) -> None:
        """Write a row as the operator or an engine does."""
        self.put_raw(table, key, orjson.dumps(fields))

    def put_raw(self, table: str, key: str, octets: bytes) -> None:
        """Write a row that may be unreadable."""
        self.revision += 1
        self._store(table, key, base64.b64encode(octets).decode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.revision += 1
        self._store(table, key, None)

    def truncate_history(self) -> None:
        """Drop all changes; feeds from before must read anew."""
        self.history.clear()
        self.forgotten = self.revision

    def fields(self, table: str, key: str) -> Json | None:
        """Return a row's content."""
        row = self.rows_by_place.get((table, key))
        if row is None or row.value is None:
            return None
        found: Json = orjson.loads(base64.b64decode(row.value))
        return found

    def conflicts(self, asked: Json) -> list[Json] | None:
        """Return the rows that are not as expected, ``None`` if all are."""
        expected = _entries(asked, 'ExpectedRev')
        found = [self.rows_by_place.get(_place(one)) for one in expected]
        revisions = [row.revision if row else 0 for row in found]
        if revisions == [one['RowVersion'] for one in expected]:
            return None
        return [row.wire() for row in found if row]

    def apply(self, asked: Json) -> None:
        """Carry a transaction out."""
        self.revision += 1
        for put in _entries(asked, 'Puts'):
            self._store(*_place(put), str(put['Value']))
        for removed in _entries(asked, 'Remove'):
            self._store(*_place(removed), None)

    async def changes(
        self,
        table: str,
        since: int,
        wait_s: float,
    ) -> list[StoredRow]:
        """Return the changes after a version, waiting for the first."""
        try:
            async with asyncio.timeout(wait_s):
                await self._wait_for_change(table, since)
        except TimeoutError:
            return []
        return self._since(table, since)

    async def _wait_for_change(self, table: str, since: int) -> None:
        while not self._since(table, since):
            await self._changed.wait()

    def _since(self, table: str, since: int) -> list[StoredRow]:
        return [
            row
            for row in self.history
            if row.table == table and row.revision > since
        ]

    def _store(self, table: str, key: str, value: str | None) -> None:
        row = StoredRow(table, key, value, self.revision)
        if value is None:
            self.rows_by_place.pop((table, key), None)
        else:
            self.rows_by_place[table, key] = row
        self.history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()


def _entries(asked: Json, name: str) -> list[Json]:
    found = asked.get(name)
    return found if isinstance(found, list) else []


def _place(entry: Json) -> Place:
    return str(entry['Table']), str(entry['Key'])
