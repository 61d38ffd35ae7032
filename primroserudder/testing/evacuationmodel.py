"""Many VMs of which a failure domain is evacuated, in virtual time.

Explanation
===========
Each VM follows the operators' table with the code of a router: its follower,
its relays, its view of the site, its choice of targets and its queues of
requests. The store, the links between VMs and the engines are plain models.
Nothing uses a network or the machine's clock.

The members of a failure domain read the table from each other along a tree, as
routers do, and notice after a while that one of them has died. Requests arrive
evenly in time at random VMs and hold a slot for a while. Without the evacuated
domain the site lacks slots.
"""

import asyncio
import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..fleet.directory import Directory
from ..fleet.membership import InFlightCounts
from ..fleet.model import Engine
from ..platform import decode_configuration
from ..process.platform import Row
from ..standins.tablerows import RowsCopy
from .evacuationoutcome import (
    END_S,
    EVACUATED_AT_S,
    REVOKED_AT_S,
    TROUBLE_S,
    Outcome,
)
from .evacuationvm import DOMAINS, EVACUATED, HOLD_S, SERVICE, ModelVm
from .modelstore import CutStore, ModelStore
from .platformsite import configuration

TABLE = 'op'
ROW_KEY = f'evacuate/{EVACUATED}'
ENGINES_PER_DOMAIN = 8
SLOTS = 2
# Of the slots of all domains; two of three domains lack slots.
LOAD = 0.8
CHILDREN = 4
# A dead VM is replaced in the tree after this time.
TREE_REPAIR_S = 1.2
RESTORED_AFTER_S = 1.5
# From a restore that lost the row until operators write it again.
WRITTEN_AGAIN_S = (2.5, 3.5)


class Trouble(enum.Enum):
    """What happens about the time of the evacuation."""

    NONE = enum.auto()
    ROOT_DIES = enum.auto()
    RELAY_DIES = enum.auto()
    RELAY_SILENT = enum.auto()
    STORE_UNSTABLE = enum.auto()
    STORE_RESTORED = enum.auto()
    VM_STARTS = enum.auto()
    VM_OUT_OF_TOUCH = enum.auto()


