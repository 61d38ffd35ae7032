"""VMs and engines of a model of crashes, with the routers' own registries.

Explanation
===========
Each VM has a real quarantine, a real exchange of notices over a simulated
network and a real writer of the store's rows. Engines, the store and callers
are models.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, fields

from ..fleet.crashes.partcounts import PartCounts
from ..fleet.crashes.quarantine import Quarantine
from ..fleet.crashes.strikes import StrikeRegistry
from ..fleet.crashes.strikestore import StrikeStore
from ..fleet.directory import Directory
from ..fleet.membership import Facts, Strikes
from ..process.clock import LoopClock
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from ..process.platform import Row, Transaction, Write
from .crashengines import ModelEngine
from .noticenetwork import SETTLING_TICKS, TICK_S, NoticeNetwork

DOMAINS = 3
LIST_EXPIRY_S = 5.0
# The VM that holds the lease.
FIRST_ADDRESS = '10.0.0.1:7'
# A row is at all VMs this long after it was written.
STORE_LAG_S = 0.3


@dataclass(slots=True)
class ModelStore:
    """The store's table of strikes; all VMs see its changes in batches."""

    rows_by_key: dict[str, Row] = field(default_factory=dict)
    listeners: list[Callable[[], None]] = field(default_factory=list)
    is_reachable: bool = True
    _revision: int = 0
    _writes: list[Write] = field(default_factory=list)

    @property
    def rows(self) -> 'ModelStore':
        """Return the table itself, which answers for its rows."""
        return self

    def is_stored(self, key: str) -> bool:
        """Return whether a row is known."""
        return key in self.rows_by_key

    async def commit(self, transaction: Transaction) -> None:
        """Show a transaction's writes to all VMs after a moment."""
        if not self._writes:
            loop = asyncio.get_running_loop()
            loop.call_later(STORE_LAG_S, self._show)
        self._writes.extend(transaction.writes)

    def _show(self) -> None:
        self._revision += 1
        writes = tuple(self._writes)
        self._writes.clear()
        for write in writes:
            if write.fields is None:
                self.rows_by_key.pop(write.key, None)
            else:
                row = Row(write.key, self._revision, write.fields)
                self.rows_by_key[write.key] = row
        for listener in self.listeners:
            listener()


@dataclass(slots=True)
class ModelVm:
    """A VM's quarantine and the tasks that keep it."""

    address: str
    rank: int
    directory: Directory
    store: ModelStore
    quarantine: Quarantine = field(init=False)
    log: DecisionLog = field(init=False)
    _tasks: list['asyncio.Task[None]'] = field(default_factory=list)
    _listener: Callable[[], None] | None = None

    def __post_init__(self) -> None:
        """Start the process of the VM."""
        self.start()

    def start(self) -> None:
        """Start a process that knows nothing but the store's rows."""
        clock = LoopClock()
        # Lines of the model would be many and are nobody's to read.
        self.log = DecisionLog(self.address, clock, 0, 0)
        self.quarantine = Quarantine(
            clock,
            self.log,
            Metrics(),
            self.directory,
            tuple,
            float,
            LIST_EXPIRY_S,
            lambda: len(self.directory.engines_by_id),
            lambda: self.address == FIRST_ADDRESS,
        )
        count = len(self.store.listeners)
        writer = StrikeStore(
            self.store,  # type: ignore[arg-type]
            self.store,  # type: ignore[arg-type]
            self.quarantine.strikes,
            clock,
            self.log,
            self._own_rank,
            clock.monotonic,
        )
        self._listener = self.store.listeners[count]
        self._listener()
        self._tasks = [
            asyncio.ensure_future(self.quarantine.run()),
            asyncio.ensure_future(writer.run()),
        ]

    def stop(self) -> None:
        """End the process."""
        for task in self._tasks:
            task.cancel()
        if self._listener is not None:
            self.store.listeners.remove(self._listener)

    def strikes(self) -> Strikes:
        """Return what the VM tells its neighbours."""
        registry = self.quarantine.strikes
        return Strikes(registry.shared(), registry.shared_void())

    def listen(self, source: str, _facts: Facts, strikes: Strikes) -> None:
        """Merge what a neighbour told."""
        self.quarantine.merge(source, strikes.struck, strikes.void)

    def _own_rank(self) -> int:
        return self.rank


