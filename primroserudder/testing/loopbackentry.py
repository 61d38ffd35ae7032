"""The caller port of an entry with stand-in engines, over loopback."""

from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace

from aiohttp import ClientSession, web

from ..connection.callers import Callers
from ..connection.enginehttp import EngineHttp
from ..connection.http import bound_port, serve
from ..process.groups import GroupRecord
from ..process.invariants import Invariants
from ..process.settings import Listener
from ..request.attempts import Server
from ..standins.enginehttp import EngineStandin
from ..version.holder import VersionHolder
from . import builders
from .serverharness import ServerHarness

MAX_BODY_BYTES = 1_048_576


@dataclass(slots=True)
class LoopbackEntry:
    """The data plane of one entry and its engines, without a platform."""

    bench: ServerHarness = field(default_factory=ServerHarness)
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)
    callers: Callers = field(init=False)
    session: ClientSession = field(init=False)
    url: str = ''

    async def __aenter__(self) -> 'LoopbackEntry':
        """Open all ports."""
        for group in tuple(self.bench.directory.by_id.values()):
            await self._serve_engines(group)
        await self.stack.enter_async_context(self.bench)
        self.session = await self.stack.enter_async_context(
            ClientSession(
                headers={'Authorization': f'Bearer {builders.KEY}'},
            ),
        )
        self.bench.server = Server(
            self.bench.server.router,
            EngineHttp(self.session),
            self.bench.clock,
            self.bench.metrics,
        )
        holder = VersionHolder()
        holder.offer(builders.version())
        self.callers = Callers(
            server=self.bench.server,
            holder=holder,
            clock=self.bench.clock,
            metrics=self.bench.metrics,
            invariants=Invariants(self.bench.metrics),
            max_body_bytes=MAX_BODY_BYTES,
        )
        address = await self.listen(self.callers.app())
        self.url = f'http://{address}'
        return self

    async def __aexit__(self, *failure: object) -> None:
        """Close all ports."""
        await self.stack.aclose()

    async def listen(self, app: web.Application) -> str:
        """Serve an application and return its address."""
        runner = await serve(app, Listener(port=0), 'test')
        self.stack.push_async_callback(runner.cleanup)
        port = bound_port(runner)
        return f'127.0.0.1:{port}'

    async def _serve_engines(self, group: GroupRecord) -> None:
        engines = self.bench.engines.by_address
        members = []
        for member in group.members:
            engine = engines.pop(member.address)
            address = await self.listen(EngineStandin(engine).app())
            engines[address] = engine
            members.append(replace(member, address=address))
        self.bench.directory.update(replace(group, members=tuple(members)))
