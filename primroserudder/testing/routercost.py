"""The ``bin/router-cost`` program: a router's CPU time a request and event.

Explanation
===========
One real router serves streams of two lengths from stand-in engines on
loopback. The cost of a request and of an event follow from the two sums of CPU
time. Another checkout of this repository can be measured with the same
stand-ins, to compare two versions on one machine.
"""

import argparse
import asyncio
import os
import pathlib
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import orjson
from aiohttp import ClientSession, DummyCookieJar

from .platformsite import HOST, KEY, PlatformSite, platform_site
from .routerprocess import router_settings, start_router

SHORT_EVENTS = 1
LONG_EVENTS = 41
EVENT_S = 0.01
ENGINES = 8
# Requests of a caller that run at the same time.
AT_ONCE = 8
US_PER_S = 1_000_000
BODY_BYTES = 800
BODY = bytes(BODY_BYTES)
DEFAULT_REQUESTS = 400
# Fields of /proc/PID/stat after the name, counted from the state.
USER_TIME = 11
SYSTEM_TIME = 12


@dataclass(frozen=True, slots=True)
class RouterCost:
    """CPU time of a router, in microseconds and in shares of a core."""

    request_us: float
    event_us: float
    rest_share: float


@dataclass(slots=True)
class MeasuredRouter:
    """A router process under measurement, and its site."""

    site: PlatformSite
    session: ClientSession
    pid: int
    callers: str

    def cpu_s(self) -> float:
        """Return the CPU time of the process so far, in seconds."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        times = stat.rpartition(')')[2].split()
        ticks = int(times[USER_TIME]) + int(times[SYSTEM_TIME])
        return ticks / os.sysconf('SC_CLK_TCK')

    async def until_serving(self) -> None:
        """Wait until a stream is answered."""
        while not await self._stream():
            await asyncio.sleep(EVENT_S)

    async def cost_of(self, requests: int, events: int) -> float:
        """Return the CPU time of some streams, in seconds."""
        for engine in self.site.engines_by_id.values():
            engine.events = events
            engine.event_s = EVENT_S
        before = self.cpu_s()
        slots = asyncio.Semaphore(AT_ONCE)
        await asyncio.gather(*(self._stream_in(slots) for _ in range(requests)))
        return self.cpu_s() - before

    async def rest_share(self, seconds: float) -> float:
        """Return the share of a core that the router takes without load."""
        before = self.cpu_s()
        await asyncio.sleep(seconds)
        return (self.cpu_s() - before) / seconds

    async def _stream_in(self, slots: asyncio.Semaphore) -> None:
        async with slots:
            await self._stream()

    async def _stream(self) -> bool:
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            'X-Primroserudder-Model': 'small',
            'X-Primroserudder-Deadline-Ms': '5000',
        }
        url = f'http://{self.callers}/notes/1'
        try:
            async with self.session.post(
                url, headers=headers, data=BODY
            ) as response:
                await response.read()
                return response.ok
        except OSError:
            return False


@asynccontextmanager
async def measured_router(
    source: pathlib.Path, profile: str = ''
) -> AsyncIterator[MeasuredRouter]:
    """Run a router of a checkout before stand-in engines."""
    async with AsyncExitStack() as stack:
        site = await stack.enter_async_context(
            platform_site(engines=ENGINES, routers=0)
        )
        settings = router_settings(site.store_address)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / 'router.json'
        path.write_bytes(orjson.dumps(settings))
        process = await start_router(source, path, profile)
        session = await stack.enter_async_context(
            ClientSession(cookie_jar=DummyCookieJar())
        )
        router = MeasuredRouter(
            site, session, process.pid, str(settings['callers'])
        )
        await router.until_serving()
        yield router
        process.terminate()
        await process.wait()


async def measure(
    source: pathlib.Path, requests: int, profile: str = ''
) -> RouterCost:
    """Return the costs of a checkout's router."""
    async with measured_router(source, profile) as router:
        rest_share = await router.rest_share(2)
        await router.cost_of(requests // 4, SHORT_EVENTS)
        short_s = await router.cost_of(requests, SHORT_EVENTS)
        long_s = await router.cost_of(requests, LONG_EVENTS)
    event_s = (long_s - short_s) / requests / (LONG_EVENTS - SHORT_EVENTS)
    request_s = short_s / requests - SHORT_EVENTS * event_s
    return RouterCost(request_s * US_PER_S, event_s * US_PER_S, rest_share)


def main() -> int:
    """Print the costs of this checkout, and of another one if given."""
    arguments = _parser().parse_args()
    here = pathlib.Path(__file__).parents[2]
    for source in (here, *arguments.beside):
        cost = asyncio.run(
            measure(source.resolve(), arguments.requests, arguments.profile)
        )
        sys.stdout.write(
            f'{source}: {cost.request_us:.0f} us a request,'
            f' {cost.event_us:.1f} us an event,'
            f' {cost.rest_share:.3f} of a core at rest\n'
        )
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='bin/router-cost',
        description="Measures a router's CPU time a request and an event.",
    )
    parser.add_argument('--requests', type=int, default=DEFAULT_REQUESTS)
    parser.add_argument(
        '--beside',
        type=pathlib.Path,
        action='append',
        default=[],
        metavar='FOLDER',
        help='another checkout to measure with the same stand-ins',
    )
    parser.add_argument(
        '--profile', default='', metavar='FILE', help='write a profile'
    )
    return parser


if __name__ == '__main__':
    sys.exit(main())
