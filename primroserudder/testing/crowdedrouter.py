"""A real router on loopback that a crowd calls, with lowered limits."""

import asyncio
import os
import pathlib
import tempfile
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus

import orjson
from aiohttp import ClientError, ClientSession, DummyCookieJar

from .crowdcallers import CrowdPlay
from .crowdtarget import Target
from .platformsite import (
    HOST,
    KEY,
    LOOPBACK,
    POLL_INTERVAL_S,
    PlatformSite,
    configuration,
    platform_site,
)
from .routerprocess import router_settings, start_router

SOURCE = pathlib.Path(__file__).parents[2]
# Streams and bodies of a crowd may last for longer than any test.
TIMEOUT_MS = 600_000
# Callers wait for a slot up to a third of it.
OBJECTIVE_MS = 30_000
HEADER_TIMEOUT_MS = 1000
SLOTS = 50
PLAIN_ENGINES = 2
ORDINARY_PATH = '/lookups/1'
TARGET = Target(
    HOST,
    KEY,
    path='/notes/1',
    short_path=ORDINARY_PATH,
    fields={
        'X-Primroserudder-Attempt-Id': 'crowd',
        'X-Primroserudder-Model': 'small',
        'X-Primroserudder-Deadline-Ms': str(TIMEOUT_MS),
    },
    stream_body=b'text',
)


@dataclass(frozen=True, slots=True)
class VmLimits:
    """Limits of the VM in the settings of its router."""

    memory_mb: int = 100
    max_descriptors: int = 4000


@dataclass(slots=True)
class CrowdedRouter:
    """The router's process, and the site that it serves."""

    process: Process
    site: PlatformSite
    session: ClientSession
    settings: Mapping[str, object]

    @property
    def callers(self) -> str:
        """Return the address for callers."""
        return str(self.settings['callers'])

    @property
    def readiness(self) -> str:
        """Return the address for health checks."""
        return str(self.settings['readiness'])

    @property
    def exchange(self) -> str:
        """Return the address for other routers."""
        ports = self.settings['inner_ports']
        first = ports[0] if isinstance(ports, list) else ports
        return f'{LOOPBACK}:{first}'

    @property
    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self.process.returncode is None

    def play(self, address: str, target: Target = TARGET) -> CrowdPlay:
        """Return a play of a crowd that calls one of the ports."""
        return CrowdPlay(self.process.pid, address, target)

    async def ordinary_status(self) -> int:
        """Send one ordinary request; return its status, zero for none."""
        return await self._status(
            'POST',
            f'http://{self.callers}{ORDINARY_PATH}',
            {
                'Host': HOST,
                'Authorization': f'Bearer {KEY}',
                'X-Primroserudder-Attempt-Id': 'ordinary',
                'X-Primroserudder-Model': 'small',
            },
        )

    async def readiness_status(self) -> int:
        """Send one health check; return its status, zero for none."""
        return await self._status(
            'GET', f'http://{self.readiness}/api/readyz', {}
        )

    async def _status(
        self, method: str, url: str, headers: Mapping[str, str]
    ) -> int:
        fields = {**headers, 'Connection': 'close'}
        try:
            async with self.session.request(
                method, url, headers=fields
            ) as response:
                await response.read()
                return response.status
        except (ClientError, OSError):
            return 0


@asynccontextmanager
async def crowded_router(
    limits: VmLimits,
    source: pathlib.Path = SOURCE,
    log: str = os.devnull,
    plain: int = PLAIN_ENGINES,
) -> AsyncIterator[CrowdedRouter]:
    """Run a router that has answered an ordinary request."""
    async with AsyncExitStack() as stack:
        site = await stack.enter_async_context(
            platform_site(plain=plain, routers=0)
        )
        site.store.rows.put(
            'op',
            'config',
            configuration(
                version=2,
                slots=SLOTS,
                timeout_ms=TIMEOUT_MS,
                objective_ms=OBJECTIVE_MS,
                Limits={'HeaderTimeoutMs': HEADER_TIMEOUT_MS},
            ),
        )
        settings = router_settings(
            site.store_address,
            memory_mb=limits.memory_mb,
            max_descriptors=limits.max_descriptors,
        )
        session = await stack.enter_async_context(
            ClientSession(cookie_jar=DummyCookieJar())
        )
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / 'router.json'
        path.write_bytes(orjson.dumps(settings))
        process = await start_router(source, path, log=log)
        stack.push_async_callback(_end, process)
        router = CrowdedRouter(process, site, session, settings)
        await _until_served(router)
        yield router


async def _until_served(router: CrowdedRouter) -> None:
    site = router.site
    await site.until(lambda: bool(site.heads()))
    while await router.ordinary_status() != HTTPStatus.OK:
        await asyncio.sleep(POLL_INTERVAL_S)


async def _end(process: Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()
