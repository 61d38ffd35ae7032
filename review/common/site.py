"""A small deployment on loopback for the cases of the review.

The store and the engines are the project's own stand-ins and run in this
process, as do the clients. The routers are separate processes, started with the
command of the deploy file. Each router reaches the store through a proxy.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

from primroserudder.standins.groupengine import GroupEngine
from primroserudder.standins.tablestore import TableStore

LOOPBACK = '127.0.0.1'
HOST = 'one.example'
KEY = 'key-of-north'
FIRST_PORT = 11_000
LAST_PORT = 29_000
READY_TIMEOUT_S = 25.0
GRACE_S = 8.0
STALL_MS = 4000
HEARTBEAT_S = 1.2
# The routers probe an idle connection after one second, and give it up after
# two probes without an answer.
KEEPALIVE_S = 3.0
ATTEMPT_ID = 'X-Primroserudder-Attempt-Id'

_next_port = FIRST_PORT + os.getpid() * 37 % (LAST_PORT - FIRST_PORT)


def free_port():
    """Return a port that is free for TCP and UDP."""
    global _next_port
    while True:
        _next_port += 1
        if _next_port > LAST_PORT:
            _next_port = FIRST_PORT
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as u:
            try:
                tcp.bind((LOOPBACK, _next_port))
                u.bind((LOOPBACK, _next_port))
            except OSError:
                continue
        return _next_port


class Record:
    """Writes what happens to a file, one line each."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began_at = time.monotonic()

    def note(self, what, **fields):
        """Write a line."""
        at = time.monotonic() - self.began_at
        detail = ' '.join(f'{key}={value}' for key, value in fields.items())
        self.file.write(f'{at:8.3f} {what} {detail}\n')
        self.file.flush()

    def now(self):
        """Return the seconds since the start of the record."""
        return time.monotonic() - self.began_at


class Connection:
    """A connection through a proxy; ``near`` writes to the router."""

    def __init__(self, near):
        self.near = near
        self.active_at = time.monotonic()
        self.is_used_in_vain = False

    def end_if_unused(self):
        """Reset the connection, unless the router has sent something."""
        if not self.is_used_in_vain:
            reset(self.near)


