"""The components that entries and controllers have in common."""

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from aiohttp import ClientSession, web
from grpc import aio

from ..connection import (
    Operators,
    PlatformHttp,
    bound_port,
    intake,
    make_stops_api,
    node_session,
    serve,
)
from ..connection.exchange import MembershipService, PeerClient
from ..connection.peers import PeerChannels, bind, peer_server
from ..connection.site import Site, StateService
from ..connection.versions import VersionClient, VersionsService
from ..errors import RudderError
from ..intake import (
    ConnectionRegister,
    DescriptorBudget,
    MemoryBudget,
    Surroundings,
)
from ..process.clock import Clock, SystemClock
from ..process.invariants import Invariants
from ..process.loops import repeat
from ..process.membership import (
    Membership,
    Node,
    read_nodes,
    register,
)
from ..process.metrics import Metrics
from ..process.settings import Listener, NodeSettings
from ..process.state import StateDump
from ..version import VersionHolder, VersionStore
from ..version.distribution import HEAD_POLL_S, VersionDistributor
from ..wire import nodes_pb2_grpc, peers_pb2_grpc, versions_pb2_grpc

EXCHANGE_INTERVAL_S = 1
REGISTRATION_INTERVAL_S = 5
STEP_JITTER = 0.1
OPERATORS = 'operators'


