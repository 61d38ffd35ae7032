"""A platform whose operations fail by a script, one fault for each."""

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..process.platform import (
    Conflict,
    OutcomeUnknown,
    PlatformUnavailable,
    Row,
    Transaction,
    VmListing,
)
from ..standins.memory import MemoryPlatform


class Fault(enum.Enum):
    """What happens to one operation; a read fails on every fault."""

    NONE = 'none'
    # The operation has no effect, and the caller gets an error.
    DOWN = 'down'
    # The operation takes effect, but the answer is lost.
    LOST = 'lost'
    # The operation has no effect, and the answer is lost.
    DROPPED = 'dropped'
    # The answer is lost, and the transaction takes effect just before the
    # next operation but one.
    LATE = 'late'


@dataclass(slots=True)
class FaultyPlatform:
    """A party's view of a platform, with scripted faults."""

    inner: MemoryPlatform
    script: list[Fault] = field(default_factory=list)
    is_down: bool = False
    _late: list[tuple[int, Transaction]] = field(default_factory=list)
    _operations: int = 0

    def fail(self, faults: Iterable[Fault]) -> None:
        """Set the faults of the next operations."""
        self.script = list(faults)

    async def read(self, key: str) -> Row | None:
        """Return the row, or ``None`` if there is none."""
        await self._before_read()
        return await self.inner.read(key)

    async def scan(self, prefix: str) -> Sequence[Row]:
        """Return the rows whose keys begin with the prefix, by key."""
        await self._before_read()
        return await self.inner.scan(prefix)

    async def commit(self, transaction: Transaction) -> None:
        """Apply the transaction, unless the next fault prevents it."""
        fault = await self._next()
        if fault is Fault.LATE:
            self._late.append((self._operations + 2, transaction))
        if fault in {Fault.LATE, Fault.DROPPED}:
            raise OutcomeUnknown('the answer was lost')
        await self.inner.commit(transaction)
        if fault is Fault.LOST:
            raise OutcomeUnknown('the answer was lost')

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object, unless the next fault prevents it."""
        fault = await self._next()
        if fault is not Fault.DROPPED:
            await self.inner.put_object(name, body)
        if fault is not Fault.NONE:
            raise OutcomeUnknown('the answer was lost')

    async def get_object(self, name: str) -> bytes:
        """Return an object's body."""
        await self._before_read()
        return await self.inner.get_object(name)

    async def list_vms(self) -> Sequence[VmListing]:
        """Return the list of VMs."""
        await self._before_read()
        return await self.inner.list_vms()

    async def settle(self) -> None:
        """Apply all late transactions."""
        late = [transaction for _, transaction in self._late]
        self._late.clear()
        for transaction in late:
            await self._apply_late(transaction)

    async def _before_read(self) -> None:
        fault = await self._next()
        if fault is not Fault.NONE:
            raise PlatformUnavailable('the platform did not answer')

    async def _next(self) -> Fault:
        self._operations += 1
        due = [late for late in self._late if late[0] <= self._operations]
        for due_late in due:
            self._late.remove(due_late)
            await self._apply_late(due_late[1])
        fault = self.script.pop(0) if self.script else Fault.NONE
        if self.is_down or fault is Fault.DOWN:
            raise PlatformUnavailable('the platform is down')
        return fault

    async def _apply_late(self, transaction: Transaction) -> None:
        try:
            await self.inner.commit(transaction)
        except Conflict:
            return
