"""Decoding of the store's responses, and encoding of transactions."""

import base64
from collections.abc import Mapping, Sequence

import orjson

from ..process.platform import PlatformUnavailable, Row, Transaction
from ..process.tablepages import Change
from .nesting import is_too_deep

Json = Mapping[str, object]

MILLISECONDS_PER_SECOND = 1000


def split_key(key: str) -> tuple[str, str]:
    """Split a key into its table and name.

    Examples
    ========
    >>> split_key('leases/site')
    ('leases', 'site')
    """
    table, _, name = key.partition('/')
    return table, name


def json_object(body: bytes) -> Json:
    """Return the fields of a response.

    Raises
    ======
    PlatformUnavailable
        The response is not a JSON object.
    """
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


def decode_rows(payload: Json) -> Sequence[Row]:
    """Return the rows of a response.

    Raises
    ======
    PlatformUnavailable
        A row has no key or no version.
    """
    return [_decode_row(raw) for raw in _raw_rows(payload)]


def _decode_row(raw: Json) -> Row:
    return Row(
        _row_key(raw),
        _integer(raw.get('RowVersion')),
        _decode_fields(raw.get('Value')),
    )


def _row_key(raw: Json) -> str:
    table = raw.get('Table')
    name = raw.get('Key')
    if isinstance(table, str) and isinstance(name, str):
        return f'{table}/{name}'
    raise PlatformUnavailable('a row in the response of the store has no key')


def _integer(field: object) -> int:
    try:
        return int(str(field))
    except ValueError as error:
        raise PlatformUnavailable(
            'a version in the response of the store is no integer'
        ) from error


def _decode_fields(encoded: object) -> Json:
    """Return a row's fields; empty if another writer left what is no row."""
    try:
        fields = orjson.loads(base64.b64decode(str(encoded)))
    except ValueError:
        return {}
    is_row = isinstance(fields, dict) and not is_too_deep(fields)
    return fields if is_row else {}


def _decode_change(raw: Json) -> Change:
    if raw.get('Deleted'):
        return Change(_row_key(raw), None)
    row = _decode_row(raw)
    return Change(row.key, row)


def decode_changes(payload: Json) -> Sequence[Change]:
    """Return the changed rows of a response, in order.

    Raises
    ======
    PlatformUnavailable
        A row has no key or no version.
    """
    return [_decode_change(raw) for raw in _raw_rows(payload)]


def revision_of(payload: Json) -> int:
    """Return the store's revision as of a response.

    Raises
    ======
    PlatformUnavailable
        The revision is not an integer.
    """
    return _integer(payload.get('RowVersion', 0))


def server_time_s(payload: Json) -> float | None:
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


def encode_transaction(transaction: Transaction) -> Json:
    """Return the body of the call that applies a transaction."""
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
