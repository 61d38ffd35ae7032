"""A small site on loopback: store, engines and routers in one process."""

import asyncio
import itertools
import os
import socket
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from dataclasses import dataclass, field
from types import MappingProxyType

from aiohttp import ClientResponse, ClientSession, DummyCookieJar, web

from ..fleet.router import Router
from ..fleet.settings import RouterSettings
from ..standins.groupengine import GroupEngine
from ..standins.tablestore import TableStore

LOOPBACK = '127.0.0.1'
HOST = 'one.example'
KEY = 'key-of-north'
WORKSPACE = 'north'
NO_FIELDS: Mapping[str, str] = MappingProxyType({})
NO_CHANGES: Mapping[str, object] = MappingProxyType({})
POLL_INTERVAL_S = 0.01
GROUP_SIZE = 2
FAILURE_DOMAIN = 'fd-1'
SLOTS = 4
TIMEOUT_MS = 4000
OBJECTIVE_MS = 400
PORTS = range(10_000, 30_000)
PORT_STEP = 1009
# Longer than the notice that a stopping router gives.
GRACE_S = 5
# Engines take larger heads than the routers.
ENGINE_HEAD_BYTES = 65_536
# The process of a test holds the callers and engines too.
MEMORY_MB = 4000


@dataclass(frozen=True, slots=True)
class RouteTimes:
    """Times of the route of streams, in milliseconds."""

    timeout_ms: int = TIMEOUT_MS
    objective_ms: int = OBJECTIVE_MS


USUAL_TIMES = RouteTimes()


