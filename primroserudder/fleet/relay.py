"""The store's tables, read by one VM of a failure domain for its others.

Explanation
===========
The store's calls are few and dear, and some VMs are turned away by it. So
one router of each failure domain follows the tables and gives them out with
the store's own versions; the others ask it in place of the store. A router
whose source is silent or out of date asks the store itself at once.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TypeVar

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, web
from pydantic import BaseModel, ConfigDict, ValidationError

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.platform import Row
from ..process.loops import ending
from ..process.tables import (
    Change,
    ChangePage,
    HistoryLost,
    TableFollower,
    TablePage,
    TableSource,
)

PATH = '/tables'
# The relay's answer may come this long after the time asked for.
SLACK_S = 0.5
CHECK_INTERVAL_S = 0.1
# After a failure the store is asked directly for so long.
DIRECT_S = 2.0
# A relay that has heard nothing of the store for so long beyond the time
# that a call may wait does not answer.
STALE_S = 0.4
# A version that others know is here within this time, or the store is asked.
BEHIND_S = 0.8

_Answer = TypeVar('_Answer')


class _RowMessage(BaseModel):
    model_config = ConfigDict(frozen=True)

    key: str
    revision: int
    fields: Mapping[str, object]


class _TableMessage(BaseModel):
    """Rows changed since a version; ``count`` is that of all rows."""

    model_config = ConfigDict(frozen=True)

    revision: int
    count: int
    rows: tuple[_RowMessage, ...]
    removed: tuple[str, ...] = ()


@dataclass(slots=True)
class TableRelay:
    """Gives out the tables that this VM follows."""

    followers_by_table: Mapping[str, TableFollower]
    clock: Clock

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return a table, or its changes as soon as there are some."""
        table = request.path.removeprefix(f'{PATH}/')
        follower = self.followers_by_table.get(table)
        if follower is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        since = int(request.query.get('since', '0'))
        wait_s = float(request.query.get('wait', '0'))
        waiting = asyncio.ensure_future(follower.wait_for_change(since, wait_s))
        async with ending(waiting):
            while not waiting.done() and self._is_current(follower):
                await asyncio.wait((waiting,), timeout=CHECK_INTERVAL_S)
        if not self._is_current(follower):
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return web.Response(
            body=_encode(follower, since), content_type='application/json'
        )

    def _is_current(self, follower: TableFollower) -> bool:
        age_s = self.clock.monotonic() - follower.confirmed_at
        return follower.is_reachable and age_s < follower.wait_s + STALE_S


@dataclass(frozen=True, slots=True)
class _HeardVersion:
    """A version that others know, and since when that is known here."""

    version: int
    at: float


@dataclass(slots=True)
class RelayedTables:
    """Tables from the failure domain's relay, or else from the store.

    Parameters
    ==========
    relay : Callable
        Address of a living relay; empty where the store is to be asked.
    """

    store: TableSource
    session: ClientSession
    clock: Clock
    log: DecisionLog
    relay: Callable[[], str]
    direct_until: float = 0
    relayed: int = 0
    _heard: dict[str, _HeardVersion] = field(default_factory=dict)

    async def close(self) -> None:
        """Close the connections to relays."""
        await self.session.close()

    def hear(self, versions: Mapping[str, int]) -> None:
        """Note versions that other VMs know."""
        now = self.clock.monotonic()
        for table, version in versions.items():
            known = self._heard.get(table)
            if known is None or version > known.version:
                self._heard[table] = _HeardVersion(version, now)

    async def read_table(self, table: str) -> TablePage:
        """Return all rows."""
        message = await self._ask(table, 0, 0)
        if message is None:
            return await self.store.read_table(table)
        rows = tuple(_row(one) for one in message.rows)
        return TablePage(rows, message.revision)

    async def changes(
        self,
        table: str,
        since: int,
        wait_s: float,
    ) -> ChangePage:
        """Return the changes after a version, waiting for the first."""
        message = await self._ask(table, since, wait_s)
        if message is None:
            return await self.store.changes(table, since, wait_s)
        if message.revision < since:
            self._turn_to_store(self.relay(), 'behind what was seen here')
            raise HistoryLost('the relay is behind')
        changed = [Change(one.key, _row(one)) for one in message.rows]
        removed = [Change(key, None) for key in message.removed]
        return ChangePage((*removed, *changed), message.revision, message.count)

    async def _ask(
        self,
        table: str,
        since: int,
        wait_s: float,
    ) -> _TableMessage | None:
        relay = self.relay()
        if not relay or self.clock.monotonic() < self.direct_until:
            return None
        if self._is_behind(table, since):
            self._turn_to_store(relay, 'others know a newer version')
            return None
        url = f'http://{relay}{PATH}/{table}'
        query = {'since': str(since), 'wait': str(wait_s)}
        timeout = ClientTimeout(total=wait_s + SLACK_S)
        try:
            message = await self._while_useful(
                lambda: (
                    self.relay() == relay and not self._is_behind(table, since)
                ),
                self._fetch(url, query, timeout),
            )
        except (ClientError, OSError, ValidationError) as error:
            self._turn_to_store(relay, repr(error))
            return None
        if message is None:
            self._turn_to_store(relay, 'silent, behind or out of date')
        return message

    def _is_behind(self, table: str, since: int) -> bool:
        """Return whether others have known a newer version for a while."""
        heard = self._heard.get(table)
        if heard is None or not since or heard.version <= since:
            return False
        return self.clock.monotonic() - heard.at > BEHIND_S

    async def _while_useful(
        self,
        is_useful: Callable[[], bool],
        asking: Awaitable[_Answer | None],
    ) -> _Answer | None:
        """Wait for an answer, but not for that of a relay gone silent."""
        task = asyncio.ensure_future(asking)
        async with ending(task):
            while not task.done() and is_useful():
                await asyncio.wait((task,), timeout=CHECK_INTERVAL_S)
            return task.result() if task.done() else None

    async def _fetch(
        self,
        url: str,
        query: Mapping[str, str],
        timeout: ClientTimeout,
    ) -> _TableMessage | None:
        async with self.session.get(
            url, params=query, timeout=timeout
        ) as answer:
            body = await answer.read()
            if answer.status != HTTPStatus.OK:
                return None
        self.relayed += 1
        return _TableMessage.model_validate_json(body)

    def _turn_to_store(self, relay: str, reason: str) -> None:
        self.direct_until = self.clock.monotonic() + DIRECT_S
        self.log.note('relay_left', relay=relay, reason=reason)


def _encode(follower: TableFollower, since: int) -> bytes:
    rows = [
        {'key': row.key, 'revision': row.revision, 'fields': row.fields}
        for row in follower.rows_by_key.values()
        if row.revision > since
    ]
    return orjson.dumps(
        {
            'revision': follower.revision,
            'count': len(follower.rows_by_key),
            'rows': rows,
            'removed': follower.removed_since(since),
        }
    )


def _row(message: _RowMessage) -> Row:
    return Row(message.key, message.revision, message.fields)
