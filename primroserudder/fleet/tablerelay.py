"""Relay of the store's tables to the other routers of a failure domain."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from ..process.clock import Clock
from ..process.loops import cancel_on_exit
from ..process.tablepages import StoreVersion
from ..process.tables import TableFollower
from .relaymessages import PATH, encode_table

CHECK_INTERVAL_S = 0.1
CATCH_UP_INTERVAL_S = 0.02
# After a relay switches to another source, it waits this long for its data.
CATCH_UP_TIMEOUT_S = 0.3
# If the store has not answered for this long beyond the wait time of a call,
# the relay refuses to answer.
STALENESS_LIMIT_S = 0.4


@dataclass(slots=True)
class TableRelay:
    """Serves the tables that this VM follows to other routers."""

    followers_by_table: Mapping[str, TableFollower]
    clock: Clock
    source_changed_at: Callable[[], float]

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return a table, or its changes as soon as there are any.

        Explanation
        ===========
        Answers 404 for an unknown table, and 503 while this VM's own copy is
        out of date. The ``wait`` parameter is in seconds; ``since`` is a
        revision of the era in ``era``.
        """
        table = request.path.removeprefix(f'{PATH}/')
        follower = self.followers_by_table.get(table)
        if follower is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        since = StoreVersion(
            int(request.query.get('era', '0')),
            int(request.query.get('since', '0')),
        )
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
        """Wait briefly for data after this VM switched to another source."""
        deadline = self.source_changed_at() + CATCH_UP_TIMEOUT_S
        while not self._is_current(follower):
            if self.clock.monotonic() >= deadline:
                return
            await asyncio.sleep(CATCH_UP_INTERVAL_S)

    def _is_current(self, follower: TableFollower) -> bool:
        age_s = self.clock.monotonic() - follower.confirmed_at
        return (
            follower.is_reachable
            and age_s < follower.wait_s + STALENESS_LIMIT_S
        )