@dataclass(slots=True)
class PlatformSite:
    """The running parts of the site and their addresses."""

    store: TableStore
    store_address: str = ''
    engines_by_id: dict[str, GroupEngine] = field(default_factory=dict)
    routers: list[Router] = field(default_factory=list)
    session: ClientSession | None = None
    _numbers: 'itertools.count[int]' = field(default_factory=itertools.count)

    def url(self, path: str, router: int = 0) -> str:
        """Return the URL of a path at a router's caller port."""
        address = self.routers[router].settings.callers
        return f'http://{address}{path}'

    def request(
        self,
        path: str,
        method: str = 'POST',
        *,
        headers: Mapping[str, str] = NO_FIELDS,
        body: bytes = b'text',
        router: int = 0,
    ) -> AbstractAsyncContextManager[ClientResponse]:
        """Send a request as a caller does."""
        if self.session is None:
            raise RuntimeError('the site is not running; use platform_site()')
        fields = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            'X-Primroserudder-Attempt-Id': f'attempt-{next(self._numbers)}',
            'X-Primroserudder-Model': 'small',
            'X-Primroserudder-Deadline-Ms': '5000',
            **headers,
        }
        return self.session.request(
            method, self.url(path, router), headers=fields, data=body
        )

    def arrivals(self, attempt_id: str) -> list[str]:
        """Return the ids of the engines that a request reached."""
        return [
            engine_id
            for engine_id, engine in self.engines_by_id.items()
            for arrival in engine.received_requests
            if arrival.attempt_id == attempt_id
        ]

    def heads(self) -> list[GroupEngine]:
        """Return the engines that are the heads of open groups."""
        return [
            engine for engine in self.engines_by_id.values() if engine.is_open()
        ]

    async def restart_routers(self) -> None:
        """Replace each router by a new one with the same settings."""
        for number, router in enumerate(self.routers):
            await router.close()
            settings = router.settings.model_copy(
                update={'is_first_start': False}
            )
            self.routers[number] = Router(settings)
            await self.routers[number].start()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition is true."""
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)


def configuration(
    version: int = 1,
    *,
    slots: int = SLOTS,
    timeout_ms: int = TIMEOUT_MS,
    objective_ms: int = OBJECTIVE_MS,
    **changes: object,
) -> Mapping[str, object]:
    """Return a configuration in the format that operators submit."""
    stream = {
        'Name': 'notes',
        'Host': HOST,
        'Prefix': '/notes/',
        'RouteKind': 'streaming',
        'TimeoutMs': timeout_ms,
        'SloMs': objective_ms,
        'Service': 'model',
        'MaxAttempts': 3,
        'Resumable': True,
    }
    plain = {
        'Name': 'refunds',
        'Host': HOST,
        'Prefix': '/refunds/',
        'RouteKind': 'non_idempotent',
        'TimeoutMs': 1500,
        'SloMs': 400,
        'Service': 'ledger',
        'MaxAttempts': 1,
    }
    lookup = {
        **plain,
        'Name': 'lookups',
        'Prefix': '/lookups/',
        'RouteKind': 'idempotent',
        'MaxAttempts': 2,
    }
    model = {
        'Name': 'small',
        'size': GROUP_SIZE,
        'Share': 1.0,
        'LoadS': 0.05,
        'WarmS': 0.02,
    }
    engine = {
        'Slots': slots,
        'Models': [model],
        'LoadsPerS': 100,
        'loads_at_once': 8,
    }
    return {
        'Version': version,
        'Routes': [stream, plain, lookup],
        'Services': [
            {'Name': 'model', 'MaxConns': 50, 'Engine': engine},
            {'Name': 'ledger', 'MaxConns': 50},
        ],
        'Tenants': [{'Name': WORKSPACE, 'ApiKeys': [KEY]}],
        **changes,
    }


@asynccontextmanager
async def platform_site(
    engines: int = 6,
    plain: int = 2,
    routers: int = 1,
    *,
    is_configured: bool = True,
    domains: Sequence[str] = (FAILURE_DOMAIN,),
    slots: int = SLOTS,
    times: RouteTimes = USUAL_TIMES,
    router_changes: Mapping[str, object] = NO_CHANGES,
) -> AsyncIterator[PlatformSite]:
    """Run a site; its engines are listed and its routers are started.

    Parameters
    ==========
    domains : Sequence of str
        Failure domains of the engines, in turn. The engines of each have one
        fabric domain.
    """
    site = PlatformSite(TableStore())
    async with AsyncExitStack() as stack:
        site.session = await stack.enter_async_context(
            ClientSession(cookie_jar=DummyCookieJar())
        )
        site.store_address = await _serve(stack, site.store.app())
        if is_configured:
            site.store.rows.put(
                'op',
                'config',
                configuration(
                    slots=slots,
                    timeout_ms=times.timeout_ms,
                    objective_ms=times.objective_ms,
                ),
            )
        for number in range(engines + plain):
            await _add_engine(
                stack,
                site,
                number,
                slots,
                domains[number % len(domains)],
                is_plain=number >= engines,
            )
        for number in range(routers):
            await _add_router(stack, site, number, router_changes)
        yield site


async def _add_engine(
    stack: AsyncExitStack,
    site: PlatformSite,
    number: int,
    slots: int,
    domain: str,
    *,
    is_plain: bool,
) -> None:
    engine = GroupEngine(
        f'i-{number}',
        '',
        site.store,
        domain=f'd-{domain}',
        failure_domain=domain,
        is_plain=is_plain,
        slots=slots,
    )
    if is_plain:
        engine.service = 'ledger'
    engine.address = await _serve(stack, engine.app())
    site.engines_by_id[engine.engine_id] = engine
    engine.register()


async def _add_router(
    stack: AsyncExitStack,
    site: PlatformSite,
    number: int,
    changes: Mapping[str, object],
) -> None:
    ports = free_ports(5)
    settings = RouterSettings.model_validate(
        {
            'node': f'vm-{number}',
            'ip': LOOPBACK,
            'failure_domain': FAILURE_DOMAIN,
            'region': 'north',
            'regions_by_domain': {FAILURE_DOMAIN: 'north', 'fd-2': 'south'},
            'callers': f'{LOOPBACK}:{ports[0]}',
            'readiness': f'{LOOPBACK}:{ports[1]}',
            'inner_ports': (ports[2], ports[3]),
            'store': site.store_address,
            'metrics_port': ports[4],
            'grace_s': GRACE_S,
            'memory_mb': MEMORY_MB,
            'is_first_start': True,
            **changes,
        }
    )
    router = Router(settings)
    await router.start()
    site.routers.append(router)
    stack.push_async_callback(_close_router, site, number)


async def _close_router(site: PlatformSite, number: int) -> None:
    await site.routers[number].close()


async def _serve(stack: AsyncExitStack, app: web.Application) -> str:
    # Engines record a body as it was sent, whatever its coding.
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        shutdown_timeout=POLL_INTERVAL_S,
        auto_decompress=False,
        max_field_size=ENGINE_HEAD_BYTES,
        max_headers=ENGINE_HEAD_BYTES,
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, LOOPBACK, 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return f'{host}:{port}'


def free_ports(count: int) -> Sequence[int]:
    """Return ports that are free for TCP now, and assumed free for UDP.

    Explanation
    ===========
    They lie below the range from which the system takes the ports of outgoing
    connections: one of these could take a port before a router opens it.
    """
    return list(itertools.islice(filter(_is_free, _ports), count))


def _is_free(port: int) -> bool:
    with socket.socket() as unbound:
        try:
            unbound.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


# Processes that run tests at the same time begin at different ports.
_ports = itertools.islice(
    itertools.cycle(PORTS), os.getpid() * PORT_STEP % len(PORTS), None
)
