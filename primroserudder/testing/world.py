"""A simulated failure domain in virtual time.

Explanation
===========
Several controllers compete for one lease, entries probe engines and share
evidence, and VMs, processes, network and platform fail. The components are
the real ones; only their outer interfaces are faked. All randomness comes from
one seed.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from ..errors import InvariantViolation, RudderError
from ..process.clock import LoopClock
from ..process.controller import Controller
from ..process.draincoordinator import DrainCoordinator
from ..process.drains import GroupDrainer, NoInFlightCounts
from ..process.groups import GroupDirectory, group_from_fields
from ..process.invariants import Invariants
from ..process.lease import LEASE_RENEWAL_S, Lease
from ..process.membership import Node
from ..process.metrics import Metrics
from ..process.repair import Hazards
from ..process.rolloutrows import RolloutRows
from ..standins.engine import Engine, EngineSpeed
from ..standins.memory import MemoryPlatform
from ..version.holder import VersionHolder
from . import builders
from .entries import DigestServers, EntryControl
from .fakes import FakeEngines
from .network import Network
from .parties import GroundTruth, PartyPlatform

CONTROLLERS = 3
ENTRIES = 3
FABRICS = 2
VMS_PER_FABRIC = 5
GROUP_SIZE = 2
GROUPS = 3
STEP_S = 0.5
DISPATCH_S = 0.2

Tasks = list[asyncio.Task[None]]


@dataclass(slots=True)
class World:
    """The components of one run."""

    seed: int
    honours_fencing: bool
    rng: random.Random = field(init=False)
    clock: LoopClock = field(default_factory=LoopClock)
    network: Network = field(init=False)
    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    engines: FakeEngines = field(init=False)
    digest_servers: DigestServers = field(init=False)
    truth: GroundTruth = field(init=False)
    invariants: Invariants = field(init=False)
    holder: VersionHolder = field(default_factory=VersionHolder)
    controllers: dict[str, Controller] = field(default_factory=dict)
    entries: dict[str, EntryControl] = field(default_factory=dict)
    tasks: dict[str, Tasks] = field(default_factory=dict)
    dispatches: int = 0
    starts: int = 0

    def __post_init__(self) -> None:
        """Create the VMs and the configuration."""
        self.rng = random.Random(self.seed)
        self.network = Network(random.Random(self.seed + 1))
        self.engines = FakeEngines(network=self.network)
        self.digest_servers = DigestServers(self.network)
        self.truth = GroundTruth(self.engines, self.clock)
        self.invariants = Invariants(Metrics())
        for index in range(FABRICS * VMS_PER_FABRIC):
            self.add_vm(f'vm{index}', f'vm{index}:1', index // VMS_PER_FABRIC)
        pool = {'honours_fencing': self.honours_fencing}
        deployment = builders.model_deployment(GROUPS, GROUP_SIZE)
        version = builders.version(
            pools={'local': pool},
            deployments={builders.DEPLOYMENT: deployment},
        )
        self.holder.offer(version)

    def add_vm(self, vm_id: str, address: str, fabric: int) -> None:
        """Add a VM to the list and start its engine."""
        self.platform.vms_by_id[vm_id] = builders.vm(
            vm_id=vm_id,
            address=address,
            fabric_domain=f'f{fabric}',
        )
        engine = Engine(
            vm_id,
            self.clock,
            honours_fencing=self.honours_fencing,
            checks_generation=self.honours_fencing,
            speed=EngineSpeed(load_s=1),
        )
        self.engines.add(address, engine)

    def start(self) -> None:
        """Start controllers, entries and the check of the actual state."""
        for index in range(CONTROLLERS):
            self.start_controller(f'c{index}')
        for index in range(ENTRIES):
            self.start_entry(f'e{index}')
        self._run('truth', self.truth.watch())

    def stop(self) -> None:
        """Stop all processes."""
        for name in tuple(self.tasks):
            self.crash(name)

    def crash(self, name: str) -> None:
        """End a process, which loses its memory."""
        for task in self.tasks.pop(name, ()):
            task.cancel()
        if name in self.entries:
            self.entries.pop(name).stop()
        self.controllers.pop(name, None)

    def start_controller(self, name: str) -> None:
        """Start a controller with empty memory."""
        self.starts += 1
        platform = PartyPlatform(self.platform.seen_by(name), self.network)
        holder = f'{name}#{self.starts}'
        lease = Lease(platform, self.clock, builders.DOMAIN, holder)
        engines = self.engines.seen_by(name)
        controller = Controller(
            platform=platform,
            engines=engines,
            holder=self.holder,
            lease=lease,
            directory=GroupDirectory(),
            drain_coordinator=DrainCoordinator(
                platform=platform,
                holder=self.holder,
                drainer=GroupDrainer(
                    engines, lease, self.clock, NoInFlightCounts()
                ),
                invariants=self.invariants,
                rollouts=RolloutRows(platform, builders.DOMAIN),
            ),
        )
        controller.repair_planner.hazards = Hazards(load_s=1)
        self.controllers[name] = controller
        self._repeat(name, lease.renew, LEASE_RENEWAL_S)
        self._repeat(name, controller.reconcile, STEP_S)

    def start_entry(self, name: str) -> None:
        """Start an entry with empty memory."""
        self.starts += 1
        node = Node(name, str(self.starts), builders.DOMAIN, 'entry', name)
        entry = EntryControl(
            node,
            self.clock,
            self.engines.seen_by(name),
            self.digest_servers,
        )
        self.entries[name] = entry
        platform = PartyPlatform(self.platform.seen_by(name), self.network)

        self._repeat(name, partial(_poll_groups, platform, entry), 1)
        self._repeat(name, partial(_note_contacts, self, entry), 1)
        self._repeat(name, partial(_dispatch, self, entry), DISPATCH_S)
        entry.start()

    def dispatch(self, entry: EntryControl) -> None:
        """Send to every group that the entry's evidence shows serving."""
        for group in entry.directory.by_id.values():
            if entry.book.is_serving(group):
                self.dispatches += 1
                self.invariants.require(
                    self.truth.is_whole(group),
                    'dispatch_to_whole_group',
                    f'an entry sent to {group}',
                )

    def _repeat(
        self,
        name: str,
        step: Callable[[], Awaitable[object]],
        interval_s: float,
    ) -> None:
        self._run(name, self._steps(name, step, interval_s))

    async def _steps(
        self,
        name: str,
        step: Callable[[], Awaitable[object]],
        interval_s: float,
    ) -> None:
        await asyncio.sleep(interval_s * self.network.rng.random())
        while True:
            await self.network.resume(name)
            try:
                await step()
            except InvariantViolation:
                # ``Invariants`` has counted the violation and stopped the step.
                await asyncio.sleep(0)
            except RudderError:
                await asyncio.sleep(0)
            await asyncio.sleep(interval_s)

    def _run(self, name: str, steps: Awaitable[None]) -> None:
        task = asyncio.ensure_future(steps)
        self.tasks.setdefault(name, []).append(task)


async def _poll_groups(platform: PartyPlatform, entry: EntryControl) -> None:
    rows = await platform.scan('groups/')
    groups = [group_from_fields(row.fields) for row in rows]
    entry.directory.replace_domain(builders.DOMAIN, groups)


async def _note_contacts(world: World, entry: EntryControl) -> None:
    for name, other in world.entries.items():
        if world.network.is_open(entry.node.node_id, name):
            entry.membership.note_contact(other.node)


async def _dispatch(world: World, entry: EntryControl) -> None:
    world.dispatch(entry)


def addresses(world: World) -> Sequence[str]:
    """Return the addresses of all VMs, in a fixed order."""
    return sorted(world.engines.by_address)
