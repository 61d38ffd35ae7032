"""Client of the platform's store, behind ``PlatformClient``."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp
import orjson

from ..errors import RudderError
from ..httpclient import (
    CALL_TIMEOUT_S,
    close_idle_connections,
    open_session,
    read_bounded,
)
from ..process.platform import (
    CallRefused,
    Conflict,
    ObjectMissing,
    OutcomeUnknown,
    PlatformUnavailable,
    Row,
    Transaction,
    VmListing,
)
from ..process.tablepages import (
    ChangePage,
    HistoryLost,
    StoreVersion,
    TablePage,
)
from . import names
from .storeformat import (
    MILLISECONDS_PER_SECOND,
    Json,
    decode_changes,
    decode_rows,
    encode_transaction,
    json_object,
    revision_of,
    server_time_s,
    split_key,
)
from .transactionlimits import check_limits

# The response to a feed call may begin this long after its wait time.
FEED_SLACK_S = 0.8
# A response that has begun may arrive for so long, while no pause in it is
# longer than the time until its beginning.
ARRIVAL_LIMIT_S = 6.0
# A page of rows has 1 MB at most.
MAX_ANSWER_BYTES = 16_777_216
# Changes hold each content that a row had. If they are longer than a page, the
# table is read instead, which holds the last one.
MAX_CHANGES_BYTES = 1_048_576
PAGE_ROWS = 500
# The era counts restores, so a longer number is no era.
MAX_ERA_DIGITS = 18
# With these the store refuses a write that it may accept later.
_PASSING_REFUSALS = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    )
)
# Appended to the last key of a page, this gives the next possible key, at
# which the next page starts.
_KEY_SUCCESSOR = '\x00'


@dataclass(frozen=True, slots=True)
class _Reply:
    """Status and body of a response of the store, and the store's era."""

    status: int
    body: bytes
    era: int = 0


@dataclass(frozen=True, slots=True)
class _Answer:
    """The fields of a successful response, and the store's era."""

    fields: Json
    era: int


