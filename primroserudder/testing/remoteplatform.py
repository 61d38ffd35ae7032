"""The platform behind a network that delays calls until they time out."""

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
    An operation that was sent continues after its sender gives up or dies.
    While ``gate`` is closed the process is paused.
    """

    inner: MemoryPlatform
    gate: asyncio.Event

    async def read(self, key: str) -> Row | None:
        """Read one row."""
        operation = partial(self.inner.read, key)
        return await self._call(operation, PlatformUnavailable)

    async def scan(self, prefix: str) -> Sequence[Row]:
        """Read the rows under a prefix."""
        operation = partial(self.inner.scan, prefix)
        return await self._call(operation, PlatformUnavailable)

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction; it may take effect after the timeout."""
        operation = partial(self.inner.commit, transaction)
        await self._call(operation, OutcomeUnknown)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        operation = partial(self.inner.put_object, name, body)
        await self._call(operation, OutcomeUnknown)

    async def get_object(self, name: str) -> bytes:
        """Return an object's body."""
        operation = partial(self.inner.get_object, name)
        return await self._call(operation, PlatformUnavailable)

    async def list_vms(self) -> Sequence[Any]:
        """Return the list of VMs."""
        return await self._call(self.inner.list_vms, PlatformUnavailable)

    async def _call(
        self,
        send: Callable[[], Awaitable[_Result]],
        timeout_error: type[RudderError],
    ) -> _Result:
        await self.gate.wait()
        answer = asyncio.ensure_future(send())
        answer.add_done_callback(_retrieve_error)
        await asyncio.wait({answer}, timeout=PLATFORM_TIMEOUT_S)
        await self.gate.wait()
        if not answer.done():
            raise timeout_error('the platform did not answer in time')
        return answer.result()


def _retrieve_error(answer: 'asyncio.Future[Any]') -> None:
    # Retrieves the error, as the sender may no longer await the result.
    if not answer.cancelled():
        answer.exception()
