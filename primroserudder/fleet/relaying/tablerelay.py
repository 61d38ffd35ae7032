"""Relay of the store's tables to the other routers of a failure domain."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from aiohttp import web

from ...errors import Ran, RudderError
from ...process.clock import Clock
from ...process.loops import cancel_on_exit
from ...process.tablepages import StoreVersion
from ...process.tables import TableFollower
from ..errorresponse import error_response
from .messages import COMPRESSION, PATH, HeldRows
from .rowhistory import RowHistory
from .tablecoding import compress, encode_table

# A shorter wait may be lost in the clock's rounding and never end.
MIN_CHECK_S = 0.001
# The longest that another router may wait for a change.
MAX_WAIT_S = 60.0
CATCH_UP_INTERVAL_S = 0.02
# After a relay switches to another source, it waits this long for its data.
CATCH_UP_TIMEOUT_S = 0.3
# If the store has not answered for this long beyond the wait time of a call,
# the relay refuses to answer.
STALENESS_LIMIT_S = 0.4


class MalformedQuery(RudderError):
    """A query for a table can't be read."""

    code = 'malformed_query'
    status = 400
    ran = Ran.NO
    default_remedy = 'send whole numbers as era and since, and seconds as wait'


def _never(_table: str) -> float:
    return float('-inf')


@dataclass(slots=True)
class TableRelay:
    """Serves the tables that this VM follows to other routers.

    Parameters
    ==========
    source_changed_at : Callable
        Returns the monotonic time of the last switch to another source, in
        seconds.
    heard_at : Callable
        Returns when bytes of a table last arrived. An answer that is still
        arriving shows that the source is there.
    history : RowHistory
        The last contents of large rows, to send patches of them.
    """

    followers_by_table: Mapping[str, TableFollower]
    clock: Clock
    source_changed_at: Callable[[], float]
    heard_at: Callable[[str], float] = _never
    history: RowHistory = field(default_factory=RowHistory)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return a table, or its changes as soon as there are any.

        Explanation
        ===========
        Answers 404 for an unknown table, 400 for a malformed query, and 503
        while this VM's own copy is out of date. The ``wait`` parameter is in
        seconds; ``since`` is a revision of the era in ``era``.
        """
        table = request.path.removeprefix(f'{PATH}/')
        follower = self.followers_by_table.get(table)
        if follower is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        try:
            query = _read_query(request.query)
        except MalformedQuery as error:
            return error_response(error, '')
        await self._catch_up(follower)
        waiting = asyncio.ensure_future(
            follower.wait_for_change(query.since, query.wait_s)
        )
        async with cancel_on_exit(waiting):
            while not waiting.done() and self._is_current(follower):
                # A timer for each query and check would wake a relay with
                # many children hundreds of times a second.
                fresh_s = max(self._fresh_s(follower), MIN_CHECK_S)
                await asyncio.wait((waiting,), timeout=fresh_s)
        if not self._is_current(follower):
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return self._response(follower, query)

    def _response(
        self, follower: TableFollower, query: '_Query'
    ) -> web.Response:
        body = encode_table(follower, query.since, query.held, self.history)
        response = web.Response(body=body, content_type='application/json')
        compressed = None if query.held is None else compress(body)
        if compressed is not None:
            response.body = compressed
            response.headers['Content-Encoding'] = COMPRESSION
        return response

    async def _catch_up(self, follower: TableFollower) -> None:
        """Wait briefly for data after this VM switched to another source."""
        deadline = self.source_changed_at() + CATCH_UP_TIMEOUT_S
        while not self._is_current(follower):
            if self.clock.monotonic() >= deadline:
                return
            await asyncio.sleep(CATCH_UP_INTERVAL_S)

    def _is_current(self, follower: TableFollower) -> bool:
        return follower.is_reachable and self._fresh_s(follower) > 0

    def _fresh_s(self, follower: TableFollower) -> float:
        """Return how long a table is up to date without a further answer."""
        heard_at = max(follower.confirmed_at, self.heard_at(follower.table))
        age_s = self.clock.monotonic() - heard_at
        return follower.wait_s + STALENESS_LIMIT_S - age_s


@dataclass(frozen=True, slots=True)
class _Query:
    """What another router has, and how long it waits for more.

    Parameters
    ==========
    held : HeldRows or None
        The large rows that it holds; ``None`` of builds that don't say so and
        read no patches.
    """

    since: StoreVersion
    wait_s: float
    held: HeldRows | None


def _read_query(query: Mapping[str, str]) -> _Query:
    """Return what a router asks for.

    Raises
    ======
    MalformedQuery
        A field is no number, or the wait is out of range.
    """
    held = query.get('held')
    try:
        read = _Query(
            StoreVersion(
                int(query.get('era', '0')), int(query.get('since', '0'))
            ),
            float(query.get('wait', '0')),
            None if held is None else HeldRows.decode(held),
        )
    except ValueError as error:
        raise MalformedQuery('a field of the query is no number') from error
    if not 0 <= read.wait_s <= MAX_WAIT_S:
        raise MalformedQuery(f'wait is not within 0 and {MAX_WAIT_S} s')
    return read
