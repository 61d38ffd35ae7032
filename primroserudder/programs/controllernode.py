"""A controller: forms the groups of its failure domain."""

from dataclasses import dataclass, field

from ..connection.enginehttp import EngineHttp
from ..process.controller import Controller
from ..process.groups import GroupDirectory
from ..process.lease import LEASE_RENEWAL_S, Lease
from ..process.settings import ControllerSettings
from .evidencesteps import EvidenceSteps
from .leavingparts import make_leaving
from .node import NodeRuntime

RECONCILE_INTERVAL_S = 0.5


@dataclass(slots=True)
class ControllerNode:
    """The components of a controller process."""

    settings: ControllerSettings
    runtime: NodeRuntime = field(init=False)
    controller: Controller = field(init=False)
    evidence: EvidenceSteps = field(init=False)
    operators_port: int = 0

    def __post_init__(self) -> None:
        """Create the components that need no running event loop."""
        self.runtime = NodeRuntime(self.settings, 'controller')

    async def start(self) -> None:
        """Open the ports and start the periodic steps."""
        runtime = self.runtime
        await runtime.open_clients()
        await runtime.open_peers()
        self._create_components()
        await runtime.start_peers()
        self.operators_port = await runtime.listen_operators(lambda: True)
        runtime.start_common_steps()
        self.evidence.start()
        lease = self.controller.lease
        runtime.start_step(lease.renew, LEASE_RENEWAL_S, 'renew_lease')
        runtime.start_step(
            self.controller.reconcile,
            RECONCILE_INTERVAL_S,
            'reconcile',
        )

    async def stop(self) -> None:
        """Close the ports; the lease is not released but expires."""
        await self.runtime.close()

    def _create_components(self) -> None:
        runtime = self.runtime
        lease = Lease(
            runtime.platform,
            runtime.clock,
            self.settings.failure_domain,
            runtime.membership.own.incarnation,
        )
        directory = GroupDirectory()
        engines = EngineHttp(runtime.session)
        self.evidence = EvidenceSteps(runtime, directory, engines)
        self.evidence.sharing.wants_uses = True
        self.controller = Controller(
            platform=runtime.platform,
            engines=engines,
            holder=runtime.holder,
            lease=lease,
            directory=directory,
            drain_coordinator=make_leaving(runtime, lease, self.evidence.uses),
        )
        runtime.state.register(
            'leaving', self.controller.drain_coordinator.dump
        )
        runtime.state.register(
            'lease',
            lambda: {
                'held': lease.is_held(),
                'fencing': lease.fencing,
                'holder': lease.holder,
            },
        )
        runtime.state.register('groups', self.controller.directory.dump)
        runtime.state.register('outages', self.controller.outages.dump)
