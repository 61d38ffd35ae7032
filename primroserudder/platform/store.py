"""Client of the platform's store, behind ``PlatformClient``."""

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

MILLISECONDS_PER_SECOND = 1000
# The response to a feed call may come this long after its wait time.
FEED_SLACK_S = 0.8
PAGE_ROWS = 500
# Appended to the last key of a page, this gives the next possible key, at
# which the next page starts.
_KEY_SUCCESSOR = '\x00'


@dataclass(frozen=True, slots=True)
class _Reply:
    """Status and body of a response of the store."""

    status: int
    body: bytes


@dataclass(slots=True)
class PlatformStore:
    """Reads and writes the store's rows and objects over HTTP.

    Explanation
    ===========
    Keys have the form ``table/name``. All rows are in the part with the
    empty name, so that a transaction can cover several tables.

    Parameters
    ==========
    server_time_s : float or None
        The store's monotonic time in seconds, as of its last response.
    """

    address: str
    session: aiohttp.ClientSession = field(default_factory=open_session)
    server_time_s: float | None = None

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def read(self, key: str) -> Row | None:
        """Return the row with a key, or ``None`` if there is none."""
        table, name = split_key(key)
        query = {'Table': table, 'part': '', 'Source': name, 'Limit': '1'}
        payload = await self._get(names.ROWS_PATH, query)
        rows = tuple(row for row in _rows(payload) if row.key == key)
        return rows[0] if rows else None

    async def scan(self, prefix: str) -> Sequence[Row]:
        """Return the rows of the table that a key prefix names, by key."""
        table, _ = split_key(prefix)
        return (await self.read_table(table)).rows

    async def read_table(self, table: str) -> TablePage:
        """Return all rows of a table and the version to read changes from.

        Explanation
        ===========
        A long table takes several calls. The version of the first call is
        returned, so that a feed from this version misses no change.
        """
        query = {'Table': table, 'part': '', 'Limit': str(PAGE_ROWS)}
        page = await self._get(names.ROWS_PATH, query)
        revision = _revision(page)
        rows = list(_rows(page))
        while page.get('HasMore'):
            query['Source'] = split_key(rows[-1].key)[1] + _KEY_SUCCESSOR
            page = await self._get(names.ROWS_PATH, query)
            rows.extend(_rows(page))
        return TablePage(tuple(rows), revision)

    async def changes(
        self,
        table: str,
        since: int,
        wait_s: float,
    ) -> ChangePage:
        """Return the changes after a version; wait up to ``wait_s`` for one.

        Raises
        ======
        HistoryLost
            The store no longer has the changes since that version.
        """
        query = {
            'Table': table,
            'SinceRev': str(since),
            'WaitMs': str(int(wait_s * MILLISECONDS_PER_SECOND)),
        }
        payload = await self._get(
            names.FEED_PATH, query, timeout_s=wait_s + FEED_SLACK_S
        )
        changes = tuple(_change(raw) for raw in _raw_rows(payload))
        return ChangePage(changes, _revision(payload))

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction; see ``process.platform`` for the errors."""
        body = orjson.dumps(_transaction(transaction))
        headers = {'Content-Type': 'application/json'}
        reply = await self._write('POST', names.TRANSACTION_PATH, body, headers)
        _check_written(reply.status)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object; a retry with the same body is safe."""
        reply = await self._write('PUT', names.PUT_OBJECT_PATH + name, body)
        _check_written(reply.status)

    async def get_object(self, name: str) -> bytes:
        """Return an object's body, or raise ``ObjectMissing``."""
        reply = await self._read(names.GET_OBJECT_PATH + name)
        if reply.status == HTTPStatus.NOT_FOUND:
            raise ObjectMissing(f'the store has no object {name}')
        _check_read(reply.status)
        return reply.body

    async def list_vms(self) -> Sequence[VmListing]:
        """Return an empty list, as this platform lists engines and not VMs."""
        return ()

    async def _get(
        self,
        path: str,
        query: Mapping[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Json:
        reply = await self._read(path, query, timeout_s)
        _check_read(reply.status)
        payload = _json_object(reply.body)
        self.server_time_s = _server_time_s(payload) or self.server_time_s
        return payload

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
            raise PlatformUnavailable(
                f'the call to the store failed: {error!r}'
            ) from error

    async def _write(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
    ) -> _Reply:
        """Send a write.

        Raises
        ======
        PlatformUnavailable
            No connection was made, so the write was not applied.
        OutcomeUnknown
            There was no response, so the write may have been applied.
        """
        url = f'http://{self.address}{path}'
        try:
            async with self.session.request(
                method, url, data=body, headers=headers
            ) as answer:
                return _Reply(answer.status, await answer.read())
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailable(
                f'no connection to the store: {error}'
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise OutcomeUnknown(
                f'the store did not answer a write: {error!r}'
            ) from error


def split_key(key: str) -> tuple[str, str]:
    """Split a key into its table and name.

    Examples
    ========
    >>> split_key('leases/site')
    ('leases', 'site')
    """
    table, _, name = key.partition('/')
    return table, name


def _check_read(status: int) -> None:
    if status == HTTPStatus.GONE:
        raise HistoryLost('the store no longer has the requested changes')
    if status != HTTPStatus.OK:
        raise PlatformUnavailable(f'the store answered {status}')


def _check_written(status: int) -> None:
    if status == HTTPStatus.PRECONDITION_FAILED:
        raise Conflict('a row does not have the version that the write expects')
    if status != HTTPStatus.OK:
        raise PlatformUnavailable(f'the store answered {status}')


def _json_object(body: bytes) -> Json:
    try:
        payload = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise PlatformUnavailable(
            'the response of the store is not JSON'
        ) from error
    if not isinstance(payload, dict):
        raise PlatformUnavailable(
            'the response of the store is not a JSON object'
        )
    return payload


def _raw_rows(payload: Json) -> Sequence[Json]:
    rows = payload.get('Rows')
    if not isinstance(rows, list):
        return ()
    return [row for row in rows if isinstance(row, dict)]


def _rows(payload: Json) -> Sequence[Row]:
    return [_row(raw) for raw in _raw_rows(payload)]


def _row(raw: Json) -> Row:
    key = f'{raw["Table"]}/{raw["Key"]}'
    return Row(key, int(str(raw['RowVersion'])), _fields(raw.get('Value')))


def _fields(encoded: object) -> Json:
    """Return a row's fields; empty if another writer left invalid JSON."""
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


def _revision(payload: Json) -> int:
    return int(str(payload.get('RowVersion', 0)))


def _server_time_s(payload: Json) -> float | None:
    """Return the store's monotonic time in seconds.

    Explanation
    ===========
    ``NowMs`` is not the time of day, although its name suggests it.
    """
    now_ms = payload.get('NowMs')
    return (
        now_ms / MILLISECONDS_PER_SECOND
        if isinstance(now_ms, int | float)
        else None
    )


def _transaction(transaction: Transaction) -> Json:
    expected = [
        {**_row_address(condition.key), 'RowVersion': condition.revision}
        for condition in transaction.conditions
    ]
    puts = [
        {
            **_row_address(write.key),
            'Value': base64.b64encode(orjson.dumps(write.fields)).decode(),
        }
        for write in transaction.writes
        if write.fields is not None
    ]
    removed = [
        _row_address(write.key)
        for write in transaction.writes
        if write.fields is None
    ]
    return {'ExpectedRev': expected, 'Puts': puts, 'Remove': removed}


def _row_address(key: str) -> Json:
    table, name = split_key(key)
    return {'Table': table, 'part': '', 'Key': name}
