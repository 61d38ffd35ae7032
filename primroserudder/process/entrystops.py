"""Carries out the planned stop of this entry."""

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

# How often each entry scans the few stops of its failure domain.
STOP_POLL_S = 10


class Drainable(Protocol):
    """A request server that can be drained."""

    @property
    def is_empty(self) -> bool:
        """Return whether no request is accepted and none is in flight."""

    async def run(self) -> None:
        """Refuse new requests and end those in flight gracefully."""

    def resume(self) -> None:
        """Accept requests again."""


@dataclass(slots=True)
class EntryStops:
    """Starts, reports and ends the drain of one entry.

    Explanation
    ===========
    Only the entry itself can count its in-flight requests, so it alone sets
    its stop to safe. A replacement with the same id reads the same row.
    """

    platform: PlatformClient
    own: Node
    drain: Drainable
    _draining: 'asyncio.Task[None] | None' = field(default=None)

    async def step(self) -> None:
        """Read the stop rows once, then start, report or end the drain."""
        domain = self.own.failure_domain
        rows = await self.platform.scan(f'{STOP_PREFIX}{domain}/')
        stops = [(row, stop_from_row(row)) for row in rows]
        own = [(row, stop) for row, stop in stops if self._is_own(stop)]
        if own and self._draining is None:
            self._draining = asyncio.create_task(self.drain.run())
        if not own and self._draining is not None:
            self.close()
            self.drain.resume()
        await self._report(own)

    def close(self) -> None:
        """Cancel the drain task without resuming service."""
        if self._draining is not None:
            self._draining.cancel()
            self._draining = None

    def _is_own(self, stop: Stop) -> bool:
        is_entry = stop.kind is StopKind.ENTRY
        return is_entry and stop.target == self.own.node_id

    async def _report(self, own: Sequence[tuple[Row, Stop]]) -> None:
        state = StopState.DRAINING
        if self.drain.is_empty:
            state = StopState.SAFE
        for row, stop in own:
            if stop.state is not state:
                fields = stop_to_fields(replace(stop, state=state))
                await self.platform.commit(
                    Transaction(
                        (Condition(row.key, row.revision),),
                        (Write(row.key, fields),),
                    ),
                )
