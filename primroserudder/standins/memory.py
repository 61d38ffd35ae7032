"""The platform's table, object store and VM list, kept in memory."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..process.platform import (
    Condition,
    Conflict,
    ObjectMissing,
    Row,
    Transaction,
    VmListing,
    Write,
)
from .faults import PlatformFaults


@dataclass(slots=True)
class Usage:
    """Counts of the platform's read and write calls."""

    reads: int = 0
    writes: int = 0


@dataclass(slots=True)
class MemoryPlatform:
    """An in-memory platform with injected faults.

    Explanation
    ===========
    ``party`` names the calling process, so that a fault can cut it off;
    ``seen_by`` returns a view of the same platform for another process.
    """

    party: str = ''
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    usage: Usage = field(default_factory=Usage)
    rows_by_key: dict[str, Row] = field(default_factory=dict)
    objects_by_name: dict[str, bytes] = field(default_factory=dict)
    vms_by_id: dict[str, VmListing] = field(default_factory=dict)

    def seen_by(self, party: str) -> 'MemoryPlatform':
        """Return a view of the same platform for a party."""
        return MemoryPlatform(
            party,
            self.faults,
            self.usage,
            self.rows_by_key,
            self.objects_by_name,
            self.vms_by_id,
        )

    async def read(self, key: str) -> Row | None:
        """Return the row, or ``None`` if there is none."""
        await self._start_read()
        return self.rows_by_key.get(key)

    async def scan(self, prefix: str) -> Sequence[Row]:
        """Return the rows whose keys begin with the prefix, by key."""
        await self._start_read()
        return [
            self.rows_by_key[key]
            for key in sorted(self.rows_by_key)
            if key.startswith(prefix)
        ]

    async def commit(self, transaction: Transaction) -> None:
        """Apply the transaction."""
        await self.faults.fail_call(self.party)
        self.usage.writes += 1
        for condition in transaction.conditions:
            self._check(condition)
        for write in transaction.writes:
            self._apply(write)
        self.faults.fail_after_write()

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self.faults.fail_call(self.party)
        self.usage.writes += 1
        self.objects_by_name[name] = body
        self.faults.fail_after_write()

    async def get_object(self, name: str) -> bytes:
        """Return an object's body."""
        await self._start_read()
        if name not in self.objects_by_name:
            raise ObjectMissing(f'no object {name!r}')
        return self.objects_by_name[name]

    async def list_vms(self) -> Sequence[VmListing]:
        """Return the list of VMs."""
        await self._start_read()
        return list(self.vms_by_id.values())

    async def _start_read(self) -> None:
        await self.faults.fail_call(self.party)
        self.usage.reads += 1

    def _check(self, condition: Condition) -> None:
        row = self.rows_by_key.get(condition.key)
        revision = 0 if row is None else row.revision
        if revision != condition.revision:
            raise Conflict(
                f'{condition.key}: got revision {revision}: expected '
                f'{condition.revision}',
            )

    def _apply(self, write: Write) -> None:
        if write.fields is None:
            self.rows_by_key.pop(write.key, None)
            return
        # Revisions also increase over removals, so that none is used twice.
        revision = self.usage.writes
        self.rows_by_key[write.key] = Row(write.key, revision, write.fields)
