"""Counts the requests of all VMs of the site, by engine and by pool.

Explanation
===========
The sums over the other VMs are kept as their notices arrive, so that a choice
among targets costs the same however many VMs there are.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from .keys import short_key
from .notice import LoadPart

Counts = Mapping[int, int]


@dataclass(slots=True)
class InFlightCounts:
    """In-flight requests of this VM, and the sums over the other VMs.

    Parameters
    ==========
    running_by_engine : Counter
        This VM's in-flight requests by engine id.
    waiting_by_pool : Counter
        This VM's waiting requests by pool.
    others_running : dict
        In-flight requests of the other VMs by the key of the engine.
    others_waiting : dict
        Waiting requests of the other VMs by the key of the pool.
    others_sent : dict
        Requests that the other VMs sent lately to engines with a limit, by
        the key of the incarnation.
    others_looks : dict
        How often the other VMs looked lately for a place there, a second.
    others_cold : dict
        How many other VMs know an engine as cold, by a key of the incarnation.
    others_reading : dict
        Prompts that the other VMs' requests still wait to be read, in units
        of time, by the key of the engine.
    others_held : dict
        Memory that the other VMs' requests need, in units, by that key.
    others_vms : int
        How many other VMs report.
    changes : int
        Rises with each change of a count.
    """

    running_by_engine: Counter[str] = field(default_factory=Counter)
    waiting_by_pool: Counter[str] = field(default_factory=Counter)
    others_running: dict[int, int] = field(default_factory=dict)
    others_waiting: dict[int, int] = field(default_factory=dict)
    others_sent: dict[int, int] = field(default_factory=dict)
    others_looks: dict[int, int] = field(default_factory=dict)
    others_cold: dict[int, int] = field(default_factory=dict)
    others_vms: int = 0
    changes: int = 0
    others_reading: dict[int, int] = field(default_factory=dict)
    others_held: dict[int, int] = field(default_factory=dict)
    _reading: dict[int, int] = field(default_factory=dict)
    _held: dict[int, int] = field(default_factory=dict)

    def begin(self, engine_id: str) -> None:
        """Count a request that starts at an engine."""
        self.running_by_engine[engine_id] += 1
        self.changes += 1

    def end(self, engine_id: str) -> None:
        """Count a request that ended at an engine."""
        self.running_by_engine[engine_id] -= 1
        if not self.running_by_engine[engine_id]:
            self.running_by_engine.pop(engine_id)
        self.changes += 1

    def begin_wait(self, pool: str) -> None:
        """Count a request that starts to wait for a slot of a pool."""
        self.waiting_by_pool[pool] += 1
        self.changes += 1

    def end_wait(self, pool: str) -> None:
        """Count a request that stops waiting."""
        self.waiting_by_pool[pool] -= 1
        self.changes += 1

    def running(self, engine_id: str) -> int:
        """Return the in-flight requests at an engine, as last reported."""
        # A missing key of a counter costs more than a default.
        own = self.running_by_engine.get(engine_id, 0)
        return own + self.others_running.get(short_key(engine_id), 0)

    def waiting(self, pool: str) -> int:
        """Return the number of requests that wait for a pool on all VMs."""
        return self.waiting_by_pool[pool] + self.others_waiting.get(
            short_key(pool), 0
        )

    def own_running(self) -> dict[int, int]:
        """Return this VM's in-flight requests by the key of the engine."""
        return {
            short_key(engine_id): count
            for engine_id, count in self.running_by_engine.items()
        }

    def own_waiting(self) -> dict[int, int]:
        """Return this VM's waiting requests by the key of the pool."""
        return {
            short_key(pool): count
            for pool, count in self.waiting_by_pool.items()
            if count
        }

    def tell_reading(self, engine_id: str, units: int) -> None:
        """Set this VM's units of prompts to be read at an engine."""
        _set_count(self._reading, short_key(engine_id), units)

    def tell_held(self, engine_id: str, units: int) -> None:
        """Set this VM's units of memory at an engine."""
        _set_count(self._held, short_key(engine_id), units)

    def own_reading(self) -> dict[int, int]:
        """Return this VM's prompts to be read, by the key of the engine."""
        return self._reading.copy()

    def own_held(self) -> dict[int, int]:
        """Return this VM's units of memory, by the key of the engine."""
        return self._held.copy()

    def replace(self, before: LoadPart, now: LoadPart) -> None:
        """Replace what some other VMs reported."""
        if before == now:
            return
        self.changes += 1
        for sums, earlier, later in (
            (self.others_running, before.running, now.running),
            (self.others_waiting, before.waiting, now.waiting),
            (self.others_sent, before.sent, now.sent),
            (self.others_looks, before.looks, now.looks),
            (self.others_cold, before.cold, now.cold),
            (self.others_reading, before.reading, now.reading),
            (self.others_held, before.held, now.held),
        ):
            if earlier != later:
                add_counts(sums, earlier, -1)
                add_counts(sums, later)
        self.others_vms += now.vms - before.vms


def _set_count(counts: dict[int, int], key: int, count: int) -> None:
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)


def add_counts(sums: dict[int, int], added: Counts, sign: int = 1) -> None:
    """Add counts to sums, and drop the sums that become zero.

    Examples
    ========
    >>> sums = {1: 2, 2: 1}
    >>> add_counts(sums, {2: 1, 3: 4}, -1)
    >>> sums
    {1: 2, 3: -4}
    """
    for key, count in added.items():
        total = sums.get(key, 0) + sign * count
        if total:
            sums[key] = total
        else:
            sums.pop(key, None)
