"""The ``bin/upgrade-drill`` program: two builds serve one site.

Explanation
===========
Routers of another checkout and of this one run as processes on one stand-in
site with callers. All VMs are replaced one after the other, with a pause while
half of them are replaced. The command prints what callers and engines saw, and
fails if a request ran twice, a stream was not whole, or a content that crashed
engines was sent on by the other build.
"""

import argparse
import asyncio
import base64
import itertools
import os
import pathlib
import sys
import tempfile
from asyncio.subprocess import Process
from collections import Counter
from collections.abc import Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp
import orjson

from ..standins.groupengine import event
from .platformsite import (
    HOST,
    KEY,
    LOOPBACK,
    PlatformSite,
    free_ports,
    platform_site,
)

ROUTERS = 4
DOMAINS = ('fd-0', 'fd-1')
ENGINES = 8
PLAIN_ENGINES = 4
EVENTS = 5
# Requests a second that each plain engine says it takes.
LIMIT_PER_S = 4
WINDOW_S = 4.0
CALLER_PAUSE_S = 0.06
MIXED_S = 30.0
SETTLING_S = 3.0
GRACE_S = 5
STATE_TIMEOUT_S = 1.0
START_POLL_S = 0.1
CRASH_SENDS = 6
CRASH_PAUSE_S = 1.0
CRASH_PATH = '/lookups/9'
HERE = pathlib.Path(__file__).parents[2]
PATHS = ('/notes/1', '/refunds/1', '/notes/2', '/lookups/1')


@dataclass(slots=True)
class DrillRouter:
    """One VM's router process."""

    name: str
    build: str
    callers: str
    metrics: str
    process: Process
    is_serving: bool = True


@dataclass(slots=True)
class Drill:
    """Routers of two builds, their callers, and what was seen."""

    sources: dict[str, pathlib.Path]
    folder: pathlib.Path
    site: PlatformSite
    session: aiohttp.ClientSession
    routers: list[DrillRouter] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    holders: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    async def run(self, first: str, second: str, mixed_s: float) -> None:
        """Replace all VMs of one build by VMs of the other."""
        for _ in range(ROUTERS):
            self.routers.append(await self._start(first))
        tasks = [asyncio.ensure_future(self._watch_lease())]
        tasks.extend(
            asyncio.ensure_future(self._call(slot)) for slot in range(ROUTERS)
        )
        await asyncio.sleep(SETTLING_S)
        await self._replace_all(second, mixed_s)
        for task in tasks:
            task.cancel()
        await self._report_builds()
        await self._kill_all()

    def report(self) -> Iterator[str]:
        """Yield what was seen, a line each."""
        yield f'answers by build, path and status: {self.statuses}'
        yield f'holders of the lease, in order: {self.holders}'
        yield f'most requests of an engine in 4 s: {self._most_in_window()}'
        yield f'requests that ran twice: {self._ran_twice()}'
        yield f'violations: {self.violations}'

    def _most_in_window(self) -> str:
        most = 0
        for engine in self.site.engines_by_id.values():
            times = [
                arrival.received_at
                for arrival in engine.received_requests
                if engine.is_plain
            ]
            for start in times:
                within = [at for at in times if start <= at < start + WINDOW_S]
                most = max(most, len(within))
        return f'{most} (the limit is {LIMIT_PER_S} a second)'

    def _ran_twice(self) -> list[str]:
        runs = Counter(
            arrival.attempt_id
            for engine in self.site.engines_by_id.values()
            for arrival in engine.received_requests
            if arrival.path == '/refunds/1'
        )
        twice = [attempt for attempt, count in runs.items() if count > 1]
        self.violations.extend(f'{attempt} ran twice' for attempt in twice)
        return twice

    async def _start(self, build: str) -> DrillRouter:
        ports = free_ports(5)
        number = next(self._numbers)
        name = f'{build}-{number}'
        settings = {
            'node': name,
            'ip': LOOPBACK,
            'failure_domain': DOMAINS[number % len(DOMAINS)],
            'callers': f'{LOOPBACK}:{ports[0]}',
            'readiness': f'{LOOPBACK}:{ports[1]}',
            'inner_ports': [ports[2], ports[3]],
            'store': self.site.store_address,
            'metrics_port': ports[4],
            'grace_s': GRACE_S,
        }
        path = self.folder / f'{name}.json'
        path.write_bytes(orjson.dumps(settings))
        source = self.sources[build]
        with path.with_suffix('.log').open('wb') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'primroserudder.programs.router',
                '--settings',
                str(path),
                cwd=source,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONPATH': str(source)},
            )
        router = DrillRouter(
            name,
            build,
            f'{LOOPBACK}:{ports[0]}',
            f'{LOOPBACK}:{ports[4]}',
            process,
        )
        while (await self._send(router, '/notes/1'))[0] != HTTPStatus.OK:
            await asyncio.sleep(START_POLL_S)
        return router

    async def _replace_all(self, build: str, mixed_s: float) -> None:
        """Replace half of the VMs, pause, and replace the others."""
        half = ROUTERS // 2
        for slot in range(ROUTERS):
            if slot == half:
                await self._report_builds()
                await self._crash(slot=ROUTERS - 1, other=0)
                await asyncio.sleep(mixed_s)
            await self._replace(slot, build)
        await asyncio.sleep(SETTLING_S)

    async def _kill_all(self) -> None:
        for router in self.routers:
            router.process.kill()
            await router.process.wait()

    async def _replace(self, slot: int, build: str) -> None:
        leaving = self.routers[slot]
        leaving.is_serving = False
        leaving.process.terminate()
        code = await leaving.process.wait()
        if code:
            self.violations.append(f'{leaving.name} ended with {code}')
        self.routers[slot] = await self._start(build)

    async def _call(self, slot: int) -> None:
        for path in itertools.cycle(PATHS):
            router = self.routers[slot]
            if router.is_serving:
                status, body = await self._send(router, path)
                kind = path.split('/')[1]
                self.statuses[f'{router.build} {kind} {status}'] += 1
                is_stream = path.startswith('/notes')
                if is_stream and status == 200 and body != _whole_stream():
                    self.violations.append(f'a stream of {router.name} broke')
            await asyncio.sleep(CALLER_PAUSE_S)

    async def _crash(self, slot: int, other: int) -> None:
        """Let a content crash engines at one build, then ask the other."""
        body = f'crashing-{next(self._numbers)}'.encode()
        for engine in self.site.engines_by_id.values():
            engine.faults.crashing_bodies.add(body)
        sent = []
        for _ in range(CRASH_SENDS):
            await asyncio.sleep(CRASH_PAUSE_S)
            sent.append(
                (await self._send(self.routers[slot], CRASH_PATH, body))[0]
            )
        before = self._runs_of(body)
        answer = (await self._send(self.routers[other], CRASH_PATH, body))[0]
        more = self._runs_of(body) - before
        names = self.routers[slot].build, self.routers[other].build
        sys.stdout.write(
            f'a crashing content: {sent} at {names[0]}, {before} runs;'
            f' then {answer} at {names[1]}, {more} more runs\n'
        )
        if more:
            self.violations.append('a quarantined content was sent on')

    def _runs_of(self, body: bytes) -> int:
        return sum(
            arrival.body == body
            for engine in self.site.engines_by_id.values()
            for arrival in engine.received_requests
        )

    async def _send(
        self, router: DrillRouter, path: str, body: bytes = b'text'
    ) -> tuple[int, bytes]:
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            'X-Primroserudder-Attempt-Id': f'drill-{next(self._numbers)}',
            'X-Primroserudder-Model': 'small',
            'X-Primroserudder-Deadline-Ms': '3000',
        }
        try:
            async with self.session.post(
                f'http://{router.callers}{path}', headers=headers, data=body
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, OSError):
            return 0, b''

    async def _watch_lease(self) -> None:
        while True:
            row = self.site.store.rows.rows_by_id.get(('leases', 'site'))
            if row is not None and row.value is not None:
                holder = _holder(row.value)
                if self.holders[-1:] != [holder]:
                    self.holders.append(holder)
            await asyncio.sleep(START_POLL_S)

    async def _report_builds(self) -> None:
        router = self.routers[0]
        async with self.session.get(f'http://{router.metrics}/state') as answer:
            state = await answer.json()
        builds, formats = state.get('builds'), state.get('notice_formats')
        unreadable, quarantined = (
            state['unreadable_notices'],
            state['quarantined'],
        )
        sys.stdout.write(
            f'{router.name}: builds {builds}, formats {formats},'
            f' unreadable notices {unreadable}, quarantined {quarantined}\n'
        )


