"""The ``bin/memory-bound`` program: a router's memory under slow callers.

Explanation
===========
One real router serves long streams to callers that read nothing, and other
requests meanwhile. The command prints the router's memory at rest and at its
peak, how many slow callers lost their connections, and how many of the other
requests were served. It fails if the peak exceeds the bound, or if more than
one in a hundred of the other requests is not served. With ``--crowd`` callers
that don't behave take their place.
"""

import argparse
import asyncio
import os
import pathlib
import resource
import socket
import sys
import tempfile
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import orjson
from aiohttp import ClientError, ClientSession, DummyCookieJar

from .crowdbound import measure_crowd
from .crowdedrouter import VmLimits
from .crowds import CROWDS
from .platformsite import (
    HOST,
    KEY,
    LOOPBACK,
    PlatformSite,
    RouteTimes,
    platform_site,
)
from .processuse import resident_mb
from .routerprocess import router_settings, start_router

SMALLEST_VM_MB = 152
SLOW_CALLERS = 1000
SECONDS = 20.0
ENGINES = 16
SLOTS = 200
# The router keeps some engines as spares.
GROUPS = 6
EVENT_BYTES = 8000
TIMEOUT_MS = 600_000
# Callers wait for a slot up to a third of it.
OBJECTIVE_MS = 30_000
EVENT_S = 0.25
# Callers that connect one after the other; a burst overruns their backlog.
CONNECT_PAUSE_S = 0.003
SAMPLE_S = 0.05
OTHER_PAUSE_S = 0.05
SERVED_SHARE = 0.99
# Small, so that little of a stream is held outside of the router.
RECEIVE_BUFFER_BYTES = 4096


@dataclass(frozen=True, slots=True)
class MemoryLoad:
    """What is played against the router."""

    memory_mb: int = SMALLEST_VM_MB
    slow_callers: int = SLOW_CALLERS
    seconds: float = SECONDS
    event_bytes: int = EVENT_BYTES
    event_s: float = EVENT_S


@dataclass(slots=True)
class MemoryOutcome:
    """What was seen; memory is resident, in megabytes."""

    rest_mb: float = 0
    peak_mb: float = 0
    end_mb: float = 0
    lost_connections: int = 0
    running_at_end: int = 0
    served: int = 0
    failed: int = 0
    refusals: Mapping[str, float] = field(default_factory=dict)

    @property
    def served_share(self) -> float:
        """Return the share of the other requests that were served."""
        return self.served / max(1, self.served + self.failed)

    def is_within(self, memory_mb: int) -> bool:
        """Return whether the bound was kept and others were served."""
        return self.peak_mb <= memory_mb and self.served_share >= SERVED_SHARE


@dataclass(slots=True)
class _Measurement:
    """A router under load."""

    load: MemoryLoad
    site: PlatformSite
    session: ClientSession
    callers: str
    metrics: str
    pid: int
    outcome: MemoryOutcome = field(default_factory=MemoryOutcome)
    _slow: list[socket.socket] = field(default_factory=list)

    async def run(self) -> MemoryOutcome:
        """Play the load and return what was seen."""
        outcome = self.outcome
        # Groups form sooner before the first request.
        await self.site.until(lambda: len(self.site.heads()) >= GROUPS)
        while not await self._request('/lookups/1'):
            await asyncio.sleep(SAMPLE_S)
        while not await self._request('/notes/1'):
            await asyncio.sleep(SAMPLE_S)
        outcome.rest_mb = resident_mb(self.pid)
        self._set_streams()
        sampling = asyncio.ensure_future(self._sample())
        others = asyncio.ensure_future(self._send_others())
        await self._connect_all()
        await asyncio.sleep(self.load.seconds)
        for task in (sampling, others):
            task.cancel()
        outcome.end_mb = resident_mb(self.pid)
        outcome.running_at_end = sum(
            each.running for each in self.site.engines_by_id.values()
        )
        outcome.lost_connections = sum(map(_is_lost, self._slow))
        outcome.refusals = await self._refusals()
        for slow in self._slow:
            slow.close()
        return outcome

    def _set_streams(self) -> None:
        load = self.load
        for engine in self.site.engines_by_id.values():
            engine.events = int(2 * load.seconds / load.event_s)
            engine.event_s = load.event_s
            engine.event_bytes = load.event_bytes

    async def _refusals(self) -> Mapping[str, float]:
        async with self.session.get(f'http://{self.metrics}/state') as response:
            state = orjson.loads(await response.read())
        return {
            name.partition('=')[2].rstrip('}'): count
            for name, count in state['metrics']['counters'].items()
            if name.startswith('rudder_refusals_total')
        }

    async def _connect_all(self) -> None:
        host, _, port = self.callers.rpartition(':')
        loop = asyncio.get_running_loop()
        for number in range(self.load.slow_callers):
            slow = socket.socket()
            slow.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            slow.setblocking(False)
            self._slow.append(slow)
            await loop.sock_connect(slow, (host, int(port)))
            await loop.sock_sendall(slow, _stream_request(number))
            await asyncio.sleep(CONNECT_PAUSE_S)

    async def _sample(self) -> None:
        while True:
            self.outcome.peak_mb = max(
                self.outcome.peak_mb, resident_mb(self.pid)
            )
            await asyncio.sleep(SAMPLE_S)

    async def _send_others(self) -> None:
        while True:
            if await self._request('/lookups/1'):
                self.outcome.served += 1
            else:
                self.outcome.failed += 1
            await asyncio.sleep(OTHER_PAUSE_S)

    async def _request(self, path: str) -> bool:
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            'X-Primroserudder-Model': 'small',
        }
        try:
            async with self.session.post(
                f'http://{self.callers}{path}', headers=headers
            ) as response:
                await response.read()
                return response.ok
        except (ClientError, OSError):
            return False


