"""Stores the records of idempotency keys in the platform's table."""

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

CLAIM_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.5
RETRY_AFTER_S = 5
MAX_UNSAVED_OUTCOMES_WITH_ANSWER = 1000
MAX_TASKS = 5000
ABSENT_REVISION = 0


class _InsertResult(enum.Enum):
    """Whether a row was inserted."""

    YES = enum.auto()
    NO = enum.auto()
    UNKNOWN = enum.auto()


@dataclass(slots=True)
class KeyStore:
    """Claims keys, and records the outcome of their only attempt.

    Explanation
    ===========
    A claim is an insert-if-absent whose record carries a unique id. If the
    response to the insert is lost, the row is read until the platform
    answers; no request is dispatched while the result of the insert is
    unknown. Only the owner of a claim changes its record, so the write of an
    outcome needs no condition. A release removes the row on condition of its
    revision: if the response to an earlier release was lost, another attempt
    may own the row.
    """

    platform: PlatformClient
    writer: BatchWriter
    metrics: Metrics
    unsaved_outcomes: int = 0
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    async def claim(self, record: KeyRecord) -> KeyRecord | None:
        """Claim a key; return ``None``, or the record of an earlier claim.

        Raises
        ======
        KeyNotChecked
            The platform is unavailable or did not answer in time, or too many
            tasks wait for it. No request is dispatched under this claim.
        """
        if len(self.tasks) >= MAX_TASKS:
            raise key_not_checked_error(
                f'{MAX_TASKS} record operations already wait for the platform'
            )
        claim_task: asyncio.Task[KeyRecord | None]
        claim_task = self._start(self._claim(record))
        done, _ = await asyncio.wait({claim_task}, timeout=CLAIM_TIMEOUT_S)
        if done:
            return claim_task.result()
        claim_task.add_done_callback(lambda task: self._abandon(record, task))
        raise key_not_checked_error('the platform did not answer in time')

    def finish(self, record: KeyRecord) -> 'asyncio.Task[None]':
        """Record the outcome of this entry's attempt; retry until written.

        Explanation
        ===========
        The record is written without its answer if already
        ``MAX_UNSAVED_OUTCOMES_WITH_ANSWER`` outcomes wait to be written.
        """
        if self.unsaved_outcomes >= MAX_UNSAVED_OUTCOMES_WITH_ANSWER:
            self.metrics.count('key_answers_dropped')
            record = replace(record, answer=None)
        self.unsaved_outcomes += 1
        return self._start(self._finish(record))

    def release(self, record: KeyRecord) -> 'asyncio.Task[None]':
        """Remove the record of a claim whose attempt did not run."""
        return self._start(self._release(record))

    async def look_up(self, key: str) -> KeyRecord | None:
        """Return the record with a row key, or ``None`` if there is none.

        Raises
        ======
        PlatformUnavailable
            The platform did not answer.
        """
        row = await self.platform.read(key)
        return None if row is None else record_from_row(row)

    async def _claim(self, record: KeyRecord) -> KeyRecord | None:
        may_be_inserted = False
        while True:
            result = await self._insert(record, may_be_inserted=may_be_inserted)
            if result is _InsertResult.YES:
                return None
            may_be_inserted = may_be_inserted or result is _InsertResult.UNKNOWN
            row = await self._read_back(
                record.row_key, retry_when_unavailable=may_be_inserted
            )
            if row is not None:
                existing = record_from_row(row)
                return None if existing.claim == record.claim else existing

    async def _insert(
        self,
        record: KeyRecord,
        *,
        may_be_inserted: bool,
    ) -> '_InsertResult':
        try:
            await self.writer.write(_insert_write(record))
        except PlatformUnavailable as error:
            if not may_be_inserted:
                raise key_not_checked_error(str(error)) from error
        except OutcomeUnknown:
            return _InsertResult.UNKNOWN
        except Conflict:
            self.metrics.count('key_conflicts')
            return _InsertResult.NO
        else:
            return _InsertResult.YES
        return _InsertResult.UNKNOWN

    async def _read_back(
        self, key: str, *, retry_when_unavailable: bool
    ) -> Row | None:
        while True:
            try:
                return await self.platform.read(key)
            except PlatformUnavailable as error:
                if not retry_when_unavailable:
                    raise key_not_checked_error(str(error)) from error
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _abandon(
        self,
        record: KeyRecord,
        claim_task: 'asyncio.Task[KeyRecord | None]',
    ) -> None:
        if (
            claim_task.cancelled()
            or claim_task.exception()
            or claim_task.result()
        ):
            return
        # The claim succeeded after its request was refused: release it.
        self.release(record)

    async def _finish(self, record: KeyRecord) -> None:
        write = RowWrite(record.row_key, record_to_fields(record))
        while not await self._try_write(write):
            await asyncio.sleep(RETRY_INTERVAL_S)
        self.unsaved_outcomes -= 1

    async def _release(self, record: KeyRecord) -> None:
        while True:
            row = await self._read_back(
                record.row_key, retry_when_unavailable=True
            )
            if row is None or record_from_row(row).claim != record.claim:
                return
            await self._try_write(RowWrite(row.key, None, row.revision))

    async def _try_write(self, write: RowWrite) -> bool:
        try:
            await self.writer.write(write)
        except RudderError as error:
            self.metrics.count('key_write_retries', code=error.code)
            return False
        return True

    def _start(
        self,
        coroutine: Coroutine[Any, Any, Any],
    ) -> 'asyncio.Task[Any]':
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


def key_not_checked_error(reason: str) -> KeyNotChecked:
    """Return the error for a request whose key could not be checked."""
    return KeyNotChecked(
        f'this attempt reached no upstream, but whether an earlier attempt '
        f'with the key ran is unknown: {reason}',
        retry_after=RETRY_AFTER_S,
    )


def _insert_write(record: KeyRecord) -> RowWrite:
    return RowWrite(record.row_key, record_to_fields(record), ABSENT_REVISION)
