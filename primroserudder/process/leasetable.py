"""Reads and writes the rows of a lease in the platform's table."""

from collections.abc import Sequence
from dataclasses import dataclass

from .leaserows import (
    TENURES_PREFIX,
    fencing_of,
    stored_tokens,
    tenure_key,
    tenure_writes,
)
from .platform import (
    Condition,
    JsonObject,
    OutcomeUnknown,
    PlatformClient,
    Row,
    Transaction,
    Write,
)


@dataclass(frozen=True, slots=True)
class LeaseTable:
    """The lease's row and the rows of its tenures."""

    platform: PlatformClient
    failure_domain: str

    @property
    def key(self) -> str:
        """Return the key of the lease's row."""
        return f'leases/{self.failure_domain}'

    async def read(self) -> Row | None:
        """Return the lease's row, ``None`` if it was never claimed."""
        return await self.platform.read(self.key)

    async def read_tenure(self, fencing: int) -> Row | None:
        """Return the row of a tenure that has not ended."""
        return await self.platform.read(
            tenure_key(self.failure_domain, fencing)
        )

    async def read_tokens(self) -> Sequence[int]:
        """Return the fencing tokens of the tenures that have rows."""
        rows = await self.platform.scan(TENURES_PREFIX)
        return stored_tokens(self.failure_domain, rows)

    async def renew(
        self, row: Row, tenure: Condition, fields: JsonObject
    ) -> None:
        """Write a renewal, if the tenure has not ended."""
        conditions = (Condition(self.key, row.revision), tenure)
        write = Write(self.key, fields)
        await self._commit(Transaction(conditions, (write,)), fields)

    async def claim(
        self, before: Row | None, tokens: Sequence[int], fields: JsonObject
    ) -> None:
        """Begin a tenure, and end those of the given tokens.

        Parameters
        ==========
        before : Row or None
            The lease's row that the claim replaces.
        """
        ended = tokens if before is None else (*tokens, fencing_of(before))
        tenures = tenure_writes(self.failure_domain, ended, fields)
        revision = 0 if before is None else before.revision
        conditions = (Condition(self.key, revision),)
        writes = (Write(self.key, fields), *tenures)
        await self._commit(Transaction(conditions, writes), fields)

    async def release(self, row: Row, tenure: Condition) -> None:
        """Clear the holder, if the tenure has not ended."""
        conditions = (Condition(self.key, row.revision), tenure)
        write = Write(self.key, {**row.fields, 'holder': ''})
        await self.platform.commit(Transaction(conditions, (write,)))

    async def _commit(
        self, transaction: Transaction, fields: JsonObject
    ) -> None:
        """Commit a claim; if the answer is lost, read whether it is there."""
        try:
            await self.platform.commit(transaction)
        except OutcomeUnknown:
            written = await self.read()
            if written is None or written.fields['claim'] != fields['claim']:
                raise
