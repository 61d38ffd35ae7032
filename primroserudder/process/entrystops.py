"""An entry's own planned stop."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

from .membership import Node
from .platform import Condition, PlatformClient, Row, Transaction, Write
from .stops import (
    STOP_PREFIX,
    Stop,
    StopKind,
    StopState,
    stop_from_row,
    stop_to_fields,
)

# Each entry scans the few stops of its failure domain this often.
STOP_POLL_S = 10


class Drainable(Protocol):
    """What takes callers' requests and can end them gracefully."""

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is taken and nothing is in flight."""

    async def run(self) -> None:
        """Drain."""

    def resume(self) -> None:
        """Take work again."""


@dataclass(slots=True)
class EntryStops:
    """Begins, tells and ends the drain of one entry.

    Explanation
    ===========
    The entry alone knows what it has in flight, so that it alone says that
    its stop is safe. A replacement under the same id finds the row again.
    """

    platform: PlatformClient
    own: Node
    drain: Drainable
    _draining: 'asyncio.Task[None] | None' = field(default=None)

    async def step(self) -> None:
        """Follow the rows of the table once."""
        domain = self.own.failure_domain
        rows = await self.platform.scan(f'{STOP_PREFIX}{domain}/')
        found = [(row, stop_from_row(row)) for row in rows]
        own = [(row, stop) for row, stop in found if self._is_own(stop)]
        if own and self._draining is None:
            self._draining = asyncio.create_task(self.drain.run())
        if not own and self._draining is not None:
            self.close()
            self.drain.resume()
        await self._tell(own)

    def close(self) -> None:
        """Leave the drain as it is when the process ends."""
        if self._draining is not None:
            self._draining.cancel()
            self._draining = None

    def _is_own(self, stop: Stop) -> bool:
        is_entry = stop.kind is StopKind.ENTRY
        return is_entry and stop.target == self.own.node_id

    async def _tell(self, own: Sequence[tuple[Row, Stop]]) -> None:
        state = StopState.DRAINING
        if self.drain.is_empty:
            state = StopState.SAFE
        for row, stop in own:
            if stop.state is not state:
                told = stop_to_fields(replace(stop, state=state))
                await self.platform.commit(
                    Transaction(
                        (Condition(row.key, row.revision),),
                        (Write(row.key, told),),
                    ),
                )
