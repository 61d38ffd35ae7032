"""The platform as each party reaches it, and the actual engine states."""

import asyncio
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from ..process.clock import LoopClock
from ..process.engines import EngineStatus
from ..process.evidence import holds_order
from ..process.groups import GroupRecord
from ..process.platform import Row, Transaction, VmListing
from ..standins.memory import MemoryPlatform
from .fakes import FakeEngines
from .network import Network

SAMPLE_S = 0.1
# Evidence is dated at the start of its probe; sampling adds its interval.
MAX_RIGHT_AGE_S = 3 + 2 * SAMPLE_S

_Reply = TypeVar('_Reply')


@dataclass(slots=True)
class PartyPlatform:
    """The platform as one party reaches it; calls wait while it is paused."""

    inner: MemoryPlatform
    network: Network

    async def read(self, key: str) -> Row | None:
        """Return a row."""
        await self._delay_request()
        return await self._receive(self.inner.read(key))

    async def scan(self, prefix: str) -> Sequence[Row]:
        """Return rows."""
        await self._delay_request()
        return await self._receive(self.inner.scan(prefix))

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction."""
        await self._delay_request()
        await self._receive(self.inner.commit(transaction))

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._delay_request()
        await self._receive(self.inner.put_object(name, body))

    async def get_object(self, name: str) -> bytes:
        """Return an object."""
        await self._delay_request()
        return await self._receive(self.inner.get_object(name))

    async def list_vms(self) -> Sequence[VmListing]:
        """Return the list of VMs."""
        await self._delay_request()
        return await self._receive(self.inner.list_vms())

    async def _delay_request(self) -> None:
        await self.network.resume(self.inner.party)
        # Random delays let concurrent transactions overtake each other.
        await asyncio.sleep(self.network.rng.choice((0.01, 0.02, 0.3)))

    async def _receive(self, reply: Awaitable[_Reply]) -> _Reply:
        result = await reply
        await self.network.resume(self.inner.party)
        return result


@dataclass(slots=True)
class GroundTruth:
    """The orders that engines actually hold, recorded by the test."""

    engines: FakeEngines
    clock: LoopClock
    held_at: dict[EngineStatus, float] = field(default_factory=dict)

    async def watch(self) -> None:
        """Sample every ``SAMPLE_S`` seconds until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    def sample(self) -> None:
        """Record the current status of each running engine."""
        now = self.clock.monotonic()
        for engine in self.engines.by_address.values():
            if not engine.faults.is_dead:
                self.held_at[engine.status()] = now

    def is_whole(self, group: GroupRecord) -> bool:
        """Return whether all members held the order recently."""
        # A probe may have come between the last sample and now.
        self.sample()
        earliest = self.clock.monotonic() - MAX_RIGHT_AGE_S
        recent = [
            status
            for status, seen_at in self.held_at.items()
            if seen_at >= earliest
        ]
        return all(
            any(holds_order(status, group, member) for status in recent)
            for member in group.members
        )