@dataclass(slots=True)
class NodeRuntime:
    """The components that every process of the system has."""

    settings: NodeSettings
    role: str
    clock: Clock = field(default_factory=SystemClock)
    rng: random.Random = field(default_factory=random.SystemRandom)
    metrics: Metrics = field(default_factory=Metrics)
    state: StateDump = field(default_factory=StateDump)
    holder: VersionHolder = field(default_factory=VersionHolder)
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)
    is_draining: bool = False
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    operator_routes: list[web.RouteDef] = field(default_factory=list)
    register: ConnectionRegister = field(init=False)
    invariants: Invariants = field(init=False)
    channels: PeerChannels = field(init=False)
    session: ClientSession = field(init=False)
    platform: PlatformHttp = field(init=False)
    store: VersionStore = field(init=False)
    peer_server: aio.Server = field(init=False)
    membership: Membership = field(init=False)
    peers: PeerClient = field(init=False)
    distributor: VersionDistributor = field(init=False)

    def __post_init__(self) -> None:
        """Create the components that need no running event loop."""
        budget = MemoryBudget.of_vm(self.settings.memory_mb)
        descriptors = DescriptorBudget.of_process()
        self.register = ConnectionRegister(
            budget,
            self.metrics,
            Surroundings(
                lambda connections: descriptors.excess(
                    connections, self.register.opened.served
                ),
                spare=descriptors.spare,
            ),
        )
        self.invariants = Invariants(self.metrics)
        self.holder.invariants = self.invariants
        self.channels = PeerChannels(self.settings.peers.tls)

    async def open_clients(self) -> None:
        """Open the clients that need a running event loop."""
        self.session = await self.stack.enter_async_context(node_session())
        platform = self.settings.platform
        self.platform = PlatformHttp(
            self.session,
            platform.url,
            platform.timeout_s,
        )
        self.store = VersionStore(self.platform)

    async def open_peers(self) -> None:
        """Bind the peers' port; services can be added until it starts."""
        self.stack.push_async_callback(self.channels.close)
        self.peer_server = peer_server()
        port = bind(self.peer_server, self.settings.peers)
        host = self.settings.peers.host
        own = Node(
            node_id=self.settings.node_id,
            incarnation=uuid.uuid4().hex,
            failure_domain=self.settings.failure_domain,
            role=self.role,
            address=Listener(host=host, port=port).address,
        )
        self.membership = Membership(own, self.clock)
        service = MembershipService(
            self.membership,
            self.holder,
            lambda: self.is_draining,
        )
        self._open_spread()
        self.peers = PeerClient(
            self.channels, service, self.distributor.fetch_if_newer
        )
        peers_pb2_grpc.add_MembershipServicer_to_server(
            service,
            self.peer_server,
        )
        versions_pb2_grpc.add_VersionsServicer_to_server(
            VersionsService(self.holder, self.distributor.relay),
            self.peer_server,
        )
        nodes_pb2_grpc.add_StateServicer_to_server(
            StateService(self.state),
            self.peer_server,
        )

    async def start_peers(self) -> None:
        """Start the server of the peers' port."""
        await self.peer_server.start()
        self.stack.push_async_callback(self.peer_server.stop, 0)

    async def listen_operators(
        self,
        is_ready: Callable[[], bool],
    ) -> int:
        """Start the operators' port and return its number."""
        stops = make_stops_api(
            self.platform,
            self.holder,
            self.membership.nodes,
        )
        operators = Operators(
            token=self.settings.operators_token,
            metrics=self.metrics,
            state=self.state,
            holder=self.holder,
            store=self.store,
            is_ready=is_ready,
            publish=self.distributor.publish,
            site=Site(self.state, self.membership, self.channels),
            routes=[*stops.routes(), *self.operator_routes],
        )
        app = operators.app()
        runner = await self.listen_http(app, self.settings.operators, OPERATORS)
        return bound_port(runner)

    async def listen_http(
        self,
        app: web.Application,
        listener: Listener,
        name: str,
    ) -> web.AppRunner:
        """Open an HTTP port and return its runner."""
        held_to = intake(self.register, always_admits=name == OPERATORS)
        runner = await serve(app, listener, name, held_to)
        self.stack.push_async_callback(runner.cleanup)
        return runner

    def start_common_steps(self) -> None:
        """Start the periodic steps that every process has."""
        self._register_state()
        self.start_step(self.distributor.poll, HEAD_POLL_S, 'poll_head')
        self.start_step(
            self._exchange_membership, EXCHANGE_INTERVAL_S, 'exchange'
        )
        self.start_step(
            self._register_node, REGISTRATION_INTERVAL_S, 'register'
        )

    def start_step(
        self,
        step: Callable[[], Awaitable[object]],
        interval_s: float,
        name: str,
    ) -> None:
        """Repeat a step until the process stops."""
        loop = repeat(step, interval_s, name, self.metrics)
        self.tasks.append(asyncio.create_task(loop, name=name))

    async def close(self) -> None:
        """Stop the steps and close all ports and clients."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.stack.aclose()

    def _open_spread(self) -> None:
        self.distributor = VersionDistributor(
            holder=self.holder,
            store=self.store,
            membership=self.membership,
            peers=VersionClient(self.channels, self.holder),
            clock=self.clock,
            metrics=self.metrics,
        )
        self.stack.push_async_callback(self.distributor.close)

    def _register_state(self) -> None:
        own = self.membership.own
        self.state.register(
            'node',
            lambda: {
                'node_id': own.node_id,
                'role': own.role,
                'failure_domain': own.failure_domain,
                'region': self.settings.region,
                'incarnation': own.incarnation,
                'draining': self.is_draining,
                'tasks': len(asyncio.all_tasks()),
            },
        )
        self.state.register('version', self.holder.dump)
        self.state.register('peers', self.membership.dump)
        self.state.register('metrics', self.metrics.dump)
        self.state.register('invariants', self.invariants.dump)
        self.state.register('memory', self.register.budget.dump)

    async def _register_node(self) -> None:
        await register(self.platform, self.membership.own)
        self.membership.add_nodes(await read_nodes(self.platform))

    async def _exchange_membership(self) -> None:
        peers = [node.address for node in self.membership.nodes()][1:]
        addresses = {*peers, *self.settings.peer_seeds}
        await asyncio.gather(
            *(self._exchange_membership_with(address) for address in addresses),
        )
        self.distributor.has_asked_peers = True

    async def _exchange_membership_with(self, address: str) -> None:
        try:
            await self.peers.exchange(address)
        except RudderError as error:
            self.metrics.count('failed_exchanges', code=error.code)
