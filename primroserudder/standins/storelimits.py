"""The limits of the platform's store, as its stand-in enforces them."""

import base64
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from itertools import chain

Json = Mapping[str, object]

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_NAME_BYTES = 200
MAX_ROW_BYTES = 65_536
WRITES_PER_S = 400
READS_PER_S = 2000
WINDOW_S = 1.0
READ_ONLY_TABLES = frozenset(('op', 'servers'))
ENTRY_LISTS = ('ExpectedRev', 'Puts', 'Remove')
NAME_FIELDS = ('Table', 'part', 'Key')


def refusal_of(transaction: Json, call_bytes: int) -> HTTPStatus | None:
    """Return the status that refuses a transaction, ``None`` if none does."""
    if call_bytes > MAX_CALL_BYTES:
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    entries = list(
        chain.from_iterable(_entries(transaction, name) for name in ENTRY_LISTS)
    )
    puts = _entries(transaction, 'Puts')
    is_sound = (
        len(entries) <= MAX_ENTRIES
        and all(map(_has_short_names, entries))
        and all(map(_has_short_value, puts))
    )
    if not is_sound:
        return HTTPStatus.BAD_REQUEST
    written = chain(puts, _entries(transaction, 'Remove'))
    if any(entry['Table'] in READ_ONLY_TABLES for entry in written):
        return HTTPStatus.FORBIDDEN
    return None


@dataclass(slots=True)
class CallRate:
    """Counts the calls of each second, and refuses those over a limit."""

    max_per_s: int
    _began_at: float = float('-inf')
    _count: int = 0

    def admits_call(self) -> bool:
        """Count a call; return whether it is within the limit."""
        now = time.monotonic()
        if now - self._began_at >= WINDOW_S:
            self._began_at = now
            self._count = 0
        self._count += 1
        return self._count <= self.max_per_s


def _entries(transaction: Json, name: str) -> Iterable[Json]:
    entries = transaction.get(name)
    return entries if isinstance(entries, list) else ()


def _has_short_names(entry: Json) -> bool:
    return all(
        len(str(entry.get(name, '')).encode()) <= MAX_NAME_BYTES
        for name in NAME_FIELDS
    )


def _has_short_value(put: Json) -> bool:
    return len(base64.b64decode(str(put['Value']))) <= MAX_ROW_BYTES
