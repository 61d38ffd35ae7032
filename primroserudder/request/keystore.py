"""Records of idempotency keys in the platform's table."""

import asyncio
import enum
from collections.abc import Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

from ..errors import RudderError
from ..process.metrics import Metrics
from ..process.platform import (
    Conflict,
    OutcomeUnknown,
    PlatformClient,
    PlatformUnavailable,
    Row,
)
from .keybatch import BatchWriter, RowWrite
from .keyerrors import KeyNotChecked
from .keyrecord import KeyRecord, record_from_row, record_to_fields

CLAIM_PATIENCE_S = 3.0
RETRY_S = 0.5
RETRY_AFTER_S = 5
MAX_UNSAVED_ANSWERS = 1000
MAX_TASKS = 5000
ABSENT = 0


class _Inserted(enum.Enum):
    """What is known of one insertion."""

    YES = enum.auto()
    NO = enum.auto()
    UNKNOWN = enum.auto()


@dataclass(slots=True)
class KeyStore:
    """Claims keys, and records how their one attempt ended.

    Explanation
    ===========
    A claim is an insert-if-absent whose record carries a unique number. After
    a lost answer the row is read back until the platform tells; nothing is
    dispatched on the strength of an unknown write. Only the owner of a claim
    changes its record, so that an outcome needs no condition; a release
    removes the row on condition of its revision, as somebody else may own
    the row after a release whose answer was lost.
    """

    platform: PlatformClient
    writer: BatchWriter
    metrics: Metrics
    unsaved: int = 0
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    async def claim(self, record: KeyRecord) -> KeyRecord | None:
        """Return ``None`` if the claim is ours, else the record that stands.

        Raises
        ======
        KeyNotChecked
            The platform did not tell in time. Nobody will act on this claim.
        """
        if len(self.tasks) >= MAX_TASKS:
            raise not_checked(f'{MAX_TASKS} records wait for the platform')
        claiming: asyncio.Task[KeyRecord | None]
        claiming = self._start(self._claim(record))
        done, _ = await asyncio.wait({claiming}, timeout=CLAIM_PATIENCE_S)
        if done:
            return claiming.result()
        claiming.add_done_callback(lambda late: self._abandon(record, late))
        raise not_checked('the platform did not answer in time')

    def finish(self, record: KeyRecord) -> 'asyncio.Task[None]':
        """Record the outcome of our attempt, however long it takes."""
        if self.unsaved >= MAX_UNSAVED_ANSWERS:
            self.metrics.count('key_answers_dropped')
            record = replace(record, answer=None)
        self.unsaved += 1
        return self._start(self._finish(record))

    def release(self, record: KeyRecord) -> 'asyncio.Task[None]':
        """Give a claim back whose attempt did not run."""
        return self._start(self._release(record))

    async def look_up(self, key: str) -> KeyRecord | None:
        """Return the record of a row key."""
        row = await self.platform.read(key)
        return None if row is None else record_from_row(row)

    async def _claim(self, record: KeyRecord) -> KeyRecord | None:
        is_unknown = False
        while True:
            inserted = await self._insert(record, is_unknown=is_unknown)
            if inserted is _Inserted.YES:
                return None
            is_unknown = is_unknown or inserted is _Inserted.UNKNOWN
            row = await self._read_back(record.row_key, patient=is_unknown)
            if row is not None:
                found = record_from_row(row)
                return None if found.claim == record.claim else found

    async def _insert(
        self,
        record: KeyRecord,
        *,
        is_unknown: bool,
    ) -> '_Inserted':
        try:
            await self.writer.write(_insertion(record))
        except PlatformUnavailable as error:
            if not is_unknown:
                raise not_checked(str(error)) from error
        except OutcomeUnknown:
            return _Inserted.UNKNOWN
        except Conflict:
            self.metrics.count('key_conflicts')
            return _Inserted.NO
        else:
            return _Inserted.YES
        return _Inserted.UNKNOWN

    async def _read_back(self, key: str, *, patient: bool) -> Row | None:
        while True:
            try:
                return await self.platform.read(key)
            except PlatformUnavailable as error:
                if not patient:
                    raise not_checked(str(error)) from error
            await asyncio.sleep(RETRY_S)

    def _abandon(
        self,
        record: KeyRecord,
        late: 'asyncio.Task[KeyRecord | None]',
    ) -> None:
        if late.cancelled() or late.exception() or late.result():
            return
        # The claim was won after its request was refused: give it back.
        self.release(record)

    async def _finish(self, record: KeyRecord) -> None:
        write = RowWrite(record.row_key, record_to_fields(record))
        while not await self._is_written(write):
            await asyncio.sleep(RETRY_S)
        self.unsaved -= 1

    async def _release(self, record: KeyRecord) -> None:
        while True:
            row = await self._read_back(record.row_key, patient=True)
            if row is None or record_from_row(row).claim != record.claim:
                return
            await self._is_written(RowWrite(row.key, None, row.revision))

    async def _is_written(self, write: RowWrite) -> bool:
        try:
            await self.writer.write(write)
        except RudderError as error:
            self.metrics.count('key_write_retries', code=error.code)
            return False
        return True

    def _start(
        self,
        work: Coroutine[Any, Any, Any],
    ) -> 'asyncio.Task[Any]':
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


def not_checked(reason: str) -> KeyNotChecked:
    """Return the refusal of a request whose key could not be checked."""
    return KeyNotChecked(
        f'this attempt reached no upstream, but whether an earlier one with '
        f'the key ran is not known: {reason}',
        retry_after=RETRY_AFTER_S,
    )


def _insertion(record: KeyRecord) -> RowWrite:
    return RowWrite(record.row_key, record_to_fields(record), ABSENT)
