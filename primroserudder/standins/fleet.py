"""Starts and stops all stand-ins of one process."""

from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from aiohttp import web

from ..connection.http import bound_port, serve
from ..process.clock import SystemClock
from ..process.platform import VmListing, VmState
from ..process.settings import Listener
from .engine import Engine, EngineSpeed
from .enginehttp import EngineStandin
from .memory import MemoryPlatform
from .plain import PlainStandin
from .platformhttp import PlatformStandin
from .settings import EngineFleet, StandinSettings


@dataclass(slots=True)
class Standins:
    """Stand-ins of the platform, the engines and the plain services."""

    settings: StandinSettings
    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    engines_by_vm: dict[str, Engine] = field(default_factory=dict)
    plain_by_name: dict[str, PlainStandin] = field(default_factory=dict)
    ports_by_name: dict[str, int] = field(default_factory=dict)
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def start(self) -> None:
        """Start all stand-ins and open their ports."""
        await self._listen(
            PlatformStandin(self.platform).app(),
            'platform',
            self.settings.host,
            self.settings.platform_port,
        )
        for plain in self.settings.plain:
            standin = PlainStandin(plain.name)
            self.plain_by_name[plain.name] = standin
            app = standin.app()
            await self._listen(app, plain.name, plain.host, plain.port)
        for fleet in self.settings.fleets:
            for index in range(fleet.count):
                await self._start_engine(fleet, index)

    async def stop(self) -> None:
        """Close all ports."""
        await self.stack.aclose()

    async def _start_engine(self, fleet: EngineFleet, index: int) -> None:
        vm_id = f'{fleet.failure_domain}-{fleet.pool}-vm{index}'
        speed = EngineSpeed(**self.settings.speed.model_dump())
        engine = Engine(
            vm_id,
            SystemClock(),
            honours_fencing=fleet.honours_fencing,
            speed=speed,
        )
        self.engines_by_vm[vm_id] = engine
        requested_port = fleet.first_port + index if fleet.first_port else 0
        app = EngineStandin(engine).app()
        port = await self._listen(app, vm_id, fleet.first_host, requested_port)
        fabric = index // fleet.vms_per_fabric_domain
        self.platform.vms_by_id[vm_id] = VmListing(
            vm_id=vm_id,
            address=f'{fleet.first_host}:{port}',
            failure_domain=fleet.failure_domain,
            fabric_domain=f'{fleet.failure_domain}-f{fabric}',
            pool=fleet.pool,
            state=VmState.LIVE,
        )

    async def _listen(
        self,
        app: web.Application,
        name: str,
        host: str,
        port: int,
    ) -> int:
        runner = await serve(app, Listener(host=host, port=port), name)
        self.stack.push_async_callback(runner.cleanup)
        self.ports_by_name[name] = bound_port(runner)
        return self.ports_by_name[name]
