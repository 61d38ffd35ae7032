"""The site under test: stand-ins and links in this process, and the routers.

Explanation
===========
Each router has its own loopback address, so that its ports are the same in all
of its incarnations and collide with no other process.
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
from .groupchecker import GroupChecker
from .links import Link
from .options import SoakOptions
from .processes import RouterProcess

STALL_S = 2.5
GRACE_S = 6.0
FABRIC_DOMAINS = 3
FAILURE_DOMAINS = 3
CALLERS_PORT = 8227
READINESS_PORT = 8220
INNER_PORT = 7340
METRICS_PORT = 9464
MS_PER_S = 1000
# The second octet of a router's address depends on the soak's process id.
NETWORKS = 250
FIRST_HOST = 2


@dataclass(slots=True)
class SoakSite:
    """The stand-ins, links and routers of one soak."""

    options: SoakOptions
    store: TableStore = field(default_factory=TableStore)
    group_checker: GroupChecker = field(
        default_factory=lambda: GroupChecker(GROUP_SIZE, STALL_S)
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
        self.store_address = await _start_app(stack, self.store.app())
        self.store.rows.put('op', 'config', configuration(self.version))
        total = self.options.engines + self.options.plain_engines
        for number in range(total):
            await self._add_engine(stack, number)
        for number in range(self.options.routers):
            await self._add_router(stack, number)

    def change_configuration(self) -> None:
        """Write a new configuration version, as an operator does."""
        self.version += 1
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the current configuration version."""
        self.store.rows.put('op', 'config', configuration(self.version))

    def pick_engine(self, target: int) -> SoakEngine:
        """Return the engine for a fault; odd targets prefer a busy engine."""
        busy = [engine for engine in self.engines if engine.running]
        prefers_busy, number = target % 2, target // 2
        candidates = busy if prefers_busy and busy else self.engines
        return candidates[number % len(candidates)]

    def caller_addresses(self) -> list[str]:
        """Return the address of each router's caller link."""
        return [link.address for link in self.caller_links]

    def new_router(self, number: int) -> RouterProcess:
        """Return a router with an address that no router had before."""
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
            'stall_ms': STALL_S * MS_PER_S,
            'grace_s': GRACE_S,
            'metrics_port': METRICS_PORT,
        }
        return RouterProcess(name, number, ip, settings, self.options.folder)

    async def _add_engine(self, stack: AsyncExitStack, number: int) -> None:
        is_plain = number >= self.options.engines
        engine = SoakEngine(
            f'i-{number}',
            '',
            self.store,
            domain=_fabric_domain(number),
            service='ledger' if is_plain else 'model',
            is_plain=is_plain,
            failure_domain=_failure_domain(number),
            observer=self.group_checker,
        )
        engine.link.target = await _start_app(stack, engine.app())
        await engine.link.start(LOOPBACK)
        stack.push_async_callback(engine.link.close)
        engine.address = engine.link.address
        self.engines.append(engine)
        self.group_checker.engines_by_id[engine.engine_id] = engine
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


async def _start_app(stack: AsyncExitStack, app: web.Application) -> str:
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, LOOPBACK, 0).start()
    host, port = runner.addresses[0][:2]
    return f'{host}:{port}'


async def run_group_checker(stack: AsyncExitStack, site: SoakSite) -> None:
    """Run the group checker until the stack is closed."""
    task = asyncio.ensure_future(site.group_checker.run())
    stack.callback(task.cancel)