def _ignore(_table: str) -> None:
    """Do nothing as bytes arrive."""


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
    era : int
        How often the store has come back from a copy, as of its last response.
        Revisions compare only within an era.
    on_arrival : Callable
        Is told the table of which bytes arrive.
    """

    address: str
    session: aiohttp.ClientSession = field(default_factory=open_session)
    server_time_s: float | None = None
    era: int = 0
    on_arrival: Callable[[str], None] = _ignore

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def read(self, key: str) -> Row | None:
        """Return the row with a key, or ``None`` if there is none."""
        table, name = split_key(key)
        query = {'Table': table, 'part': '', 'Source': name, 'Limit': '1'}
        answer = await self._get(names.ROWS_PATH, query)
        rows = tuple(
            row for row in decode_rows(answer.fields) if row.key == key
        )
        return rows[0] if rows else None

    async def scan(self, prefix: str) -> Sequence[Row]:
        """Return the rows of the table that a key prefix names, by key."""
        table, _ = split_key(prefix)
        page = await self.read_table(table)
        return tuple(page.rows)

    async def read_table(self, table: str) -> TablePage:
        """Return all rows of a table and the version to read changes from.

        Explanation
        ===========
        A long table takes several calls. The version of the first call is
        returned, so that a feed from this version misses no change.

        Raises
        ======
        PlatformUnavailable
            The store failed, came back from a copy between the calls, or
            answered with pages that don't go on.
        """
        query = {'Table': table, 'part': '', 'Limit': str(PAGE_ROWS)}
        page = await self._get(names.ROWS_PATH, query)
        era = page.era
        revision = revision_of(page.fields)
        rows = list(decode_rows(page.fields))
        while page.fields.get('HasMore'):
            last_key = rows[-1].key if rows else ''
            query['Source'] = split_key(last_key)[1] + _KEY_SUCCESSOR
            page = await self._get(names.ROWS_PATH, query)
            rows.extend(_rows_after(last_key, page))
        if page.era != era:
            raise PlatformUnavailable(
                'the store came back from a copy while a table was read'
            )
        return TablePage(tuple(rows), revision, era)

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
            The store no longer has the changes since that version, or they
            are longer than a page of rows.
        """
        if since.era != self.era:
            raise HistoryLost('the store has come back from a copy')
        query = {
            'Table': table,
            'SinceRev': str(since.revision),
            'WaitMs': str(int(wait_s * MILLISECONDS_PER_SECOND)),
        }
        answer = await self._get(
            names.FEED_PATH,
            query,
            timeout_s=wait_s + FEED_SLACK_S,
            usual_bytes=MAX_CHANGES_BYTES,
        )
        changes = tuple(decode_changes(answer.fields))
        return ChangePage(changes, revision_of(answer.fields), era=answer.era)

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction; see ``process.platform`` for the errors."""
        check_limits(transaction)
        body = orjson.dumps(encode_transaction(transaction))
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
        usual_bytes: int = MAX_ANSWER_BYTES,
    ) -> _Answer:
        reply = await self._read(path, query, timeout_s, usual_bytes)
        _check_read(reply.status)
        if reply.era < self.era:
            raise PlatformUnavailable(
                'the store came back from a copy after this answer'
            )
        payload = json_object(reply.body)
        self.server_time_s = server_time_s(payload) or self.server_time_s
        return _Answer(payload, reply.era)

    async def _read(
        self,
        path: str,
        query: Mapping[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        usual_bytes: int = MAX_ANSWER_BYTES,
    ) -> _Reply:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s + ARRIVAL_LIMIT_S,
            sock_connect=CALL_TIMEOUT_S,
            sock_read=timeout_s,
        )
        url = f'http://{self.address}{path}'
        table = '' if query is None else query.get('Table', '')
        try:
            async with self.session.get(
                url, params=query, timeout=timeout
            ) as answer:
                return await self._reply(
                    answer, usual_bytes, lambda _: self.on_arrival(table)
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            close_idle_connections(self.session)
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
                return await self._reply(answer)
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailable(
                f'no connection to the store: {error}'
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            close_idle_connections(self.session)
            raise OutcomeUnknown(
                f'the store did not answer a write: {error!r}'
            ) from error

    async def _reply(
        self,
        answer: aiohttp.ClientResponse,
        usual_bytes: int = MAX_ANSWER_BYTES,
        on_size: Callable[[int], object] = int,
    ) -> _Reply:
        """Read a response and note the store's era, which never falls.

        Raises
        ======
        HistoryLost
            The response is sound but longer than such responses usually are.
        """
        era_text = answer.headers.get(names.STORE_ERA, '')
        is_era = era_text.isdecimal() and len(era_text) <= MAX_ERA_DIGITS
        era = int(era_text) if is_era else self.era
        self.era = max(self.era, era)
        length = answer.content_length or 0
        if usual_bytes < length <= MAX_ANSWER_BYTES:
            raise HistoryLost('the changes are longer than the table')
        body = await read_bounded(answer, MAX_ANSWER_BYTES, on_size)
        return _Reply(answer.status, body, era)


def _rows_after(last_key: str, page: _Answer) -> Sequence[Row]:
    """Return the rows of a page, which must go on after the last key."""
    rows = decode_rows(page.fields)
    if rows and rows[0].key > last_key:
        return rows
    if not rows and not page.fields.get('HasMore'):
        # The rest was removed since the page before.
        return ()
    raise PlatformUnavailable(
        'a page of the store has no rows after those of the page before'
    )


def _check_read(status: int) -> None:
    if status == HTTPStatus.GONE:
        raise HistoryLost('the store no longer has the requested changes')
    if status != HTTPStatus.OK:
        raise PlatformUnavailable(f'the store answered {status}')


def _check_written(status: int) -> None:
    """Check the status of a response to a write.

    Raises
    ======
    Conflict
        A condition did not hold.
    PlatformUnavailable
        The store refuses writes for now; a later one may be accepted.
    CallRefused
        The store refuses this write each time.
    OutcomeUnknown
        The status does not tell whether the write was applied.
    """
    if status == HTTPStatus.OK:
        return
    if status == HTTPStatus.PRECONDITION_FAILED:
        raise Conflict('a row does not have the version that the write expects')
    if status in _PASSING_REFUSALS:
        raise PlatformUnavailable(f'the store answered {status}')
    raise _lasting_failure(status)


def _lasting_failure(status: int) -> RudderError:
    if HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return CallRefused(f'the store refused a write with {status}')
    return OutcomeUnknown(f'the store answered a write with {status}')
