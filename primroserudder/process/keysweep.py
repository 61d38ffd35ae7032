"""Removes the records of old idempotency keys.

Explanation
===========
The age of a record is counted in epochs, whose number is kept in a row of
the table. A process advances the epoch only after it has seen the number
unchanged for an hour on its own clock. So an epoch is never shorter than
an hour, and no two clocks are compared. A process that replaces another
starts to wait again, which only makes the epoch longer.
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
# Includes one epoch that a claim may see late and one that has just begun.
KEPT_EPOCHS = 26
ROWS_PER_REMOVAL = 100
SPLIT_ABOVE_ROWS = 500
MERGE_BELOW_ROWS = 20
MAX_PREFIX_DIGITS = 8
HEX_DIGITS = '0123456789abcdef'


@dataclass(slots=True)
class KeyEpochs:
    """The table's epoch as this process last read it."""

    platform: PlatformClient
    clock: Clock
    number: int = 0
    first_seen_at: float = float('-inf')
    read_at: float = float('-inf')

    async def current(self) -> int:
        """Return the epoch, read at most ``EPOCH_POLL_S`` ago."""
        if self.clock.monotonic() - self.read_at > EPOCH_POLL_S:
            await self.poll()
        return self.number

    async def poll(self) -> None:
        """Read the epoch; advance it if it was unchanged for ``EPOCH_S``."""
        asked_at = self.clock.monotonic()
        row = await self.platform.read(EPOCH_ROW)
        number = 0 if row is None else int(str(row.fields['number']))
        is_first = self.first_seen_at == float('-inf')
        if is_first or number != self.number:
            # Counted from the answer, as the number may have changed just
            # before it.
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
            # The next poll reads the number that is in force.
            return


@dataclass(slots=True)
class KeySweeper:
    """Removes old records from one random part of the table at a time.

    Explanation
    ===========
    Row keys are hashes, so the parts have even sizes. The rows whose hashes
    share the first ``prefix_digits`` digits are a part; the number of digits
    adapts to the number of rows per part. Each entry sweeps random parts. Two
    entries may sweep the same part at once, as a removal is conditional on
    the revision that was read.
    """

    platform: PlatformClient
    epochs: KeyEpochs
    rng: random.Random
    metrics: Metrics
    prefix: str
    prefix_digits: int = 1

    async def sweep(self) -> None:
        """Remove the old records of one random part."""
        epoch = await self.epochs.current()
        part = ''.join(self.rng.choices(HEX_DIGITS, k=self.prefix_digits))
        rows = await self.platform.scan(f'{self.prefix}{part}')
        self._adapt_part_size(len(rows))
        old = [
            row
            for row in rows
            if int(str(row.fields['epoch'])) + KEPT_EPOCHS <= epoch
        ]
        for batch in _batched(old, ROWS_PER_REMOVAL):
            await self._remove(batch)

    def _adapt_part_size(self, row_count: int) -> None:
        if row_count > SPLIT_ABOVE_ROWS:
            self.prefix_digits = min(self.prefix_digits + 1, MAX_PREFIX_DIGITS)
        elif row_count < MERGE_BELOW_ROWS:
            self.prefix_digits = max(self.prefix_digits - 1, 1)

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
