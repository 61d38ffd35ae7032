"""Upstream, settings and baseline relay of the relay benchmark."""

import asyncio
import pathlib
import socket
from contextlib import suppress
from dataclasses import dataclass

import orjson
from aiohttp import ClientSession, TCPConnector, web

from ..connection.http import bound_port, serve
from ..process.engines import EngineLoad, EngineStatus
from ..process.groups import (
    GroupRecord,
    GroupState,
    Member,
    group_to_fields,
)
from ..process.platform import Transaction, Write
from ..process.settings import Listener
from ..standins.memory import MemoryPlatform
from ..standins.platformhttp import PlatformStandin
from ..version.store import VersionStore
from .benchupstream import BenchEngine, BenchProtocol
from .common import EXIT_OK
from .demo import EXAMPLE

HOST = '127.0.0.1'
DOMAIN = 'fd-1'
VM = 'bench-vm'
PORTS_FILE = 'ports.json'
ENTRY_FILE = 'entry.json'


async def serve_upstream(directory: pathlib.Path) -> int:
    """Serve platform and engine; write ports and entry settings to files."""
    engine = BenchEngine(orjson.dumps(_status()))
    server = await asyncio.get_running_loop().create_server(
        lambda: BenchProtocol(engine),
        HOST,
        0,
    )
    engine_port = server.sockets[0].getsockname()[1]
    platform = MemoryPlatform()
    await VersionStore(platform).submit(EXAMPLE.read_bytes(), 0, 'bench')
    await platform.commit(_bench_group(f'{HOST}:{engine_port}'))
    app = PlatformStandin(platform).app()
    runner = await serve(app, Listener(port=0), 'platform')
    ports = {'engine': engine_port, **_free_ports()}
    (directory / ENTRY_FILE).write_bytes(
        orjson.dumps(_entry_settings(ports, bound_port(runner))),
    )
    (directory / PORTS_FILE).write_bytes(orjson.dumps(ports))
    await engine.run()
    return EXIT_OK


def _status() -> dict[str, object]:
    status = EngineStatus(
        vm_id=VM,
        incarnation='1',
        group_id='bench',
        generation=1,
        model='ledger-7b',
        model_version='v1',
        members=(VM,),
        ready=True,
    )
    fields = {name: getattr(status, name) for name in status.__slots__}
    load = {name: getattr(EngineLoad(), name) for name in EngineLoad.__slots__}
    return {**fields, 'load': load}


def _bench_group(address: str) -> Transaction:
    group = GroupRecord(
        group_id='bench',
        deployment='ledger-model',
        failure_domain=DOMAIN,
        fabric_domain='bench',
        generation=1,
        members=(Member(VM, address, '1'),),
        model='ledger-7b',
        model_version='v1',
        state=GroupState.SERVING,
    )
    return Transaction((), (Write(group.key, group_to_fields(group)),))


def _free_ports() -> dict[str, int]:
    names = ('entry', 'operators', 'baseline')
    return {name: _free_port() for name in names}


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def _entry_settings(ports: dict[str, int], platform: int) -> object:
    return {
        'node_id': 'bench-entry',
        'failure_domain': DOMAIN,
        'platform': {'url': f'http://{HOST}:{platform}'},
        'operators': {'port': ports['operators']},
        'operators_token': 'bench-operators-token',
        'peers': {'port': 0},
        'callers': {'port': ports['entry']},
        'logs': {'level': 'ERROR'},
    }


async def serve_baseline(directory: pathlib.Path) -> int:
    """Serve a relay that only forwards responses."""
    ports = orjson.loads((directory / PORTS_FILE).read_bytes())
    engine = ports['engine']
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        relay = BareRelay(session, f'http://{HOST}:{engine}')
        app = web.Application()
        app.router.add_post('/v1/completions', relay.relay)
        await serve(app, Listener(port=ports['baseline']), 'baseline')
        await asyncio.Event().wait()
    return EXIT_OK


@dataclass(slots=True)
class BareRelay:
    """Relay that shows the cost of the HTTP library alone."""

    session: ClientSession
    url: str

    async def relay(self, request: web.Request) -> web.StreamResponse:
        """Forward one request and stream its response back."""
        body = await request.read()
        call = self.session.post(f'{self.url}{request.path}', data=body)
        response = web.StreamResponse()
        async with call as upstream:
            await response.prepare(request)
            # The load generator closes its connections after measuring.
            with suppress(ConnectionResetError):
                async for chunk in upstream.content.iter_any():
                    await response.write(chunk)
                await response.write_eof()
        return response
