"""The soaked site: store, engines and links in this process, routers beside.

Explanation
===========
Each router has a loopback address of its own, so that its ports are the same
in all of its lives and collide with nobody's.
"""

import asyncio
import itertools
import os
from collections.abc import Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from aiohttp import web

from ..standins.tablestore import TableStore
from ..testing.platformsite import GROUP_SIZE, LOOPBACK, configuration
from .engines import SoakEngine
from .judge import GroupJudge
from .links import Link
from .processes import RouterProcess
from .wishes import SoakWishes

STALL_S = 2.5
GRACE_S = 6.0
FABRIC_DOMAINS = 3
FAILURE_DOMAINS = 3
CALLERS_PORT = 8227
READINESS_PORT = 8220
INNER_PORT = 7340
METRICS_PORT = 9464
MILLISECONDS = 1000
# Second and third number of the addresses, by the soak's process id.
NETWORKS = 250
FIRST_HOST = 2


@dataclass(slots=True)
class SoakSite:
    """Everything that runs, by name."""

    wishes: SoakWishes
    store: TableStore = field(default_factory=TableStore)
    judge: GroupJudge = field(
        default_factory=lambda: GroupJudge(GROUP_SIZE, STALL_S)
    )
    engines: list[SoakEngine] = field(default_factory=list)
    routers: list[RouterProcess] = field(default_factory=list)
    caller_links: list[Link] = field(default_factory=list)
    store_links: list[Link] = field(default_factory=list)
    version: int = 1
    store_address: str = ''
    _hosts: Iterator[int] = field(
        default_factory=lambda: itertools.count(FIRST_HOST)
    )

    async def start(self, stack: AsyncExitStack) -> None:
        """Start the stand-ins, the links and the routers."""
        self.store_address = await _serve(stack, self.store.app())
        self.store.rows.put('op', 'config', configuration(self.version))
        total = self.wishes.engines + self.wishes.plain_engines
        for number in range(total):
            await self._add_engine(stack, number)
        for number in range(self.wishes.routers):
            await self._add_router(stack, number)

    def change_configuration(self) -> None:
        """Put another version in force, as the operator does."""
        self.version += 1
        self.store.rows.put('op', 'config', configuration(self.version))

    def struck_engine(self, target: int) -> SoakEngine:
        """Return the engine that a fault strikes, often one that works."""
        working = [engine for engine in self.engines if engine.running]
        wants_working, number = target % 2, target // 2
        struck = working if wants_working and working else self.engines
        return struck[number % len(struck)]

    def caller_addresses(self) -> list[str]:
        """Return where callers reach each router."""
        return [link.address for link in self.caller_links]

    def new_router(self, number: int) -> RouterProcess:
        """Return a router at an address that none had before."""
        network = os.getpid() % NETWORKS + 1
        host = next(self._hosts)
        ip = f'127.{network}.{number}.{host}'
        name = f'vm-{number}-{host}'
        callers = f'{ip}:{CALLERS_PORT}'
        self.caller_links[number].target = callers
        settings = {
            'node': name,
            'ip': ip,
            'failure_domain': _failure_domain(number),
            'callers': callers,
            'readiness': f'{ip}:{READINESS_PORT}',
            'inner_ports': [INNER_PORT, INNER_PORT + 1],
            'store': self.store_links[number].address,
            'stall_ms': STALL_S * MILLISECONDS,
            'grace_s': GRACE_S,
            'metrics_port': METRICS_PORT,
        }
        return RouterProcess(name, number, ip, settings, self.wishes.folder)

    async def _add_engine(self, stack: AsyncExitStack, number: int) -> None:
        is_plain = number >= self.wishes.engines
        engine = SoakEngine(
            f'i-{number}',
            '',
            self.store,
            domain=_fabric_domain(number),
            service='ledger' if is_plain else 'model',
            is_plain=is_plain,
            failure_domain=_failure_domain(number),
            observer=self.judge,
        )
        engine.link.target = await _serve(stack, engine.app())
        await engine.link.start(LOOPBACK)
        stack.push_async_callback(engine.link.close)
        engine.address = engine.link.address
        self.engines.append(engine)
        self.judge.engines_by_id[engine.engine_id] = engine
        engine.register()

    async def _add_router(self, stack: AsyncExitStack, number: int) -> None:
        store_link = Link(self.store_address)
        caller_link = Link()
        for link in (store_link, caller_link):
            await link.start(LOOPBACK)
            stack.push_async_callback(link.close)
        self.store_links.append(store_link)
        self.caller_links.append(caller_link)
        router = self.new_router(number)
        self.routers.append(router)
        await router.start()


def _failure_domain(number: int) -> str:
    domain = number % FAILURE_DOMAINS
    return f'fd-{domain}'


def _fabric_domain(number: int) -> str:
    domain = number % FABRIC_DOMAINS
    return f'd{domain}'


async def _serve(stack: AsyncExitStack, app: web.Application) -> str:
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, LOOPBACK, 0).start()
    host, port = runner.addresses[0][:2]
    return f'{host}:{port}'


async def run_beside(stack: AsyncExitStack, site: SoakSite) -> None:
    """Let the judge look on until the stack is left."""
    task = asyncio.ensure_future(site.judge.run())
    stack.callback(task.cancel)
