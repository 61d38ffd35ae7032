"""One soak from start to verdict."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import aiohttp

from .callers import Caller, RequestSort, Told
from .checks import (
    check_exits,
    check_runs,
    check_stops,
    check_told,
    check_versions,
    count_endings,
)
from .faults import Faults
from .plan import plan_faults
from .site import GRACE_S, METRICS_PORT, SoakSite, run_beside
from .wishes import SoakWishes

LOOK_INTERVAL_S = 0.1
STATE_TIMEOUT_S = 0.5
SETTLING_S = 10.0
# More than there are callers, so that no two share their draws.
CALLER_SEEDS = 1000
# A stop may begin to cut what runs this long before its time is over.
SPARE_S = 1.0
TRACEBACK = 'Traceback (most recent call last)'


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What a soak saw; it passed if nothing was violated."""

    seed: int
    requests: int
    endings: Mapping[str, int]
    runs: int
    faults: Mapping[str, int]
    violations: tuple[str, ...]


@dataclass(slots=True)
class Soak:
    """Runs a site under load and faults, and checks the promises."""

    wishes: SoakWishes
    told: list[Told] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    versions_by_life: dict[str, list[int]] = field(default_factory=dict)

    async def run(self) -> SoakReport:
        """Soak, and return what was seen."""
        site = SoakSite(self.wishes)
        faults = Faults(site)
        async with AsyncExitStack() as stack:
            stack.callback(_kill_all, site)
            await site.start(stack)
            await run_beside(stack, site)
            session = await stack.enter_async_context(aiohttp.ClientSession())
            await self._play(site, faults, session)
            await self._end(site, session)
        self.violations.extend(self._judge(site, faults))
        return SoakReport(
            seed=self.wishes.seed,
            requests=len(self.told),
            endings=count_endings(self.told),
            runs=site.judge.runs,
            faults={str(kind): times for kind, times in faults.shown.items()},
            violations=tuple(self.violations),
        )

    async def _play(
        self,
        site: SoakSite,
        faults: Faults,
        session: aiohttp.ClientSession,
    ) -> None:
        tasks = [
            asyncio.ensure_future(caller.run())
            for caller in self._callers(site)
        ]
        tasks.append(asyncio.ensure_future(self._watch(site, session)))
        await self._recover(site, 'the start')
        await faults.show(plan_faults(self.wishes))
        await self._recover(site, 'the last fault')
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _callers(self, site: SoakSite) -> list[Caller]:
        return [
            Caller(
                f'caller-{number}',
                random.Random(CALLER_SEEDS * self.wishes.seed + number),
                site.caller_addresses,
                self.told,
            )
            for number in range(self.wishes.callers)
        ]

    async def _recover(self, site: SoakSite, since: str) -> None:
        """Wait until each router has served each sort of request again."""
        began_at = asyncio.get_running_loop().time()
        first = len(self.told)
        wanted = {
            (number, sort)
            for number in range(len(site.routers))
            for sort in RequestSort
        }
        loop = asyncio.get_running_loop()
        while loop.time() - began_at < self.wishes.recovery_s:
            served = {
                (one.router, one.sort)
                for one in self.told[first:]
                if one.is_served() and one.began_at >= began_at
            }
            if wanted <= served:
                return
            await asyncio.sleep(LOOK_INTERVAL_S)
        self.violations.append(f'not recovered from {since}')

    async def _watch(
        self,
        site: SoakSite,
        session: aiohttp.ClientSession,
    ) -> None:
        """Follow the version that each life of a router has in force."""
        while True:
            for router in site.routers:
                life = f'{router.name}.{router.life}'
                state = await _state(session, router.ip)
                version = state.get('configuration')
                if isinstance(version, int):
                    self.versions_by_life.setdefault(life, []).append(version)
            await asyncio.sleep(LOOK_INTERVAL_S)

    async def _end(
        self,
        site: SoakSite,
        session: aiohttp.ClientSession,
    ) -> None:
        """Check what is left over, then stop all routers."""
        loop = asyncio.get_running_loop()
        until = loop.time() + SETTLING_S
        left = [text async for text in self._left_over(site, session)]
        while left and loop.time() < until:
            await asyncio.sleep(LOOK_INTERVAL_S)
            left = [text async for text in self._left_over(site, session)]
        self.violations.extend(left)
        for router in site.routers:
            router.send(signal.SIGTERM)
        await asyncio.gather(*(one.wait() for one in site.routers))

    async def _left_over(
        self,
        site: SoakSite,
        session: aiohttp.ClientSession,
    ) -> AsyncIterator[str]:
        for engine in site.engines:
            if engine.running:
                yield f'{engine.engine_id} still runs {engine.running}'
        for router in site.routers:
            state = await _state(session, router.ip)
            running = state.get('running')
            if running:
                yield f'{router.name} still counts {running}'
            if state.get('configuration') != site.version:
                yield f'{router.name} has not configuration {site.version}'

    def _judge(self, site: SoakSite, faults: Faults) -> Iterator[str]:
        events = site.engines[0].events
        for one in self.told:
            yield from check_told(one, events)
        runs = Counter(
            arrival.attempt_id
            for engine in site.engines
            for arrival in engine.received_requests
        )
        yield from check_runs(self.told, runs)
        exits = [end for router in site.routers for end in router.exits]
        yield from check_exits(exits, GRACE_S)
        yield from check_stops(
            self.told, exits, faults.links.struck, runs, GRACE_S - SPARE_S
        )
        for life, seen in self.versions_by_life.items():
            for wrong in check_versions(seen):
                yield f'{life}: {wrong}'
        yield from site.judge.violations
        yield from self._tracebacks()

    def _tracebacks(self) -> Iterator[str]:
        for path in sorted(self.wishes.folder.glob('*.log')):
            if TRACEBACK in path.read_text(errors='replace'):
                yield f'{path.name} holds a traceback'


async def _state(
    session: aiohttp.ClientSession,
    ip: str,
) -> Mapping[str, object]:
    timeout = aiohttp.ClientTimeout(total=STATE_TIMEOUT_S)
    url = f'http://{ip}:{METRICS_PORT}/state'
    try:
        async with session.get(url, timeout=timeout) as answer:
            state: Mapping[str, object] = await answer.json()
            return state
    except (aiohttp.ClientError, TimeoutError, OSError):
        # A router that is down or paused tells nothing.
        return {}


def _kill_all(site: SoakSite) -> None:
    for router in site.routers:
        router.send(signal.SIGKILL)