def reset(writer):
    """Reset a connection."""
    connection = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Proxy:
    """A TCP proxy whose connections can go silent, be refused or be reset.

    The routers' keep-alive probes find a silent connection on which they wait
    for nothing. The proxy's own kernel would answer these probes, so that the
    proxy resets such a connection when the probes would have failed. It is no
    help for a call that is sent on a silent connection.
    """

    def __init__(self, target):
        self.target = target
        self.address = ''
        self.refuses = False
        self.hangs = False
        self.delay_s = 0.0
        self.generation = 0
        self._writers = set()
        self._connections = set()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def silence(self):
        """Carry nothing more on the open connections, without closing them."""
        self.generation += 1
        now = time.monotonic()
        loop = asyncio.get_running_loop()
        for connection in tuple(self._connections):
            left_s = connection.active_at + KEEPALIVE_S - now
            loop.call_later(max(left_s, 0), connection.end_if_unused)

    def reset(self):
        """Reset the open connections."""
        for writer in tuple(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        generation = self.generation
        host, _, port = self.target.rpartition(':')
        try:
            onward, out = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, out))
        connection = Connection(writer)
        self._connections.add(connection)
        pumps = [
            asyncio.ensure_future(
                self._pump(reader, out, generation, connection)
            ),
            asyncio.ensure_future(
                self._pump(onward, writer, generation, connection)
            ),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        self._connections.discard(connection)
        for pump in pumps:
            pump.cancel()
        for each in (writer, out):
            self._writers.discard(each)
            each.transport.abort() if self.refuses else each.close()

    async def _pump(self, reader, writer, generation, connection):
        with contextlib.suppress(OSError):
            while True:
                chunk = await reader.read(65_536)
                if not chunk:
                    return
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.hangs or generation != self.generation:
                    connection.is_used_in_vain |= writer is not connection.near
                    continue
                connection.active_at = time.monotonic()
                writer.write(chunk)
                await writer.drain()


class RouterProcess:
    """One router, started as the deploy file says."""

    def __init__(self, name, zone, store_address, folder, max_fds=0, **changes):
        self.name = name
        self.callers = f'{LOOPBACK}:{free_port()}'
        self.readiness = f'{LOOPBACK}:{free_port()}'
        self.folder = folder
        self.process = None
        self.starts = 0
        # Limit of descriptors, as the platform sets it; the user's if zero.
        self.max_fds = max_fds
        self.settings = {
            'node': name,
            'ip': LOOPBACK,
            'failure_domain': zone,
            'region': 'one',
            'regions_by_domain': {'zone-1': 'one', 'zone-2': 'one'},
            'callers': self.callers,
            'readiness': self.readiness,
            'inner_ports': [free_port(), free_port()],
            'store': store_address,
            'stall_ms': STALL_MS,
            'heartbeat_ms': HEARTBEAT_S * 1000,
            'grace_s': GRACE_S,
            'cpu_share': 0.537,
            'core_speed': 2,
            'link_mbps': 1000.0,
            'memory_mb': 300,
            'metrics_port': free_port(),
            'repeats': {'ratio': 0.2, 'extra': 134, 'window_s': 10},
            **changes,
        }

    async def start(self):
        """Start the process."""
        self.starts += 1
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        log = self.folder / f'{self.name}.{self.starts}.log'
        with log.open('wb') as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'primroserudder.programs.router',
                '--settings',
                str(path),
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self):
        if self.max_fds:
            limits = (self.max_fds, self.max_fds)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def is_running(self):
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        """Send a signal to the process, if it runs."""
        if self.is_running():
            self.process.send_signal(number)

    async def wait_until_ready(self, session):
        """Wait until the router says that it is ready."""
        url = f'http://{self.readiness}/api/readyz'
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{self.name} was not ready in time')

    async def state(self, session):
        """Return the state that the router dumps for operators."""
        async with session.get(f'http://{self.readiness}/state') as answer:
            return await answer.json()

    async def end(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Site:
    """Store, engines, routers and a session for clients."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = TableStore()
        self.store_address = ''
        self.engines = {}
        self.members_by_group = {}
        self.routers = []
        self.proxies = []
        self.session = None
        self.configuration = {}
        self._runners = []
        self._tasks = []

    async def __aenter__(self):
        # A case that takes too long still ends the processes that it started.
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=10),
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
        )
        self.store_address = await self.serve(self.store.app())
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        for router in self.routers:
            await router.end()
        await self.session.close()
        for runner in self._runners:
            await runner.cleanup()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def serve(self, app, port=0):
        """Serve an application, on a free port if none is given."""
        runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0
        )
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, LOOPBACK, port).start()
        host, port = runner.addresses[0][:2]
        return f'{host}:{port}'

    async def stop_serving(self, address):
        """Close a port and all connections to it."""
        for runner in self._runners:
            if f'{LOOPBACK}:{runner.addresses[0][1]}' == address:
                self._runners.remove(runner)
                await runner.cleanup()
                return

    def start_task(self, coroutine):
        """Run a coroutine until the site ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def add_engine(self, engine):
        """Serve an engine and list it."""
        engine.address = await self.serve(engine.app())
        self.engines[engine.engine_id] = engine
        engine.register()
        return engine

    async def add_plain(self, name, service, zone='zone-1', **options):
        """Add an engine of a plain service."""
        return await self.add_engine(
            GroupEngine(
                name,
                '',
                self.store,
                service=service,
                is_plain=True,
                failure_domain=zone,
                **options,
            )
        )

    async def add_router(self, zone, **changes):
        """Start a router whose way to the store is a proxy of its own."""
        proxy = Proxy(self.store_address)
        await proxy.start()
        name = f'edge-{zone}-{len(self.routers) + 1}'
        router = RouterProcess(
            name, zone, proxy.address, self.folder, **changes
        )
        self.routers.append(router)
        self.proxies.append(proxy)
        await router.start()
        return router

    async def wait_until_ready(self):
        """Wait until all routers are ready."""
        for router in self.routers:
            await router.wait_until_ready(self.session)

    def configure(self, configuration):
        """Write a configuration; the store's answer is its acknowledgement."""
        self.configuration = configuration
        self.store.rows.put('op', 'config', configuration)
        self.record.note('configured', version=configuration['Version'])

    async def request(self, router, path, attempt_id, body=b'text', **headers):
        """Send a request and return status, headers and body."""
        fields = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            ATTEMPT_ID: attempt_id,
            'X-Primroserudder-Deadline-Ms': '1500',
            **headers,
        }
        url = f'http://{router.callers}{path}'
        try:
            async with self.session.post(
                url, headers=fields, data=body
            ) as answer:
                return answer.status, answer.headers, await answer.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return 0, {}, repr(error).encode()


def plain_route(name, service, kind='non_idempotent', **changes):
    """Return a route to a plain service."""
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': f'/{name}/',
        'RouteKind': kind,
        'TimeoutMs': 1500,
        'SloMs': 400,
        'Service': service,
        'MaxAttempts': 1,
        **changes,
    }


def configuration(version, routes, services, **changes):
    """Return a configuration as operators write it."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Tenants': [{'Name': 'north', 'ApiKeys': [KEY]}],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1048576,
            'HeaderTimeoutMs': 5000,
            'IdleTimeoutMs': 60000,
        },
        **changes,
    }
