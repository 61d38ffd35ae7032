"""A stand-in of the platform's store with the published protocol.

Explanation
===========
It has rows in tables with revisions from one counter, conditional
transactions, a feed of changes, and objects, and it refuses calls over its
limits. Tests inject faults: an outage, lost responses, writes that take effect
late, and a lost history.
"""

import asyncio
import time
from dataclasses import dataclass, field
from http import HTTPStatus

import orjson
from aiohttp import web

from .storelimits import (
    READS_PER_S,
    WRITES_PER_S,
    CallRate,
    refusal_of,
)
from .tablerows import Json, TableRows

MS_PER_S = 1000
MAX_ROWS = 500
# Longer calls than the store takes are read, to refuse them as it does.
MAX_READ_BYTES = 16_777_216


@dataclass(slots=True)
class StoreFaults:
    """Injected faults of the store; times are in seconds."""

    is_down: bool = False
    loses_answers: bool = False
    late_by_s: float = 0


@dataclass(slots=True)
class TableStore:
    """HTTP handlers for rows and objects.

    Parameters
    ==========
    refused : int
        How many calls were over a limit of the store.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    rows: TableRows = field(default_factory=TableRows)
    objects_by_name: dict[str, bytes] = field(default_factory=dict)
    calls: int = 0
    refused: int = 0
    _reads: CallRate = field(default_factory=lambda: CallRate(READS_PER_S))
    _writes: CallRate = field(default_factory=lambda: CallRate(WRITES_PER_S))
    _late_writes: set[asyncio.Task[None]] = field(default_factory=set)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_READ_BYTES)
        app.on_response_prepare.append(self._add_era)
        app.router.add_post('/api/rows-tx', self._transact)
        app.router.add_get('/api/rows-get', self._read)
        app.router.add_get('/api/rows-feed', self._feed)
        app.router.add_put('/api/blob-put/{name}', self._put_object)
        app.router.add_get('/api/blob-get/{name}', self._get_object)
        return app

    async def _transact(self, request: web.Request) -> web.Response:
        self._count_call()
        body = await request.read()
        transaction = orjson.loads(body)
        refusal = refusal_of(transaction, len(body))
        if refusal is None and not self._writes.admits_call():
            refusal = HTTPStatus.TOO_MANY_REQUESTS
        if refusal is not None:
            return self._refuse(refusal)
        if self.faults.late_by_s:
            self._apply_later(transaction)
            return _abort_connection(request)
        rows = self.rows.conflicts(transaction)
        if rows is None:
            self.rows.apply(transaction)
        if self.faults.loses_answers:
            return _abort_connection(request)
        if rows is not None:
            return _json({'Rows': rows}, status=HTTPStatus.PRECONDITION_FAILED)
        return _json({'RowVersion': self.rows.revision, 'NowMs': _now_ms()})

    def _apply_later(self, transaction: Json) -> None:
        task = asyncio.ensure_future(self._apply_late(transaction))
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)

    async def _apply_late(self, transaction: Json) -> None:
        await asyncio.sleep(self.faults.late_by_s)
        if self.rows.conflicts(transaction) is None:
            self.rows.apply(transaction)

    async def _read(self, request: web.Request) -> web.Response:
        self._count_call()
        if self.faults.is_down:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        if not self._reads.admits_call():
            return self._refuse(HTTPStatus.TOO_MANY_REQUESTS)
        source = request.query.get('Source', '')
        limit = int(request.query.get('Limit', MAX_ROWS))
        rows = sorted(
            (
                row
                for (table, key), row in self.rows.rows_by_id.items()
                if table == request.query['Table'] and key >= source
            ),
            key=lambda row: row.key,
        )
        return _json(
            {
                'Rows': [row.to_response() for row in rows[:limit]],
                'HasMore': len(rows) > limit,
                'RowVersion': self.rows.revision,
                'NowMs': _now_ms(),
            }
        )

    async def _feed(self, request: web.Request) -> web.Response:
        self._count_call()
        since = int(request.query['SinceRev'])
        wait_s = int(request.query['WaitMs']) / MS_PER_S
        if self.faults.is_down:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        if not self._reads.admits_call():
            return self._refuse(HTTPStatus.TOO_MANY_REQUESTS)
        if not self.rows.truncated_revision <= since <= self.rows.revision:
            return web.Response(status=HTTPStatus.GONE)
        era = self.rows.era
        rows = await self.rows.changes(request.query['Table'], since, wait_s)
        if era != self.rows.era:
            return _abort_connection(request)
        return _json(
            {
                'Rows': [row.to_response() for row in rows],
                'RowVersion': self.rows.revision,
                'NowMs': _now_ms(),
            }
        )

    async def _put_object(self, request: web.Request) -> web.Response:
        self._count_call()
        name = request.match_info['name']
        self.objects_by_name[name] = await request.read()
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.Response:
        self._count_call()
        body = self.objects_by_name.get(request.match_info['name'])
        if body is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(body=body)

    async def _add_era(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers['Store-Era'] = str(self.rows.era)

    def _refuse(self, status: HTTPStatus) -> web.Response:
        self.refused += 1
        return web.Response(status=status)

    def _count_call(self) -> None:
        self.calls += 1


def _json(fields: Json, status: int = HTTPStatus.OK) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(fields),
        content_type='application/json',
    )


def _now_ms() -> float:
    return time.monotonic() * MS_PER_S


def _abort_connection(request: web.Request) -> web.Response:
    """Close the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
