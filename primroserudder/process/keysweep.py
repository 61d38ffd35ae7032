"""Removes the records of old idempotency keys.

Explanation
===========
The age of a record is counted in epochs of the table. A process advances
the epoch only after it has itself seen the number unchanged for an hour of
its own clock, so that an epoch is never shorter than that and no two clocks
are compared. Replaced processes begin to wait anew, which makes epochs
longer and harms nothing.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .clock import Clock
from .metrics import Metrics
from .platform import (
    Condition,
    Conflict,
    OutcomeUnknown,
    PlatformClient,
    Row,
    Transaction,
    Write,
)

EPOCH_ROW = 'key-epoch'
EPOCH_S = 3600
EPOCH_POLL_S = 300
SWEEP_S = 10
# One epoch may be seen late by a claim and one has hardly begun.
KEPT_EPOCHS = 26
ROWS_PER_REMOVAL = 100
MANY_ROWS = 500
FEW_ROWS = 20
MAX_DIGITS = 8
HEX_DIGITS = '0123456789abcdef'


@dataclass(slots=True)
class KeyEpochs:
    """The table's epoch as this process sees it."""

    platform: PlatformClient
    clock: Clock
    number: int = 0
    first_seen_at: float = float('-inf')
    read_at: float = float('-inf')

    async def current(self) -> int:
        """Return the epoch, at most ``EPOCH_POLL_S`` old."""
        if self.clock.monotonic() - self.read_at > EPOCH_POLL_S:
            await self.poll()
        return self.number

    async def poll(self) -> None:
        """Read the epoch, and advance it if it is old."""
        asked_at = self.clock.monotonic()
        row = await self.platform.read(EPOCH_ROW)
        number = 0 if row is None else int(str(row.fields['number']))
        is_first = self.first_seen_at == float('-inf')
        if is_first or number != self.number:
            # Counted from the answer: the number may have changed just then.
            self.first_seen_at = self.clock.monotonic()
        self.number = number
        self.read_at = asked_at
        if asked_at - self.first_seen_at >= EPOCH_S:
            await self._advance(row)

    async def _advance(self, row: Row | None) -> None:
        revision = 0 if row is None else row.revision
        write = Write(EPOCH_ROW, {'number': self.number + 1})
        try:
            await self.platform.commit(
                Transaction((Condition(EPOCH_ROW, revision),), (write,)),
            )
        except (Conflict, OutcomeUnknown):
            # The next poll tells which number stands.
            return


@dataclass(slots=True)
class KeySweeper:
    """Removes old records from one random part of the table at a time.

    Explanation
    ===========
    Row keys are digests, so that parts are of even size. Every entry sweeps
    parts at random; two that meet do no harm, as a removal is conditional
    on the revision that was read.
    """

    platform: PlatformClient
    epochs: KeyEpochs
    rng: random.Random
    metrics: Metrics
    prefix: str
    digits: int = 1

    async def sweep(self) -> None:
        """Remove the old records of one part."""
        epoch = await self.epochs.current()
        shard = ''.join(self.rng.choices(HEX_DIGITS, k=self.digits))
        rows = await self.platform.scan(f'{self.prefix}{shard}')
        self._adapt(len(rows))
        old = [
            row
            for row in rows
            if int(str(row.fields['epoch'])) + KEPT_EPOCHS <= epoch
        ]
        for batch in _batched(old, ROWS_PER_REMOVAL):
            await self._remove(batch)

    def _adapt(self, found: int) -> None:
        if found > MANY_ROWS:
            self.digits = min(self.digits + 1, MAX_DIGITS)
        elif found < FEW_ROWS:
            self.digits = max(self.digits - 1, 1)

    async def _remove(self, rows: Sequence[Row]) -> None:
        await self.platform.commit(
            Transaction(
                [Condition(row.key, row.revision) for row in rows],
                [Write(row.key, None) for row in rows],
            ),
        )
        self.metrics.count('key_records_removed', len(rows))


def _batched(rows: Sequence[Row], size: int) -> Sequence[Sequence[Row]]:
    return [rows[start : start + size] for start in range(0, len(rows), size)]
