"""Watches connections whose peers don't read, and cuts the slowest."""

import asyncio
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

from ...errors import RudderError
from ...intake.budget import BYTES_PER_MB, MemoryBudget
from ...process.allocator import resident_bytes, return_free_memory
from ...process.decisions import DecisionLog
from ...process.metrics import Metrics
from .slowcallers import (
    CUT_SHARE,
    CutReason,
    UnreadConnection,
    connections_to_cut,
)

LOOK_INTERVAL_S = 0.2
# Resident memory above this share of the limit counts as a budget used up, as
# the sums leave out what the allocator keeps.
RESIDENT_SHARE = 0.93
# Returning free memory took 2 to 12 ms.
TRIM_INTERVAL_S = 1.0
# A shortage has ended when less of the budget is in use.
CALM_SHARE = 0.7
# Callers who pause for less are not cut to make room for others.
GIVE_WAY_S = 1.0
# Time between two looks while the sums exceed their share.
URGENT_INTERVAL_S = 0.02


class CallerTooSlow(RudderError):
    """The caller did not read its response, and lost its connection."""

    code = 'caller_too_slow'
    status = 499
    default_remedy = 'read the response as it arrives'


class WatchedConnection(Protocol):
    """A connection as the watch sees it."""

    @property
    def waiting_bytes(self) -> int:
        """Return the bytes in the write buffer."""

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes that were read elsewhere for this connection."""

    def cut(self, reason: CutReason) -> None:
        """Reset the connection."""


@dataclass(slots=True)
class ConnectionWatch:
    """Looks at the connections that have unread bytes, while there are any.

    Parameters
    ==========
    memory_bytes : int
        Memory limit of the VM.
    """

    budget: MemoryBudget
    memory_bytes: int
    log: DecisionLog
    metrics: Metrics
    unread: dict[WatchedConnection, UnreadConnection] = field(
        default_factory=dict
    )
    measure_resident: Callable[[], int] = resident_bytes
    is_short: bool = False
    resident_bytes: int = 0
    make_room: Callable[[int], object] = int
    _trimmed_at: float = 0
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _is_urgent: asyncio.Event = field(default_factory=asyncio.Event)

    def note_unread(self, connection: WatchedConnection) -> None:
        """Watch a connection whose peer has not accepted all bytes."""
        now = asyncio.get_running_loop().time()
        entry = UnreadConnection(now, connection.waiting_bytes)
        self.unread[connection] = entry
        self._look_at(connection, entry, now)
        self._wake.set()
        if self._sum_excess() > 0:
            self._is_urgent.set()

    def note_read(self, connection: WatchedConnection) -> None:
        """Forget a connection whose peer has accepted all, or that is lost."""
        entry = self.unread.pop(connection, None)
        if entry is not None:
            self.budget.unread_bytes -= entry.held

    def note_pressure(self) -> None:
        """Look soon, as much is held that waits for nobody to read it."""
        self._wake.set()

    def cut_unread(self, octets: int) -> None:
        """Cut callers that have read nothing for long, to free some bytes."""
        now = asyncio.get_running_loop().time()
        long_unread = dict(self._long_unread(now))
        self._cut(connections_to_cut(long_unread, now, octets))

    def cut_callers(self, count: int) -> int:
        """Cut so many callers that have read nothing for long, if there are.

        Explanation
        ===========
        Returns how many were cut. Their descriptors are free soon after.
        """
        now = asyncio.get_running_loop().time()
        slowest_first = sorted(
            self._long_unread(now), key=lambda slow: slow[1].accepted_at
        )
        slow_callers = [
            (connection, CutReason.DESCRIPTORS)
            for connection, _ in slowest_first[:count]
        ]
        self._cut(slow_callers)
        return len(slow_callers)

    async def run(self) -> None:
        """Look at the unread connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            with suppress(TimeoutError):
                async with asyncio.timeout(LOOK_INTERVAL_S):
                    await self._is_urgent.wait()
            self._is_urgent.clear()
            self.look(loop.time())
            if not self.unread and not self.is_short:
                self._wake.clear()
            await asyncio.sleep(URGENT_INTERVAL_S)

    def look(self, now: float) -> None:
        """Update what the connections hold, and cut those that are too slow."""
        for connection, entry in self.unread.items():
            self._look_at(connection, entry, now)
        excess = max(self._sum_excess(), self._resident_excess(now), 0)
        self._note_shortage(excess)
        freed = self._cut(connections_to_cut(self.unread, now, excess))
        if excess > freed:
            self.make_room(excess - freed)

    def dump(self) -> Mapping[str, object]:
        """Return the sums for the state dump."""
        return {
            **self.budget.dump(),
            'memory_bytes': self.memory_bytes,
            'resident_bytes': self.measure_resident(),
            'unread_connections': len(self.unread),
        }

    def _look_at(
        self, connection: WatchedConnection, entry: UnreadConnection, now: float
    ) -> None:
        waiting = connection.waiting_bytes
        held = waiting + connection.buffered_bytes
        self.budget.unread_bytes += held - entry.held
        self.budget.change(0)
        entry.update(waiting, held, now)

    def _long_unread(
        self, now: float
    ) -> Iterator[tuple[WatchedConnection, UnreadConnection]]:
        return (
            (connection, entry)
            for connection, entry in self.unread.items()
            if now - entry.accepted_at >= GIVE_WAY_S
        )

    def _sum_excess(self) -> int:
        """Return by how much the sums exceed the share that is left."""
        budget = self.budget
        return budget.used_bytes - int(budget.limit_bytes * CUT_SHARE)

    def _resident_excess(self, now: float) -> int:
        """Return by how much the process is near the limit of the VM."""
        limit = self._limit()
        self.resident_bytes = self.measure_resident()
        may_trim = now - self._trimmed_at >= TRIM_INTERVAL_S
        if self.resident_bytes > limit and may_trim:
            self._trimmed_at = now
            return_free_memory()
            self.resident_bytes = self.measure_resident()
        return self.resident_bytes - limit

    def _cut(
        self, slow_callers: Sequence[tuple[WatchedConnection, CutReason]]
    ) -> int:
        """Reset connections; return the bytes that are free soon after."""
        freed = 0
        for slow, reason in slow_callers:
            self.metrics.count('slow_callers_cut', reason=reason.value)
            freed += self.unread[slow].freed_bytes
            self.note_read(slow)
            slow.cut(reason)
        return freed

    def _limit(self) -> int:
        """Return how much resident memory counts as a budget used up."""
        return int(self.memory_bytes * RESIDENT_SHARE)

    def _note_shortage(self, excess: int) -> None:
        calm_bytes = int(self.budget.limit_bytes * CALM_SHARE)
        if self.is_short:
            is_short = excess > 0 or self.budget.used_bytes > calm_bytes
        else:
            is_short = excess > 0
        if is_short == self.is_short:
            return
        self.is_short = is_short
        self.log.note(
            'memory_short' if is_short else 'memory_sufficient',
            **self.budget.dump(),
            resident_bytes=self.resident_bytes,
            unread_connections=len(self.unread),
        )


def build_watch(
    memory_mb: float, log: DecisionLog, metrics: Metrics
) -> ConnectionWatch:
    """Return the watch of a VM with a memory limit in megabytes."""
    return ConnectionWatch(
        MemoryBudget.of_vm(memory_mb),
        int(memory_mb * BYTES_PER_MB),
        log,
        metrics,
    )
