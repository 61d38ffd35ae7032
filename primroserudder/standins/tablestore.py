"""A stand-in of the platform's store, as its published protocol has it.

Explanation
===========
Rows in tables with versions from one counter, transactions under conditions,
a feed of changes, and objects. Faults are switched on by the tests: an
outage, lost answers, writes that take effect late, a lost history.
"""

import asyncio
import time
from dataclasses import dataclass, field
from http import HTTPStatus

import orjson
from aiohttp import web

from .tablerows import Json, TableRows

MILLISECONDS = 1000
MOST_ROWS = 500


@dataclass(slots=True)
class StoreFaults:
    """What goes wrong, until it is switched off."""

    is_down: bool = False
    loses_answers: bool = False
    late_by_s: float = 0


@dataclass(slots=True)
class TableStore:
    """The calls on rows and objects."""

    faults: StoreFaults = field(default_factory=StoreFaults)
    rows: TableRows = field(default_factory=TableRows)
    objects_by_name: dict[str, bytes] = field(default_factory=dict)
    calls: int = 0
    _late: set[asyncio.Task[None]] = field(default_factory=set)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        made = web.Application()
        made.router.add_post('/api/rows-tx', self._transact)
        made.router.add_get('/api/rows-get', self._read)
        made.router.add_get('/api/rows-feed', self._feed)
        made.router.add_put('/api/blob-put/{name}', self._put_object)
        made.router.add_get('/api/blob-get/{name}', self._get_object)
        return made

    async def _transact(self, request: web.Request) -> web.Response:
        self._count()
        asked = orjson.loads(await request.read())
        if self.faults.late_by_s:
            self._apply_later(asked)
            return _drop(request)
        rows = self.rows.conflicts(asked)
        if rows is None:
            self.rows.apply(asked)
        if self.faults.loses_answers:
            return _drop(request)
        if rows is not None:
            return _answer(
                {'Rows': rows}, status=HTTPStatus.PRECONDITION_FAILED
            )
        return _answer({'RowVersion': self.rows.revision, 'NowMs': _now_ms()})

    def _apply_later(self, asked: Json) -> None:
        task = asyncio.ensure_future(self._apply_late(asked))
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _apply_late(self, asked: Json) -> None:
        await asyncio.sleep(self.faults.late_by_s)
        if self.rows.conflicts(asked) is None:
            self.rows.apply(asked)

    async def _read(self, request: web.Request) -> web.Response:
        self._count()
        if self.faults.is_down:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        source = request.query.get('Source', '')
        limit = int(request.query.get('Limit', MOST_ROWS))
        rows = sorted(
            (
                row
                for (table, key), row in self.rows.rows_by_place.items()
                if table == request.query['Table'] and key >= source
            ),
            key=lambda row: row.key,
        )
        return _answer(
            {
                'Rows': [row.wire() for row in rows[:limit]],
                'HasMore': len(rows) > limit,
                'RowVersion': self.rows.revision,
                'NowMs': _now_ms(),
            }
        )

    async def _feed(self, request: web.Request) -> web.Response:
        self._count()
        since = int(request.query['SinceRev'])
        wait_s = int(request.query['WaitMs']) / MILLISECONDS
        if self.faults.is_down:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        if since < self.rows.forgotten:
            return web.Response(status=HTTPStatus.GONE)
        rows = await self.rows.changes(request.query['Table'], since, wait_s)
        return _answer(
            {
                'Rows': [row.wire() for row in rows],
                'RowVersion': self.rows.revision,
                'NowMs': _now_ms(),
            }
        )

    async def _put_object(self, request: web.Request) -> web.Response:
        self._count()
        name = request.match_info['name']
        self.objects_by_name[name] = await request.read()
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.Response:
        self._count()
        body = self.objects_by_name.get(request.match_info['name'])
        if body is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(body=body)

    def _count(self) -> None:
        self.calls += 1


def _answer(fields: Json, status: int = HTTPStatus.OK) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(fields),
        content_type='application/json',
    )


def _now_ms() -> float:
    return time.monotonic() * MILLISECONDS


def _drop(request: web.Request) -> web.Response:
    """Cut the connection in place of an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