def _holder(encoded: str) -> str:
    """Return the name of the VM in a lease's row."""
    fields = orjson.loads(base64.b64decode(encoded))
    return str(fields['holder']).partition('/')[0]


def _whole_stream() -> bytes:
    return b''.join(map(event, range(1, EVENTS + 1)))


async def drill(
    first: str, sources: dict[str, pathlib.Path], mixed_s: float
) -> bool:
    """Run one order of replacement and return whether all rules held."""
    second = next(build for build in sources if build != first)
    async with AsyncExitStack() as stack:
        site = await stack.enter_async_context(
            platform_site(engines=ENGINES, plain=PLAIN_ENGINES, routers=0)
        )
        for engine in site.engines_by_id.values():
            if engine.is_plain:
                engine.faults.limit = str(LIMIT_PER_S)
        folder = pathlib.Path(tempfile.mkdtemp(prefix='upgrade-'))
        session = await stack.enter_async_context(aiohttp.ClientSession())
        played = Drill(sources, folder, site, session)
        sys.stdout.write(f'{first} is replaced by {second}; logs in {folder}\n')
        await played.run(first, second, mixed_s)
        for line in played.report():
            sys.stdout.write(f'  {line}\n')
        sys.stdout.flush()
        return not played.violations


def main() -> int:
    """Run both orders of replacement."""
    parser = argparse.ArgumentParser(prog='bin/upgrade-drill')
    parser.add_argument('other', type=pathlib.Path, metavar='CHECKOUT')
    parser.add_argument('--seconds', type=float, default=MIXED_S)
    arguments = parser.parse_args()
    sources = {'other': arguments.other.resolve(), 'this': HERE}
    held = [
        asyncio.run(drill(first, sources, arguments.seconds))
        for first in sources
    ]
    return 0 if all(held) else 1


if __name__ == '__main__':
    sys.exit(main())