def _stream_request(number: int) -> bytes:
    fields = (
        'POST /notes/1 HTTP/1.1',
        f'Host: {HOST}',
        f'Authorization: Bearer {KEY}',
        f'X-Primroserudder-Attempt-Id: slow-{number}',
        'X-Primroserudder-Model: small',
        'X-Primroserudder-Deadline-Ms: 600000',
        'Content-Length: 4',
        '',
        'text',
    )
    return '\r\n'.join(fields).encode()


def _is_lost(slow: socket.socket) -> bool:
    """Return whether a caller's connection was reset."""
    return slow.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


@asynccontextmanager
async def _measured(
    source: pathlib.Path, load: MemoryLoad, log: str
) -> AsyncIterator[_Measurement]:
    async with AsyncExitStack() as stack:
        site = await stack.enter_async_context(
            platform_site(
                engines=ENGINES,
                routers=0,
                slots=SLOTS,
                times=RouteTimes(TIMEOUT_MS, OBJECTIVE_MS),
            )
        )
        settings = router_settings(site.store_address, memory_mb=load.memory_mb)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / 'router.json'
        path.write_bytes(orjson.dumps(settings))
        process = await start_router(source, path, log=log)
        session = await stack.enter_async_context(
            ClientSession(cookie_jar=DummyCookieJar())
        )
        metrics_port = settings['metrics_port']
        yield _Measurement(
            load,
            site,
            session,
            str(settings['callers']),
            f'{LOOPBACK}:{metrics_port}',
            process.pid,
        )
        process.kill()
        await process.wait()


async def measure(
    source: pathlib.Path, load: MemoryLoad, log: str = os.devnull
) -> MemoryOutcome:
    """Return what a checkout's router does under a load."""
    async with _measured(source, load, log) as measured:
        return await measured.run()


def main() -> int:
    """Print what was seen, and return whether the bound was kept."""
    arguments = _parser().parse_args()
    _raise_file_limit()
    if arguments.crowd:
        return _play_crowd(arguments)
    load = MemoryLoad(
        arguments.memory_mb,
        arguments.callers,
        arguments.seconds,
        arguments.event_bytes,
        arguments.event_s,
    )
    outcome = asyncio.run(
        measure(arguments.source.resolve(), load, arguments.log)
    )
    is_within = outcome.is_within(load.memory_mb)
    verdict = 'kept' if is_within else 'NOT KEPT'
    sys.stdout.write(
        f'{load.slow_callers} callers that read nothing, {load.seconds:.0f} s,'
        f' bound {load.memory_mb} MB: at rest {outcome.rest_mb:.1f} MB,'
        f' peak {outcome.peak_mb:.1f}, at the end {outcome.end_mb:.1f};'
        f' {outcome.lost_connections} connections lost,'
        f' {outcome.running_at_end} streams at engines at the end;'
        f' refused by code: {dict(outcome.refusals)};'
        f' other requests: {outcome.served} served, {outcome.failed} failed:'
        f' {verdict}\n'
    )
    return 0 if is_within else 1


def _play_crowd(arguments: argparse.Namespace) -> int:
    limits = VmLimits(arguments.memory_mb)
    outcome = asyncio.run(
        measure_crowd(
            arguments.source.resolve(),
            limits,
            arguments.crowd,
            arguments.callers,
            arguments.log,
        )
    )
    is_within = outcome.is_within(limits)
    verdict = 'kept' if is_within else 'NOT KEPT'
    sys.stdout.write(
        f'{arguments.crowd}, {arguments.callers} callers, bound'
        f' {limits.memory_mb} MB: {outcome}: {verdict}\n'
    )
    return 0 if is_within else 1


def _raise_file_limit() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='bin/memory-bound',
        description="Measures a router's memory under callers that don't read.",
    )
    parser.add_argument('--callers', type=int, default=SLOW_CALLERS)
    parser.add_argument(
        '--crowd',
        choices=CROWDS,
        help="play a crowd of callers that don't behave instead",
    )
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument('--memory-mb', type=int, default=SMALLEST_VM_MB)
    parser.add_argument('--event-bytes', type=int, default=EVENT_BYTES)
    parser.add_argument('--event-s', type=float, default=EVENT_S)
    parser.add_argument(
        '--source',
        type=pathlib.Path,
        default=pathlib.Path(__file__).parents[2],
        metavar='FOLDER',
        help='another checkout whose router is measured',
    )
    parser.add_argument(
        '--log',
        default=os.devnull,
        metavar='FILE',
        help="where the router's log lines go",
    )
    return parser


if __name__ == '__main__':
    sys.exit(main())
