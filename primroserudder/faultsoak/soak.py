"""Runs one soak and checks its results."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import aiohttp

from .callers import Caller, Exchange, RequestKind
from .checks import (
    check_exchange,
    check_exits,
    check_requests,
    check_runs,
    check_stops,
    check_versions,
    count_endings,
)
from .faults import FaultRunner
from .options import SoakOptions
from .plan import plan_faults
from .site import GRACE_S, METRICS_PORT, SoakSite, run_group_checker

POLL_INTERVAL_S = 0.1
STATE_TIMEOUT_S = 0.5
SETTLING_S = 10.0
# More than the number of callers, so that no two callers share a seed.
CALLER_SEED_STRIDE = 1000
# A stopping router may cut requests this long before its grace time ends.
CUT_MARGIN_S = 1.0
TRACEBACK = 'Traceback (most recent call last)'


@dataclass(frozen=True, slots=True)
class SoakReport:
    """The results of a soak; it passed if there are no violations."""

    seed: int
    requests: int
    endings: Mapping[str, int]
    runs: int
    faults: Mapping[str, int]
    violations: tuple[str, ...]


@dataclass(slots=True)
class Soak:
    """Runs a site under load and faults, and checks the router's guarantees."""

    options: SoakOptions
    exchanges: list[Exchange] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    versions_by_incarnation: dict[str, list[int]] = field(default_factory=dict)
    request_violations: set[str] = field(default_factory=set)

    async def run(self) -> SoakReport:
        """Run the soak and return its report."""
        site = SoakSite(self.options)
        faults = FaultRunner(site)
        async with AsyncExitStack() as stack:
            stack.callback(_kill_all, site)
            await site.start(stack)
            await run_group_checker(stack, site)
            session = await stack.enter_async_context(aiohttp.ClientSession())
            await self._run_load(site, faults, session)
            await self._finish(site, session)
        self.violations.extend(self._check_results(site, faults))
        return SoakReport(
            seed=self.options.seed,
            requests=len(self.exchanges),
            endings=count_endings(self.exchanges),
            runs=site.group_checker.runs,
            faults={
                str(kind): times for kind, times in faults.injected.items()
            },
            violations=tuple(self.violations),
        )

    async def _run_load(
        self,
        site: SoakSite,
        faults: FaultRunner,
        session: aiohttp.ClientSession,
    ) -> None:
        tasks = [
            asyncio.ensure_future(caller.run())
            for caller in self._callers(site)
        ]
        tasks.append(asyncio.ensure_future(self._record_states(site, session)))
        await self._wait_for_recovery(site, 'the start')
        await faults.inject(plan_faults(self.options))
        await self._wait_for_recovery(site, 'the last fault')
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _callers(self, site: SoakSite) -> list[Caller]:
        return [
            Caller(
                f'caller-{number}',
                random.Random(CALLER_SEED_STRIDE * self.options.seed + number),
                site.caller_addresses,
                self.exchanges,
            )
            for number in range(self.options.callers)
        ]

    async def _wait_for_recovery(self, site: SoakSite, since: str) -> None:
        """Wait until each router has served each kind of request again."""
        began_at = asyncio.get_running_loop().time()
        first_index = len(self.exchanges)
        wanted = {
            (number, kind)
            for number in range(len(site.routers))
            for kind in RequestKind
        }
        loop = asyncio.get_running_loop()
        while loop.time() - began_at < self.options.recovery_s:
            served = {
                (exchange.router, exchange.kind)
                for exchange in self.exchanges[first_index:]
                if exchange.is_served() and exchange.began_at >= began_at
            }
            if wanted <= served:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.violations.append(f'did not recover after {since}')

    async def _record_states(
        self,
        site: SoakSite,
        session: aiohttp.ClientSession,
    ) -> None:
        """Record each router incarnation's configurations and violations."""
        while True:
            for router in site.routers:
                incarnation = f'{router.name}.{router.incarnation}'
                state = await _fetch_state(session, router.ip)
                self.request_violations.update(
                    f'{incarnation}: {violation}'
                    for violation in check_requests(state)
                )
                version = state.get('configuration')
                if isinstance(version, int):
                    self.versions_by_incarnation.setdefault(
                        incarnation, []
                    ).append(version)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _finish(
        self,
        site: SoakSite,
        session: aiohttp.ClientSession,
    ) -> None:
        """Check that no requests remain, then stop all routers."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SETTLING_S
        leftovers = [text async for text in self._find_leftovers(site, session)]
        while leftovers and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
            leftovers = [
                text async for text in self._find_leftovers(site, session)
            ]
        self.violations.extend(leftovers)
        for router in site.routers:
            router.send(signal.SIGTERM)
        await asyncio.gather(*(process.wait() for process in site.routers))

    async def _find_leftovers(
        self,
        site: SoakSite,
        session: aiohttp.ClientSession,
    ) -> AsyncIterator[str]:
        for engine in site.engines:
            if engine.running:
                yield f'{engine.engine_id} still runs {engine.running}'
        for router in site.routers:
            state = await _fetch_state(session, router.ip)
            self.request_violations.update(
                f'{router.name}: {violation}'
                for violation in check_requests(state)
            )
            running = state.get('running')
            if running:
                yield f'{router.name} still reports running requests: {running}'
            if state.get('configuration') != site.version:
                yield (
                    f'{router.name} does not have configuration {site.version}'
                )

    def _check_results(
        self, site: SoakSite, faults: FaultRunner
    ) -> Iterator[str]:
        events = site.engines[0].events
        for exchange in self.exchanges:
            yield from check_exchange(exchange, events)
        runs = Counter(
            arrival.attempt_id
            for engine in site.engines
            for arrival in engine.received_requests
        )
        yield from check_runs(self.exchanges, runs)
        exits = [
            router_exit
            for router in site.routers
            for router_exit in router.exits
        ]
        yield from check_exits(exits, GRACE_S)
        yield from check_stops(
            self.exchanges,
            exits,
            faults.links.caller_link_faults,
            runs,
            GRACE_S - CUT_MARGIN_S,
        )
        for incarnation, versions in self.versions_by_incarnation.items():
            for violation in check_versions(versions):
                yield f'{incarnation}: {violation}'
        yield from sorted(self.request_violations)
        yield from self._check_crashes(faults)
        yield from site.group_checker.violations
        yield from self._tracebacks()

    def _check_crashes(self, faults: FaultRunner) -> Iterator[str]:
        yield from faults.crashing.violations()
        yield from faults.crashing_parts.violations(self.exchanges)

    def _tracebacks(self) -> Iterator[str]:
        for path in sorted(self.options.folder.glob('*.log')):
            if TRACEBACK in path.read_text(errors='replace'):
                yield f'{path.name} contains a traceback'


async def _fetch_state(
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
        # A router that is down or paused does not respond.
        return {}


def _kill_all(site: SoakSite) -> None:
    for router in site.routers:
        router.send(signal.SIGKILL)
