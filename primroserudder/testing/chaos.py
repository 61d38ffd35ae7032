"""Randomised fault injection; the same seed gives the same run."""

import argparse
import asyncio
import json
import sys
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from multiprocessing import Pool

from loguru import logger

from ..process.groups import GroupRecord, group_from_fields
from . import builders
from .virtualtime import run_virtually
from .world import FABRICS, GROUPS, World, addresses

LONGEST_PAUSE_S = 25


@dataclass(frozen=True, slots=True)
class PhaseDurations:
    """The duration of each phase of a run, in virtual seconds."""

    warm_up_s: float = 12
    faults_s: float = 40
    calm_s: float = 60


FULL = PhaseDurations()
# Has no calm phase, so it does not check recovery.
SHORT = PhaseDurations(10, 15, 0)


@dataclass(slots=True)
class Chaos:
    """Injects faults at random, often several at once."""

    world: World
    durations: PhaseDurations
    counts: Counter[str] = field(default_factory=Counter)

    async def run(self) -> None:
        """Inject faults, then end them all and wait for recovery."""
        world = self.world
        faults: tuple[Callable[[], None], ...] = (
            self.pause,
            self.crash_process,
            self.kill_vm,
            self.restart_engine,
            self.darken_fabric,
            self.cut_off,
            self.platform_down,
            self.lose_answer,
            self.replace_vm,
            self.stale_order,
        )
        ends_at = world.clock.monotonic() + self.durations.faults_s
        while world.clock.monotonic() < ends_at:
            for fault in world.rng.sample(faults, world.rng.choice((1, 1, 2))):
                self.counts[fault.__name__] += 1
                fault()
            await asyncio.sleep(world.rng.uniform(0.5, 6))
        self.end_faults()
        await asyncio.sleep(self.durations.calm_s)

    def pause(self) -> None:
        """Pause a process while the clock continues to run."""
        name = self.world.rng.choice(processes_of(self.world))
        paused = self.world.network.paused
        paused.add(name)
        self._later(LONGEST_PAUSE_S, paused.discard, name)

    def crash_process(self) -> None:
        """End a process and restart it with empty memory."""
        name = self.world.rng.choice(processes_of(self.world))
        self.world.crash(name)
        is_entry = name.startswith('e')
        start = (
            self.world.start_entry
            if is_entry
            else (self.world.start_controller)
        )
        start(name)

    def kill_vm(self) -> None:
        """Stop a VM and later restart it with empty memory."""
        address = self.world.rng.choice(addresses(self.world))
        engine = self.world.engines.by_address[address]
        engine.faults.is_dead = True
        self._later(30, self._restart_vm, address)

    def restart_engine(self) -> None:
        """Restart an engine with empty memory at the same address."""
        address = self.world.rng.choice(addresses(self.world))
        engine = self.world.engines.by_address[address]
        engine.crash()

    def darken_fabric(self) -> None:
        """Disconnect a whole fabric domain and reconnect it later."""
        fabric = self.world.rng.randrange(FABRICS)
        cut = [
            vm.address
            for vm in self.world.platform.vms_by_id.values()
            if vm.fabric_domain == f'f{fabric}'
        ]
        self.world.network.cut(cut, processes_of(self.world))
        self._later(30, self.world.network.mend)

    def cut_off(self) -> None:
        """Disconnect a process from the platform and from VMs or peers."""
        name = self.world.rng.choice(processes_of(self.world))
        peers = [peer for peer in processes_of(self.world) if peer != name]
        vms = addresses(self.world)
        side = self.world.rng.choice((peers, vms, ()))
        self.world.network.cut([name], side)
        self.world.platform.faults.cut_parties.add(name)
        self._later(20, self.world.network.mend)
        self._later(20, self.world.platform.faults.cut_parties.clear)

    def platform_down(self) -> None:
        """Make the platform unavailable or slow for a while."""
        faults = self.world.platform.faults
        faults.is_down = self.world.rng.choice((True, True, False))
        faults.delay_s = self.world.rng.choice((0, 1, 3))
        self._later(20, self._restore_platform)

    def lose_answer(self) -> None:
        """Lose the replies to the next writes, which still take effect."""
        self.world.platform.faults.lose_answers += self.world.rng.choice((1, 3))

    def replace_vm(self) -> None:
        """Replace a VM by another one at the same address."""
        rng = self.world.rng
        listed = self.world.platform.vms_by_id
        old = listed.pop(rng.choice(sorted(listed)))
        self.world.starts += 1
        starts = self.world.starts
        fabric = int(old.fabric_domain.removeprefix('f'))
        name = f'new{starts}'
        self.world.add_vm(name, old.address, fabric)

    def stale_order(self) -> None:
        """Deliver a delayed order of an earlier generation to one VM."""
        formed = [group for group in groups_of(self.world) if group.members]
        if not formed or self.world.honours_fencing:
            return
        group = self.world.rng.choice(formed)
        rank = self.world.rng.randrange(len(group.members))
        address = group.members[rank].address
        old = replace(group, generation=group.generation - 1)
        engine = self.world.engines.by_address[address]
        if not engine.faults.is_dead:
            engine.apply_order(builders.order(old, rank, fencing=0))

    def end_faults(self) -> None:
        """End all faults."""
        world = self.world
        world.network.mend()
        world.network.paused.clear()
        self._restore_platform()
        world.platform.faults.cut_parties.clear()
        world.platform.faults.lose_answers = 0
        for engine in world.engines.by_address.values():
            engine.faults.is_dead = False

    def _later(
        self,
        longest_s: float,
        end: Callable[..., None],
        *arguments: object,
    ) -> None:
        loop = asyncio.get_running_loop()
        delay_s = self.world.rng.uniform(1, longest_s)
        loop.call_later(delay_s, end, *arguments)

    def _restart_vm(self, address: str) -> None:
        engine = self.world.engines.by_address[address]
        if engine.faults.is_dead:
            engine.crash()
            engine.faults.is_dead = False

    def _restore_platform(self) -> None:
        self.world.platform.faults.is_down = False
        self.world.platform.faults.delay_s = 0


