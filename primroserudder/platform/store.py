"""The platform's store, behind the project's own interface."""

import base64
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp
import orjson

from ..process.platform import (
    Conflict,
    ObjectMissing,
    OutcomeUnknown,
    PlatformUnavailable,
    Row,
    Transaction,
    VmListing,
)
from ..process.tables import Change, ChangePage, HistoryLost, TablePage
from . import names
from .session import CALL_TIMEOUT_S, open_session

Json = Mapping[str, object]

MILLISECONDS = 1000
# A feed's answer may come this long after its own waiting time.
FEED_SLACK_S = 0.8
PAGE_ROWS = 500
_BEYOND_KEY = '\x00'


@dataclass(frozen=True, slots=True)
class _Reply:
    """An answer of the store."""

    status: int
    body: bytes


@dataclass(slots=True)
class PlatformStore:
    """Rows and objects over HTTP.

    Explanation
    ===========
    A key of the project is ``table/name``; rows lie in the empty part of
    their table, so that a transaction may touch several tables.

    Parameters
    ==========
    now_s : float or None
        The store's steady time in seconds, as of its last answer.
    """

    address: str
    session: aiohttp.ClientSession = field(default_factory=open_session)
    server_time_s: float | None = None

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def read(self, key: str) -> Row | None:
        """Return the row, or ``None`` if there is none."""
        table, name = split_key(key)
        query = {'Table': table, 'part': '', 'Source': name, 'Limit': '1'}
        found = await self._get(names.ROWS_PATH, query)
        rows = tuple(row for row in _rows(found) if row.key == key)
        return rows[0] if rows else None

    async def scan(self, prefix: str) -> Sequence[Row]:
        """Return the rows of a table, named by its prefix, by key."""
        table, _ = split_key(prefix)
        return (await self.read_table(table)).rows

    async def read_table(self, table: str) -> TablePage:
        """Return all rows of a table and the version they date from.

        Explanation
        ===========
        A long table takes several calls; the version of the first is
        returned, so that a feed from there misses no change.
        """
        query = {'Table': table, 'part': '', 'Limit': str(PAGE_ROWS)}
        page = await self._get(names.ROWS_PATH, query)
        revision = _revision(page)
        rows = list(_rows(page))
        while page.get('HasMore'):
            query['Source'] = split_key(rows[-1].key)[1] + _BEYOND_KEY
            page = await self._get(names.ROWS_PATH, query)
            rows.extend(_rows(page))
        return TablePage(tuple(rows), revision)

    async def changes(
        self,
        table: str,
        since: int,
        wait_s: float,
    ) -> ChangePage:
        """Return the changes after a version, waiting for the first.

        Raises
        ======
        HistoryLost
            The store no longer knows the changes since that version.
        """
        query = {
            'Table': table,
            'SinceRev': str(since),
            'WaitMs': str(int(wait_s * MILLISECONDS)),
        }
        found = await self._get(
            names.FEED_PATH, query, timeout_s=wait_s + FEED_SLACK_S
        )
        changes = tuple(_change(raw) for raw in _raw_rows(found))
        return ChangePage(changes, _revision(found))

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction; see ``process.platform`` for its errors."""
        body = orjson.dumps(_transaction(transaction))
        headers = {'Content-Type': 'application/json'}
        reply = await self._write('POST', names.TRANSACTION_PATH, body, headers)
        _check_written(reply.status)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object; repeating it with the same body is harmless."""
        reply = await self._write('PUT', names.PUT_OBJECT_PATH + name, body)
        _check_written(reply.status)

    async def get_object(self, name: str) -> bytes:
        """Return an object's body, or raise ``ObjectMissing``."""
        reply = await self._read(names.GET_OBJECT_PATH + name)
        if reply.status == HTTPStatus.NOT_FOUND:
            raise ObjectMissing(f'no object {name}')
        _check_read(reply.status)
        return reply.body

    async def list_vms(self) -> Sequence[VmListing]:
        """Return nothing: this platform lists engines, not VMs."""
        return ()

    async def _get(
        self,
        path: str,
        query: Mapping[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Json:
        reply = await self._read(path, query, timeout_s)
        _check_read(reply.status)
        found = _object(reply.body)
        self.server_time_s = _now_s(found) or self.server_time_s
        return found

    async def _read(
        self,
        path: str,
        query: Mapping[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Reply:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f'http://{self.address}{path}'
        try:
            async with self.session.get(
                url, params=query, timeout=timeout
            ) as answer:
                return _Reply(answer.status, await answer.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformUnavailable(f'the store: {error!r}') from error

    async def _write(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
    ) -> _Reply:
        """Send a write; without an answer nobody knows what it did."""
        url = f'http://{self.address}{path}'
        try:
            async with self.session.request(
                method, url, data=body, headers=headers
            ) as answer:
                return _Reply(answer.status, await answer.read())
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailable(f'the store: {error}') from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise OutcomeUnknown(
                f'no answer of the store to a write: {error!r}'
            ) from error


def split_key(key: str) -> tuple[str, str]:
    """Return table and name of a key.

    Examples
    ========
    >>> split_key('leases/site')
    ('leases', 'site')
    """
    table, _, name = key.partition('/')
    return table, name


def _check_read(status: int) -> None:
    if status == HTTPStatus.GONE:
        raise HistoryLost('the store dropped the changes asked for')
    if status != HTTPStatus.OK:
        raise PlatformUnavailable(f'the store answered {status}')


def _check_written(status: int) -> None:
    if status == HTTPStatus.PRECONDITION_FAILED:
        raise Conflict('a row is not as the transaction expects')
    if status != HTTPStatus.OK:
        raise PlatformUnavailable(f'the store answered {status}')


def _object(body: bytes) -> Json:
    try:
        found = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise PlatformUnavailable('the store sent no JSON') from error
    if not isinstance(found, dict):
        raise PlatformUnavailable('the store sent no JSON object')
    return found


def _raw_rows(found: Json) -> Sequence[Json]:
    rows = found.get('Rows')
    if not isinstance(rows, list):
        return ()
    return [row for row in rows if isinstance(row, dict)]


def _rows(found: Json) -> Sequence[Row]:
    return [_row(raw) for raw in _raw_rows(found)]


def _row(raw: Json) -> Row:
    key = f'{raw["Table"]}/{raw["Key"]}'
    return Row(key, int(str(raw['RowVersion'])), _fields(raw.get('Value')))


def _fields(encoded: object) -> Json:
    """Return a row's value; other writers may leave what can't be read."""
    try:
        fields = orjson.loads(base64.b64decode(str(encoded)))
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def _change(raw: Json) -> Change:
    key = f'{raw["Table"]}/{raw["Key"]}'
    if raw.get('Deleted'):
        return Change(key, None)
    return Change(key, _row(raw))


def _revision(found: Json) -> int:
    return int(str(found.get('RowVersion', 0)))


def _now_s(found: Json) -> float | None:
    """Return the store's steady time, which the name does not say."""
    now_ms = found.get('NowMs')
    return now_ms / MILLISECONDS if isinstance(now_ms, int | float) else None


def _transaction(transaction: Transaction) -> Json:
    expected = [
        {**_name(condition.key), 'RowVersion': condition.revision}
        for condition in transaction.conditions
    ]
    puts = [
        {
            **_name(write.key),
            'Value': base64.b64encode(orjson.dumps(write.fields)).decode(),
        }
        for write in transaction.writes
        if write.fields is not None
    ]
    removed = [
        _name(write.key) for write in transaction.writes if write.fields is None
    ]
    return {'ExpectedRev': expected, 'Puts': puts, 'Remove': removed}


def _name(key: str) -> Json:
    table, name = split_key(key)
    return {'Table': table, 'part': '', 'Key': name}
