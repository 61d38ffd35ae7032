"""Serves the in-memory platform over HTTP."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from http import HTTPStatus

import orjson
from aiohttp import web

from ..process.platform import (
    Condition,
    Conflict,
    ObjectMissing,
    OutcomeUnknown,
    PlatformUnavailable,
    Row,
    Transaction,
    Write,
)
from .faults import change_faults
from .memory import MemoryPlatform

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(slots=True)
class PlatformStandin:
    """HTTP handlers of the in-memory platform."""

    platform: MemoryPlatform

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[_error_responses])
        app.add_routes(
            [
                web.post('/table/read', self.read),
                web.post('/table/scan', self.scan),
                web.post('/table/commit', self.commit),
                web.put('/objects/{name:.+}', self.put_object),
                web.get('/objects/{name:.+}', self.get_object),
                web.post('/vms', self.vms),
                web.post('/faults', self.change_faults),
                web.get('/usage', self.usage),
            ]
        )
        return app

    async def read(self, request: web.Request) -> web.Response:
        """Read one row."""
        body = await request.json()
        row = await self._platform_for(request).read(body['key'])
        return _json({'row': None if row is None else _row(row)})

    async def scan(self, request: web.Request) -> web.Response:
        """Read the rows under a prefix."""
        body = await request.json()
        rows = await self._platform_for(request).scan(body['prefix'])
        return _json({'rows': [_row(row) for row in rows]})

    async def commit(self, request: web.Request) -> web.Response:
        """Apply a transaction."""
        body = await request.json()
        transaction = Transaction(
            [Condition(*condition) for condition in body['conditions']],
            [Write(*write) for write in body['writes']],
        )
        await self._platform_for(request).commit(transaction)
        return _json({})

    async def put_object(self, request: web.Request) -> web.Response:
        """Store an object."""
        body = await request.read()
        await self._platform_for(request).put_object(
            request.match_info['name'], body
        )
        return _json({})

    async def get_object(self, request: web.Request) -> web.Response:
        """Return an object."""
        name = request.match_info['name']
        body = await self._platform_for(request).get_object(name)
        return web.Response(body=body)

    async def vms(self, request: web.Request) -> web.Response:
        """Return the list of VMs."""
        listed = await self._platform_for(request).list_vms()
        return _json({'vms': [asdict(vm) for vm in listed]})

    async def change_faults(self, request: web.Request) -> web.Response:
        """Inject or clear faults; only the stand-in's operator calls this."""
        change_faults(self.platform.faults, await request.json())
        return _json({})

    async def usage(self, request: web.Request) -> web.Response:
        """Return the counts of read and write calls."""
        return _json(asdict(self.platform.usage))

    def _platform_for(self, request: web.Request) -> MemoryPlatform:
        return self.platform.seen_by(request.headers.get('Party', ''))


@web.middleware
async def _error_responses(
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    try:
        return await handler(request)
    except (Conflict, ObjectMissing, PlatformUnavailable) as refused:
        return web.Response(status=refused.status)
    except OutcomeUnknown:
        # The connection is closed without a response, as if it were lost.
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)


def _row(row: Row) -> list[object]:
    return [row.key, row.revision, row.fields]


def _json(body: object) -> web.Response:
    return web.Response(
        body=orjson.dumps(body),
        content_type='application/json',
    )
