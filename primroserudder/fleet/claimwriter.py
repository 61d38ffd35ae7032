"""Writes the claims of a tenure, in transactions within the store's limits."""

from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass

from ..platform import split_writes
from ..process.lease import Lease
from ..process.platform import PlatformClient, Write


@dataclass(slots=True)
class ClaimWriter:
    """Commits writes while the tenure lasts."""

    platform: PlatformClient
    lease: Lease

    async def commit(self, writes: Iterable[Write]) -> AsyncIterator[Write]:
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
        for transaction in split_writes((tenure_row,), writes):
            if not self.lease.is_held() or self.lease.tenure != tenure_row:
                return
            await self.platform.commit(transaction)
            for write in transaction.writes:
                yield write