@dataclass(slots=True)
class CrashSite:
    """All VMs and engines of a replay."""

    vm_count: int
    engine_count: int
    loss: float
    rng: random.Random
    directory: Directory = field(default_factory=lambda: Directory(_no_targets))
    store: ModelStore = field(default_factory=ModelStore)
    engines: list[ModelEngine] = field(default_factory=list)
    vms: list[ModelVm] = field(default_factory=list)
    network: NoticeNetwork = field(init=False)

    def __post_init__(self) -> None:
        """Start all VMs and engines, and settle the tree of routers."""
        domains = min(DOMAINS, self.vm_count)
        self.engines = [
            ModelEngine(
                f'i-{number}', _domain_name(number % DOMAINS), self.directory
            )
            for number in range(self.engine_count)
        ]
        self.network = NoticeNetwork(self.loss)
        for number in range(self.vm_count):
            rank, domain = divmod(number, domains)
            place = rank + 1
            address = f'10.{domain}.0.{place}:7'
            vm = ModelVm(address, rank, self.directory, self.store)
            self.vms.append(vm)
            self.network.add(address, _domain_name(domain), 1 / place)
        self._connect()
        self.network.tick(SETTLING_TICKS)
        self.network.forget_traffic()

    async def share_notices(self) -> None:
        """Let all VMs exchange notices until cancelled."""
        while True:
            for vm in self.vms:
                self.network.strikes[vm.address] = vm.strikes()
            self.network.tick()
            await asyncio.sleep(TICK_S)

    def restart_vms(self) -> None:
        """End the processes of all VMs and start them again."""
        for vm in self.vms:
            vm.stop()
            vm.start()
            self.network.restart(vm.address)
        self._connect()

    def some_engines(self, share: float) -> list[ModelEngine]:
        """Draw a share of the engines."""
        return self.rng.sample(self.engines, int(share * len(self.engines)))

    def engines_of_first_domain(self) -> list[ModelEngine]:
        """Return all engines of one failure domain."""
        domain = self.engines[0].failure_domain
        return [
            engine for engine in self.engines if engine.failure_domain == domain
        ]

    def choose(self, first_part: str, affinity: float) -> ModelEngine | None:
        """Choose an engine for a prompt, ``None`` if all are full.

        Parameters
        ==========
        affinity : float
            Chance that it is the engine of the prompt's first part.
        """
        usable = [engine for engine in self.engines if engine.is_open]
        if not usable:
            return None
        if self.rng.random() < affinity:
            return min(usable, key=lambda engine: _affinity(engine, first_part))
        pair = self.rng.choices(usable, k=2)
        return min(pair, key=lambda engine: len(engine.runs))

    def _connect(self) -> None:
        self.network.introduce()
        for vm in self.vms:
            exchange = self.network.exchanges[vm.address]
            exchange.listeners = [vm.listen]


def _no_targets(*_rows: object) -> None:
    """Decode nothing; the model lists its engines itself."""


def _domain_name(number: int) -> str:
    return f'fd-{number}'


def _affinity(engine: ModelEngine, first_part: str) -> float:
    return random.Random(f'{engine.engine_id} {first_part}').random()


def entries_of(vms: Iterable[ModelVm]) -> int:
    """Return the most entries that a VM's registry holds."""
    return max(_entries(vm.quarantine.strikes) for vm in vms)


def _entries(registry: StrikeRegistry) -> int:
    """Count the members of a registry's collections, and of those in them."""
    return sum(
        _size(getattr(registry, member.name)) for member in fields(registry)
    )


def _size(collection: object) -> int:
    if isinstance(collection, PartCounts):
        return len(collection.count_by_part)
    if isinstance(collection, dict):
        return sum(max(1, _size(each)) for each in collection.values())
    if isinstance(collection, set | frozenset | tuple | list):
        return len(collection)
    return 0
