"""A failure domain in virtual time: controller, engines and platform."""

import asyncio
import itertools
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from ..errors import RudderError
from ..process.clock import LoopClock
from ..process.controller import Controller
from ..process.draincoordinator import DrainCoordinator
from ..process.drains import GroupDrainer, InFlightCounts, NoInFlightCounts
from ..process.groups import (
    GROUP_PREFIX,
    GroupDirectory,
    GroupRecord,
    GroupState,
    group_from_fields,
)
from ..process.invariants import Invariants
from ..process.lease import LEASE_RENEWAL_S, Lease
from ..process.metrics import Metrics
from ..process.platform import PlatformClient
from ..process.rolloutrows import RolloutRows
from ..process.stopplanner import StopPlanner, StopRequest
from ..process.stops import Stop, StopKind
from ..standins.engine import Engine, GenerationRequest
from ..standins.memory import MemoryPlatform
from ..version.holder import VersionHolder
from . import builders
from .fakes import FakeEngines

STEP_S = 0.5
FABRIC_VMS = 4
TIMEOUT_S = 120


@dataclass(slots=True)
class StopSite:
    """One failure domain with groups of two VMs in one pool."""

    checks_generation: bool = True
    uses: InFlightCounts = field(default_factory=NoInFlightCounts)
    memory: MemoryPlatform = field(default_factory=MemoryPlatform)
    engines: FakeEngines = field(default_factory=FakeEngines)
    holder: VersionHolder = field(default_factory=VersionHolder)
    clock: LoopClock = field(default_factory=LoopClock)
    controllers: dict[str, Controller] = field(default_factory=dict)
    tasks: dict[str, 'asyncio.Task[None]'] = field(default_factory=dict)
    least_serving: int = 0

    @property
    def planner(self) -> StopPlanner:
        """Return the planner through which operators plan stops."""
        return StopPlanner(self.memory, tuple)

    def add_vms(self, count: int) -> None:
        """Add live VMs, four to a fabric domain."""
        first = len(self.memory.vms_by_id)
        for index in range(first, first + count):
            fabric = index // FABRIC_VMS
            vm = builders.vm(index, fabric_domain=f'f{fabric}')
            self.memory.vms_by_id[vm.vm_id] = vm
            engine = Engine(
                vm.vm_id,
                self.clock,
                checks_generation=self.checks_generation,
            )
            self.engines.add(vm.address, engine)

    def configure(self, number: int, groups: int, version: str = 'v1') -> None:
        """Put a configuration in force."""
        deployments: dict[str, dict[str, object]] = {
            builders.DEPLOYMENT: {
                'kind': 'model',
                'pool': 'local',
                'model': 'ledger-7b',
                'model_version': version,
                'group_size': 2,
                'groups_by_failure_domain': {builders.DOMAIN: groups},
            },
        }
        self.holder.offer(builders.version(number, deployments=deployments))

    def start(
        self,
        name: str,
        platform: PlatformClient | None = None,
    ) -> Controller:
        """Start a controller, which waits for the lease."""
        seen = platform or self.memory.seen_by(name)
        lease = Lease(seen, self.clock, builders.DOMAIN, name)
        coordinator = DrainCoordinator(
            platform=seen,
            holder=self.holder,
            drainer=GroupDrainer(
                engines=self.engines.seen_by(name),
                lease=lease,
                clock=self.clock,
                in_flight_counts=self.uses,
            ),
            invariants=Invariants(Metrics()),
            rollouts=RolloutRows(seen, builders.DOMAIN),
        )
        controller = Controller(
            platform=seen,
            engines=self.engines.seen_by(name),
            holder=self.holder,
            lease=lease,
            directory=GroupDirectory(),
            drain_coordinator=coordinator,
        )
        self.controllers[name] = controller
        self.tasks[name] = asyncio.create_task(_control(controller))
        return controller

    def kill(self, name: str) -> None:
        """Kill a controller without a shutdown."""
        self.tasks.pop(name).cancel()

    def groups(self, *states: GroupState) -> Sequence[GroupRecord]:
        """Return the groups of the table, of some states or of all."""
        groups = (
            group_from_fields(row.fields)
            for key, row in sorted(self.memory.rows_by_key.items())
            if key.startswith(GROUP_PREFIX)
        )
        return [
            group for group in groups if not states or group.state in states
        ]

    def serving(self) -> Sequence[GroupRecord]:
        """Return the groups that serve."""
        return self.groups(GroupState.SERVING)

    async def until(
        self,
        is_done: Callable[[], bool],
        limit_s: float = TIMEOUT_S,
    ) -> None:
        """Wait for a state and record the least count of serving groups."""
        self.least_serving = len(self.serving())
        for _ in itertools.repeat(None, int(limit_s / STEP_S) + 1):
            self.least_serving = min(self.least_serving, len(self.serving()))
            if is_done():
                return
            await asyncio.sleep(STEP_S / 10)
            await asyncio.sleep(STEP_S - STEP_S / 10)
        raise AssertionError('the state was not reached')

    async def until_serving(self, count: int) -> None:
        """Wait until exactly so many groups serve."""
        await self.until(lambda: len(self.serving()) == count)

    async def plan(
        self,
        target: str,
        kind: StopKind = StopKind.VM,
        *,
        accepts_loss: bool = False,
    ) -> Stop:
        """Plan a stop whose id is the name of its target."""
        request = StopRequest(target, kind, target, accepts_loss)
        return (await self.planner.plan(request)).stop

    def state_of(self, stop_id: str) -> str:
        """Return the state of a stop."""
        key = f'stops/{builders.DOMAIN}/{stop_id}'
        return str(self.memory.rows_by_key[key].fields['state'])

    def is_safe(self, stop_id: str) -> bool:
        """Return whether a stop is safe."""
        return self.state_of(stop_id) == 'safe'

    def engine(self, vm_id: str) -> Engine:
        """Return a VM's engine."""
        return self.engines.by_address[f'{vm_id}:1']

    def generate(
        self,
        group: GroupRecord,
        tokens: int,
    ) -> 'asyncio.Task[int]':
        """Begin a request at a group; the result counts its tokens."""
        generation_request = GenerationRequest(
            request_id=str(self.clock.monotonic()),
            attempt=1,
            group_id=group.group_id,
            generation=group.generation,
            prompt='p',
            seed=1,
            max_tokens=tokens,
        )
        engine = self.engine(group.leader.vm_id)
        return asyncio.create_task(_count(engine, generation_request))

    def dump(self) -> Mapping[str, object]:
        """Return the drain state of each controller, by name."""
        return {
            name: controller.drain_coordinator.dump()
            for name, controller in self.controllers.items()
        }


async def _count(engine: Engine, generation_request: GenerationRequest) -> int:
    tokens = [token async for token in engine.generate(generation_request)]
    return len(tokens)


async def _control(controller: Controller) -> None:
    for step in itertools.count():
        with suppress(RudderError):
            if step % int(LEASE_RENEWAL_S / STEP_S) == 0:
                await controller.lease.renew()
            await controller.reconcile()
        await asyncio.sleep(STEP_S)
