"""Batches the writes to many key rows into few transactions."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..errors import RudderError
from ..process.metrics import Metrics
from ..process.platform import (
    Condition,
    Conflict,
    JsonObject,
    OutcomeUnknown,
    PlatformClient,
    Transaction,
    Write,
)

BATCH_WINDOW_S = 0.1
MAX_BATCH_ROWS = 100


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A write to one row.

    Explanation
    ===========
    ``fields`` of ``None`` remove the row. ``revision`` is the revision that
    the row must have, 0 for an absent row; ``None`` sets no condition.
    """

    key: str
    fields: JsonObject | None
    revision: int | None = None


@dataclass(frozen=True, slots=True)
class _QueuedWrite:
    write: RowWrite
    done: 'asyncio.Future[None]'


@dataclass(slots=True)
class BatchWriter:
    """Commits writes to single rows in shared transactions.

    Explanation
    ===========
    A write waits up to ``gather_s`` seconds for others. Rows in one
    transaction are independent: if the condition on one row does not hold,
    the other rows are written by another transaction. This is safe because
    the failed transaction had no effect.
    """

    platform: PlatformClient
    metrics: Metrics
    gather_s: float = BATCH_WINDOW_S
    max_rows: int = MAX_BATCH_ROWS
    _queue: list[_QueuedWrite] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _timer: asyncio.TimerHandle | None = None

    async def write(self, write: RowWrite) -> None:
        """Write one row, and return once its transaction is committed.

        Raises
        ======
        Conflict
            The row has another revision and was not written.
        PlatformUnavailable
            The row was not written.
        OutcomeUnknown
            The row may have been written.
        """
        loop = asyncio.get_running_loop()
        queued = _QueuedWrite(write, loop.create_future())
        self._queue.append(queued)
        if len(self._queue) >= self.max_rows:
            self._flush()
        elif self._timer is None:
            self._timer = loop.call_later(self.gather_s, self._flush)
        await queued.done

    @property
    def queued_count(self) -> int:
        """Return how many writes wait for a transaction."""
        return len(self._queue)

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batch = tuple(self._queue)
        self._queue.clear()
        task = asyncio.create_task(self._commit(batch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _commit(self, batch: Sequence[_QueuedWrite]) -> None:
        while batch:
            try:
                await self._commit_once(batch)
            except Conflict:
                batch = await self._drop_conflicting(batch)
            except RudderError as error:
                _fail(batch, error)
                return
            except Exception as fault:
                # An unexpected exception must not leave any caller waiting.
                _fail(
                    batch,
                    OutcomeUnknown(
                        f'unexpected error during the commit: {fault!r}'
                    ),
                )
                return
            else:
                _succeed(batch)
                return

    async def _commit_once(self, batch: Sequence[_QueuedWrite]) -> None:
        self.metrics.count('key_transactions')
        self.metrics.count('key_rows', len(batch))
        writes = [queued.write for queued in batch]
        await self.platform.commit(
            Transaction(
                conditions=[
                    Condition(write.key, write.revision)
                    for write in writes
                    if write.revision is not None
                ],
                writes=[Write(write.key, write.fields) for write in writes],
            ),
        )

    async def _drop_conflicting(
        self,
        batch: Sequence[_QueuedWrite],
    ) -> Sequence[_QueuedWrite]:
        # The transaction had no effect, so each row can be checked and
        # failed on its own.
        check_results = await asyncio.gather(
            *(self._check_revision(queued.write) for queued in batch),
            return_exceptions=True,
        )
        remaining = []
        for queued, result in zip(batch, check_results, strict=True):
            if isinstance(result, RudderError):
                _fail((queued,), result)
            elif isinstance(result, BaseException):
                raise result
            else:
                remaining.append(queued)
        return remaining

    async def _check_revision(self, write: RowWrite) -> None:
        if write.revision is None:
            return
        row = await self.platform.read(write.key)
        revision = 0 if row is None else row.revision
        if revision != write.revision:
            raise Conflict(
                f'{write.key}: got revision {revision}: expected '
                f'{write.revision}',
            )


def _fail(batch: Sequence[_QueuedWrite], error: RudderError) -> None:
    for queued in batch:
        if not queued.done.done():
            queued.done.set_exception(error)


def _succeed(batch: Sequence[_QueuedWrite]) -> None:
    for queued in batch:
        if not queued.done.done():
            queued.done.set_result(None)
