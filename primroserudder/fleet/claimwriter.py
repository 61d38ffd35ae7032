"""Writes the claims of a tenure so that a late write can't add to others.

Explanation
===========
A write without an answer may take effect seconds later, if its conditions still
hold. Each write of claims therefore expects one row at a revision and writes
it too: of several writes that expect the same revision only one can ever take
effect. A write that took effect ends all those that were sent before it. The
row's revision is read before the claims, so that claims that were read late
belong to an earlier revision at most.
"""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

from ..platform import split_writes
from ..process.lease import Lease
from ..process.platform import (
    Condition,
    PlatformClient,
    Transaction,
    Write,
)

SEQUENCE_PREFIX = 'claimwrites/'


@dataclass(slots=True)
class ClaimWriter:
    """Commits writes of claims one after the other while a tenure lasts.

    Parameters
    ==========
    expected : Condition or None
        The sequence row as of the last reading or write; ``None`` after a
        write that took effect, whose revision was not read yet.
    """

    platform: PlatformClient
    lease: Lease
    expected: Condition | None = None
    _count: int = 0

    @property
    def sequence_key(self) -> str:
        """Return the key of the row that each write of claims expects."""
        return SEQUENCE_PREFIX + self.lease.failure_domain

    async def read_sequence(self) -> Condition:
        """Return the sequence row's condition; to be called before a scan."""
        row = await self.platform.read(self.sequence_key)
        revision = 0 if row is None else row.revision
        self.expected = Condition(self.sequence_key, revision)
        return self.expected

    async def commit(self, writes: Sequence[Write]) -> AsyncIterator[Write]:
        """Commit writes in order; yield each that has taken effect.

        Explanation
        ===========
        Each transaction is conditional on the tenure's row. Ends early if the
        lease ends.

        Raises
        ======
        Conflict, OutcomeUnknown, PlatformUnavailable, CallRefused
            A transaction failed; those after it were not sent.
        """
        tenure_row = self.lease.tenure
        if tenure_row is None:
            return
        any_sequence = Condition(self.sequence_key, 0)
        besides = Transaction(
            (tenure_row, any_sequence), (self._next_sequence(),)
        )
        for part in split_writes(writes, besides):
            expected = self.expected or await self.read_sequence()
            if not self.lease.is_held() or self.lease.tenure != tenure_row:
                return
            await self.platform.commit(
                Transaction(
                    (tenure_row, expected), (*part, self._next_sequence())
                )
            )
            self.expected = None
            for write in part:
                yield write

    def _next_sequence(self) -> Write:
        """Return the write of the sequence row, with a content of its own."""
        self._count += 1
        fields = {'fencing': self.lease.fencing, 'count': self._count}
        return Write(self.sequence_key, fields)