def processes_of(world: World) -> Sequence[str]:
    """Return the names of all processes, in a fixed order."""
    return sorted({*world.controllers, *world.entries})


def groups_of(world: World) -> Sequence[GroupRecord]:
    """Return the groups as the table holds them."""
    rows = sorted(world.platform.rows_by_key.items())
    return [
        group_from_fields(row.fields)
        for key, row in rows
        if key.startswith('groups/')
    ]


def run_seed(
    seed: int, durations: PhaseDurations = FULL
) -> Mapping[str, object]:
    """Return the outcome of one run."""
    return run_virtually(_run(seed, durations))


async def _run(seed: int, durations: PhaseDurations) -> Mapping[str, object]:
    world = World(seed, honours_fencing=seed % 2 == 0)
    world.start()
    await asyncio.sleep(durations.warm_up_s)
    chaos = Chaos(world, durations)
    await chaos.run()
    serving = {
        entry.node.node_id: sum(
            map(entry.book.is_serving, entry.directory.by_id.values()),
        )
        for entry in world.entries.values()
    }
    world.stop()
    await asyncio.sleep(0)
    return {
        'seed': seed,
        'violations': dict(world.invariants.details_by_name),
        'dispatches': world.dispatches,
        'serving_after_calm': serving,
        'is_recovered': set(serving.values()) == {GROUPS},
        'faults': dict(chaos.counts),
        'generations': sum(group.generation for group in groups_of(world)),
    }


def main() -> None:
    """Run many seeds and write their outcomes as JSON."""
    logger.remove()
    parser = argparse.ArgumentParser(prog='chaos')
    parser.add_argument('--seeds', type=int, default=200)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--processes', type=int, default=3)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    with Pool(arguments.processes) as pool:
        outcomes = pool.map(run_seed, seeds, chunksize=1)
    failed = [outcome for outcome in outcomes if outcome['violations']]
    stuck = [outcome for outcome in outcomes if not outcome['is_recovered']]
    report = {
        'seeds': arguments.seeds,
        'first': arguments.first,
        'failed': failed,
        'not_recovered': stuck,
        'dispatches': sum(
            int(str(outcome['dispatches'])) for outcome in outcomes
        ),
        'generations': sum(
            int(str(outcome['generations'])) for outcome in outcomes
        ),
    }
    json.dump(report, sys.stdout, indent=2)
    sys.exit(bool(failed or stuck))


if __name__ == '__main__':
    main()
