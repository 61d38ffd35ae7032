"""The limits of a transaction, and writes split to keep them.

Explanation
===========
The platform refuses a transaction over a limit each time that it is sent.
"""

import base64
from collections.abc import Iterable, Iterator, Sequence

import orjson

from ..process.platform import CallRefused, Condition, Transaction, Write

# Conditions and writes of a transaction together.
MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
# Bytes of a table's name, and of a row's name in its table.
MAX_NAME_BYTES = 200
MAX_ROW_BYTES = 65_536
# The names of an entry's fields and its revision, with room to spare.
ENTRY_OVERHEAD_BYTES = 120


def is_storable(write: Write) -> bool:
    """Return whether a row is within the limits of a single row.

    Examples
    ========
    >>> is_storable(Write('table/row', {}))
    True
    >>> is_storable(Write('table/' + 'x' * 201, {}))
    False
    """
    is_short = write.fields is None or (
        len(orjson.dumps(write.fields)) <= MAX_ROW_BYTES
    )
    return is_short and _has_short_names(write.key)


def split_writes(
    writes: Iterable[Write], besides: Transaction
) -> Iterator[Sequence[Write]]:
    """Yield the writes in order, in parts for one transaction each.

    Explanation
    ===========
    Writes that must take effect together are not to be split.

    Parameters
    ==========
    besides : Transaction
        The conditions and writes that each transaction has besides a part.

    Examples
    ========
    >>> rows = [Write(f'table/{number}', {}) for number in range(150)]
    >>> besides = Transaction((Condition('leases/site', 7),), ())
    >>> [len(part) for part in split_writes(rows, besides)]
    [99, 51]
    """
    part: list[Write] = []
    max_writes = MAX_ENTRIES - _count_entries(besides)
    max_bytes = MAX_TRANSACTION_BYTES - _transaction_bytes(besides)
    part_bytes = 0
    for write in writes:
        size = _write_bytes(write)
        is_full = len(part) == max_writes or part_bytes + size > max_bytes
        if part and is_full:
            yield tuple(part)
            part = []
            part_bytes = 0
        part.append(write)
        part_bytes += size
    if part:
        yield tuple(part)


def check_limits(transaction: Transaction) -> None:
    """Check a transaction before it is sent.

    Raises
    ======
    CallRefused
        The transaction or a row of it is over a limit.
    """
    entries = _count_entries(transaction)
    if entries > MAX_ENTRIES:
        raise CallRefused(
            f'a transaction of {entries} entries: expected at most '
            f'{MAX_ENTRIES}'
        )
    size = _transaction_bytes(transaction)
    if size > MAX_TRANSACTION_BYTES:
        raise CallRefused(
            f'a transaction of {size} bytes: expected at most '
            f'{MAX_TRANSACTION_BYTES}'
        )
    too_long = sum(not is_storable(write) for write in transaction.writes)
    if too_long:
        raise CallRefused(f'{too_long} rows or their names are too long')


def _count_entries(transaction: Transaction) -> int:
    return len(transaction.conditions) + len(transaction.writes)


def _transaction_bytes(transaction: Transaction) -> int:
    conditions = sum(map(_condition_bytes, transaction.conditions))
    return conditions + sum(map(_write_bytes, transaction.writes))


def _has_short_names(key: str) -> bool:
    table, _, name = key.partition('/')
    return all(len(part.encode()) <= MAX_NAME_BYTES for part in (table, name))


def _condition_bytes(condition: Condition) -> int:
    return len(orjson.dumps(condition.key)) + ENTRY_OVERHEAD_BYTES


def _write_bytes(write: Write) -> int:
    """Return the size of a write in a call, rounded up."""
    key_bytes = len(orjson.dumps(write.key)) + ENTRY_OVERHEAD_BYTES
    if write.fields is None:
        return key_bytes
    return key_bytes + len(base64.b64encode(orjson.dumps(write.fields)))
