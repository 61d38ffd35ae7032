"""Gathers the writes of many keys into few transactions."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..errors import RudderError
from ..process.metrics import Metrics
from ..process.platform import (
    Condition,
    Conflict,
    JsonObject,
    PlatformClient,
    Transaction,
    Write,
)

GATHER_S = 0.1
MAX_ROWS = 100


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A write to one row; ``revision`` is the one that it must have."""

    key: str
    fields: JsonObject | None
    revision: int | None = None


@dataclass(frozen=True, slots=True)
class _Waiting:
    write: RowWrite
    done: 'asyncio.Future[None]'


@dataclass(slots=True)
class BatchWriter:
    """Commits writes to single rows together.

    Explanation
    ===========
    A write waits up to ``gather_s`` for others. Rows in one transaction are
    independent: if one row's condition does not hold, the others are written
    by another transaction, which is harmless as the first had no effect.
    """

    platform: PlatformClient
    metrics: Metrics
    gather_s: float = GATHER_S
    max_rows: int = MAX_ROWS
    _waiting: list[_Waiting] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _timer: asyncio.TimerHandle | None = None

    async def write(self, write: RowWrite) -> None:
        """Write one row.

        Raises
        ======
        Conflict
            The row has another revision; it was not written.
        PlatformUnavailable
            The row was not written.
        OutcomeUnknown
            The row may have been written.
        """
        loop = asyncio.get_running_loop()
        waiting = _Waiting(write, loop.create_future())
        self._waiting.append(waiting)
        if len(self._waiting) >= self.max_rows:
            self._flush()
        elif self._timer is None:
            self._timer = loop.call_later(self.gather_s, self._flush)
        await waiting.done

    @property
    def waiting(self) -> int:
        """Return how many writes wait for their transaction."""
        return len(self._waiting)

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batch = tuple(self._waiting)
        self._waiting.clear()
        task = asyncio.create_task(self._commit(batch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _commit(self, batch: Sequence[_Waiting]) -> None:
        while batch:
            try:
                await self._commit_once(batch)
            except Conflict:
                batch = await self._without_conflicts(batch)
            except RudderError as error:
                _fail(batch, error)
                return
            else:
                _succeed(batch)
                return

    async def _commit_once(self, batch: Sequence[_Waiting]) -> None:
        self.metrics.count('key_transactions')
        self.metrics.count('key_rows', len(batch))
        writes = [waiting.write for waiting in batch]
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

    async def _without_conflicts(
        self,
        batch: Sequence[_Waiting],
    ) -> Sequence[_Waiting]:
        # The transaction had no effect, so that each row is free to fail.
        checks = await asyncio.gather(
            *(self._check(waiting.write) for waiting in batch),
            return_exceptions=True,
        )
        left = []
        for waiting, found in zip(batch, checks, strict=True):
            if isinstance(found, RudderError):
                _fail((waiting,), found)
            elif isinstance(found, BaseException):
                raise found
            else:
                left.append(waiting)
        return left

    async def _check(self, write: RowWrite) -> None:
        if write.revision is None:
            return
        row = await self.platform.read(write.key)
        revision = 0 if row is None else row.revision
        if revision != write.revision:
            raise Conflict(
                f'{write.key}: got revision {revision}: expected '
                f'{write.revision}',
            )


def _fail(batch: Sequence[_Waiting], error: RudderError) -> None:
    for waiting in batch:
        if not waiting.done.done():
            waiting.done.set_exception(error)


def _succeed(batch: Sequence[_Waiting]) -> None:
    for waiting in batch:
        if not waiting.done.done():
            waiting.done.set_result(None)
