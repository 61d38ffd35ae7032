"""Slots and requests by pool, measured for planning and for the logs."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from .demand import DemandMeter
from .directory import Directory
from .evacuation import Evacuations
from .membership import InFlightCounts

MEASURE_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class PoolUse:
    """Capacity of a pool and its use by all VMs."""

    targets: int
    slots: int
    running: int
    waiting: int


@dataclass(slots=True)
class PoolMeter:
    """Measures the pools' use periodically; the lease holder logs it."""

    directory: Directory
    in_flight_counts: InFlightCounts
    demand: DemandMeter
    clock: Clock
    log: DecisionLog
    is_holder: Callable[[], bool]
    evacuations: Evacuations

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            await asyncio.sleep(MEASURE_INTERVAL_S)
            use_by_pool = self.use_by_pool()
            load_by_pool = {
                pool: use.running + use.waiting
                for pool, use in use_by_pool.items()
            }
            self.demand.record(load_by_pool, self.clock.monotonic())
            if self.is_holder():
                self.log.note('places', by_pool=self.dump())

    def use_by_pool(self) -> Mapping[str, PoolUse]:
        """Return each pool's use, from this VM's counts and directory.

        Explanation
        ===========
        Targets in evacuated failure domains don't count.
        """
        usable_by_pool = {
            pool: self.evacuations.usable(targets)
            for pool, targets in self.directory.targets_by_pool().items()
        }
        return {
            pool: PoolUse(
                targets=len(targets),
                slots=sum(target.slots for target in targets),
                running=sum(
                    self.in_flight_counts.running(target.engine_id)
                    for target in targets
                ),
                waiting=self.in_flight_counts.waiting(pool),
            )
            for pool, targets in usable_by_pool.items()
        }

    def dump(self) -> Mapping[str, Mapping[str, int]]:
        """Return the pools' use for the logs and the state dump."""
        return {pool: asdict(use) for pool, use in self.use_by_pool().items()}