@dataclass(slots=True)
class EvacuationModel:
    """Plays an evacuation and its end; records what reached the engines."""

    vm_count: int
    seed: int
    trouble: Trouble
    rng: random.Random = field(init=False)
    store: ModelStore = field(init=False)
    vms: list[ModelVm] = field(default_factory=list)
    vms_by_address: dict[str, ModelVm] = field(default_factory=dict)
    counts: InFlightCounts = field(default_factory=InFlightCounts)
    directory: Directory = field(init=False)
    outcome: Outcome = field(default_factory=Outcome)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Create the store and the engines."""
        self.rng = random.Random(f'{self.vm_count}/{self.seed}')
        self.store = ModelStore(self.rng)
        self.store.rows.put(TABLE, 'config', configuration())
        self.directory = _directory()

    def vm_at(self, address: str) -> ModelVm:
        """Return the VM that has an address."""
        return self.vms_by_address[address]

    async def play(self) -> None:
        """Play the whole model."""
        self._start_vms()
        load = asyncio.ensure_future(self._send_requests())
        await asyncio.sleep(EVACUATED_AT_S - TROUBLE_S)
        trouble = asyncio.ensure_future(self._make_trouble())
        await asyncio.sleep(TROUBLE_S)
        await self._evacuate_until_revoked(trouble)
        await asyncio.sleep(END_S - REVOKED_AT_S)
        load.cancel()
        self._end()

    def relays(self, vm: ModelVm) -> Sequence[str]:
        """Return the VMs that a VM reads the table from, nearest first."""
        tree = self.tree(vm.domain)
        place = tree.index(vm) if vm in tree else 0
        if not place:
            return ()
        backup = tree[1:2] if place > 1 else []
        ancestors = []
        while place:
            place = (place - 1) // CHILDREN
            ancestors.append(tree[place])
        relays = (*ancestors[:2], ancestors[-1], *backup)
        return tuple(dict.fromkeys(relay.address for relay in relays))

    def tree(self, domain: str) -> Sequence[ModelVm]:
        """Return the VMs of a domain's tree in order, the root first."""
        known_until = asyncio.get_running_loop().time() - TREE_REPAIR_S
        return [
            vm
            for vm in self.vms
            if vm.domain == domain and (vm.is_alive or vm.died_at > known_until)
        ]

    async def _evacuate_until_revoked(
        self, trouble: asyncio.Task[None]
    ) -> None:
        self.store.rows.put(TABLE, ROW_KEY, {})
        await asyncio.sleep(REVOKED_AT_S - EVACUATED_AT_S)
        await trouble
        self.store.rows.remove(TABLE, ROW_KEY)

    def _start_vms(self) -> None:
        for number in range(self.vm_count):
            vm = ModelVm(
                self,
                f'vm-{number}:1',
                DOMAINS[number % len(DOMAINS)],
                CutStore(self.store),
            )
            self.vms.append(vm)
            self.vms_by_address[vm.address] = vm
            vm.start()

    def _end(self) -> None:
        for vm in self.vms:
            if vm.is_alive and not vm.is_restarted and not vm.store.is_cut:
                self.outcome.note_hearing(vm.address)
            vm.stop()

    async def _send_requests(self) -> None:
        slots = len(DOMAINS) * ENGINES_PER_DOMAIN * SLOTS
        interval_s = HOLD_S / (LOAD * slots)
        while True:
            ready = [vm for vm in self.vms if vm.is_ready]
            if ready:
                task = asyncio.ensure_future(self.rng.choice(ready).serve())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(interval_s)

    async def _make_trouble(self) -> None:
        """Make the trouble about the time of the row."""
        await asyncio.sleep(self.rng.uniform(0, 2 * TROUBLE_S))
        tree = self.tree(self.rng.choice(DOMAINS[: self.vm_count]))
        match self.trouble:
            case Trouble.STORE_UNSTABLE:
                await self._make_store_unstable()
            case Trouble.STORE_RESTORED:
                await self._restore_store()
            case Trouble.VM_STARTS:
                await self._start_again(self.rng.choice(tree))
            case _:
                self._disturb_vm(tree)

    def _disturb_vm(self, tree: Sequence[ModelVm]) -> None:
        match self.trouble:
            case Trouble.ROOT_DIES if len(tree) > 1:
                tree[0].stop()
            case Trouble.RELAY_DIES if len(tree) > 1:
                tree[1].stop()
            case Trouble.RELAY_SILENT:
                tree[0].is_silent = True
            case Trouble.VM_OUT_OF_TOUCH if len(self.vms) > 1:
                self.rng.choice(self.vms).store.is_cut = True
            case _:
                return

    async def _make_store_unstable(self) -> None:
        self.store.is_unstable = True
        await asyncio.sleep(self.rng.uniform(1, 4))
        self.store.is_unstable = False

    async def _restore_store(self) -> None:
        """Lose the row, which operators then write again."""
        await asyncio.sleep(RESTORED_AFTER_S)
        rows = self.store.rows
        kept = {
            row_id: row
            for row_id, row in rows.rows_by_id.items()
            if row_id[1] == 'config'
        }
        rows.restore(RowsCopy(kept, min(row.revision for row in kept.values())))
        await asyncio.sleep(self.rng.uniform(*WRITTEN_AGAIN_S))
        rows.put(TABLE, ROW_KEY, {})

    async def _start_again(self, vm: ModelVm) -> None:
        vm.is_restarted = True
        vm.stop()
        await asyncio.sleep(self.rng.uniform(0, 2))
        vm.start()


def _directory() -> Directory:
    engines = {
        f'{domain}-{number}': Engine(
            f'{domain}-{number}', SERVICE.name, 'address', domain, SLOTS
        )
        for domain in DOMAINS
        for number in range(ENGINES_PER_DOMAIN)
    }
    directory = Directory(lambda engine_id, _: engines.get(engine_id))
    rows = {
        f'servers/{engine_id}': Row(f'servers/{engine_id}', 1, {})
        for engine_id in engines
    }
    directory.update(rows, decode_configuration(configuration()))
    return directory
