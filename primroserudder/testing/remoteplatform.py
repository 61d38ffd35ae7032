"""The platform behind a network that loses and delays."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, TypeVar

from ..errors import RudderError
from ..process.platform import (
    OutcomeUnknown,
    PlatformUnavailable,
    Row,
    Transaction,
)
from ..standins.memory import MemoryPlatform

PLATFORM_TIMEOUT_S = 2
_Result = TypeVar('_Result')


@dataclass(slots=True)
class RemotePlatform:
    """The platform behind a network, as one process sees it.

    Explanation
    ===========
    An operation that was sent goes on although its sender gave it up or
    died. While ``gate`` is closed the process is paused.
    """

    inner: MemoryPlatform
    gate: asyncio.Event

    async def read(self, key: str) -> Row | None:
        """Read one row."""
        sent = partial(self.inner.read, key)
        return await self._ask(sent, PlatformUnavailable)

    async def scan(self, prefix: str) -> Sequence[Row]:
        """Read the rows under a prefix."""
        sent = partial(self.inner.scan, prefix)
        return await self._ask(sent, PlatformUnavailable)

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction, though perhaps only after the time-out."""
        sent = partial(self.inner.commit, transaction)
        await self._ask(sent, OutcomeUnknown)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        sent = partial(self.inner.put_object, name, body)
        await self._ask(sent, OutcomeUnknown)

    async def get_object(self, name: str) -> bytes:
        """Return an object's body."""
        sent = partial(self.inner.get_object, name)
        return await self._ask(sent, PlatformUnavailable)

    async def list_vms(self) -> Sequence[Any]:
        """Return the list of VMs."""
        return await self._ask(self.inner.list_vms, PlatformUnavailable)

    async def _ask(
        self,
        send: Callable[[], Awaitable[_Result]],
        late: type[RudderError],
    ) -> _Result:
        await self.gate.wait()
        answer = asyncio.ensure_future(send())
        answer.add_done_callback(_forget)
        await asyncio.wait({answer}, timeout=PLATFORM_TIMEOUT_S)
        await self.gate.wait()
        if not answer.done():
            raise late('the platform did not answer in time')
        return answer.result()


def _forget(answer: 'asyncio.Future[Any]') -> None:
    # The sender may be gone; nobody else is told of an error.
    if not answer.cancelled():
        answer.exception()
