"""Gives the store's tables out to the other routers of a failure domain."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from ..process.clock import Clock
from ..process.loops import cancel_on_exit
from ..process.tables import TableFollower
from .relaymessages import PATH, encode_table

CHECK_INTERVAL_S = 0.1
CATCH_UP_INTERVAL_S = 0.02
# A relay that has just turned to another source waits so long for it.
CATCH_UP_S = 0.3
# A relay that has heard nothing of the store for so long beyond the time
# that a call may wait does not answer.
STALE_S = 0.4


@dataclass(slots=True)
class TableRelay:
    """Gives out the tables that this VM follows."""

    followers_by_table: Mapping[str, TableFollower]
    clock: Clock
    source_changed_at: Callable[[], float]

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return a table, or its changes as soon as there are some."""
        table = request.path.removeprefix(f'{PATH}/')
        follower = self.followers_by_table.get(table)
        if follower is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        since = int(request.query.get('since', '0'))
        wait_s = float(request.query.get('wait', '0'))
        await self._catch_up(follower)
        waiting = asyncio.ensure_future(follower.wait_for_change(since, wait_s))
        async with cancel_on_exit(waiting):
            while not waiting.done() and self._is_current(follower):
                await asyncio.wait((waiting,), timeout=CHECK_INTERVAL_S)
        if not self._is_current(follower):
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return web.Response(
            body=encode_table(follower, since), content_type='application/json'
        )

    async def _catch_up(self, follower: TableFollower) -> None:
        """Wait a moment for a source that this VM has just turned to."""
        until = self.source_changed_at() + CATCH_UP_S
        while not self._is_current(follower):
            if self.clock.monotonic() >= until:
                return
            await asyncio.sleep(CATCH_UP_INTERVAL_S)

    def _is_current(self, follower: TableFollower) -> bool:
        age_s = self.clock.monotonic() - follower.confirmed_at
        return follower.is_reachable and age_s < follower.wait_s + STALE_S
