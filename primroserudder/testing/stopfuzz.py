"""Randomised runs of stops, cancels, faults and streams.

Explanation
===========
Operators plan and cancel stops, controllers are replaced and disconnected
from engines, the platform loses replies, and an entry sends requests by its
evidence alone. A run takes virtual time and depends only on its seed.
"""

import argparse
import asyncio
import random
import sys
from collections import Counter
from collections.abc import Callable, Collection, Coroutine, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import looptime
from loguru import logger

from ..errors import RudderError
from ..process.evidence import EvidenceBook
from ..process.groups import GroupRecord
from ..process.stops import (
    STOP_PREFIX,
    Stop,
    StopKind,
    StopState,
    stop_from_row,
)
from ..programs.common import EXIT_FAILED, EXIT_OK
from .faulty import Fault, FaultyPlatform
from .stopsites import StopSite

VMS = 12
WANTED_GROUPS = 3
ACTIONS = 30
ACTION_S = 2
TICK_S = 0.25
PROBE_TICKS = 4
LONGEST_TOKENS = 1000
SILENCE_S = 5
SILENCE_STREAMS = 40
SHORT_TOKENS = 10

Action = Callable[[], Coroutine[None, None, None]]


class StopViolation(AssertionError):
    """An invariant of planned stops was violated."""


@dataclass(slots=True)
class StopOracle:
    """Checks the stops against the actual state of the engines."""

    site: StopSite
    book: EvidenceBook
    is_over: bool = False
    silent_until: float = 0
    last_groups: Sequence[GroupRecord] = ()

    def stops(self) -> Sequence[Stop]:
        """Return the stops of the table."""
        rows = self.site.memory.rows_by_key
        return [
            stop_from_row(row)
            for key, row in sorted(rows.items())
            if key.startswith(STOP_PREFIX)
        ]

    def safe_vms(self) -> Collection[str]:
        """Return the VMs of all stops whose state is safe."""
        listed = list(self.site.memory.vms_by_id.values())
        return {
            vm
            for stop in self.stops()
            if stop.state is StopState.SAFE
            for vm in stop.covered(listed)
        }

    async def watch(self) -> None:
        """Check the invariants at each tick, and probe once a second."""
        tick = 0
        while not self.is_over:
            self._check()
            if tick % PROBE_TICKS == 0:
                self._probe()
            tick += 1
            await asyncio.sleep(TICK_S)

    def _probe(self) -> None:
        now = self.site.clock.monotonic()
        if now < self.silent_until:
            return
        self.last_groups = self.site.groups()
        for engine in self.site.engines.by_address.values():
            self.book.note(engine.status(), now)

    def _check(self) -> None:
        safe = self.safe_vms()
        groups_by_vm = Counter(
            member.vm_id
            for group in self.site.groups()
            for member in group.members
        )
        _require(not safe & groups_by_vm.keys(), 'a safe VM is in a group')
        _require(
            max(groups_by_vm.values(), default=0) <= 1, 'a VM is in two groups'
        )
        for vm_id in safe:
            running = self.site.engine(vm_id).running
            _require(not running, f'{vm_id} is safe with {running} running')


@dataclass(slots=True)
class StopFuzz:
    """One random run."""

    seed: int
    rng: random.Random = field(init=False)
    site: StopSite = field(init=False)
    oracle: StopOracle = field(init=False)
    platforms: dict[str, FaultyPlatform] = field(default_factory=dict)
    streams: list['asyncio.Task[int]'] = field(default_factory=list)
    wanted_tokens: list[int] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    starts: int = 0

    def __post_init__(self) -> None:
        """Choose at random whether engines check the generation."""
        self.rng = random.Random(self.seed)
        checks_generation = self.rng.random() < 1 / 2
        self.site = StopSite(checks_generation=checks_generation)
        book = EvidenceBook(self.site.clock)
        self.oracle = StopOracle(self.site, book)

    async def run(self) -> Counter[str]:
        """Run and return how often each action was taken."""
        self.site.add_vms(VMS)
        self.site.configure(1, WANTED_GROUPS)
        self._start_controller()
        await self.site.until_serving(WANTED_GROUPS)
        watch = asyncio.create_task(self.oracle.watch())
        for _ in range(ACTIONS):
            action = self.rng.choice(self._actions())
            with suppress(RudderError):
                await action()
            self.counts[action.__name__] += 1
            await asyncio.sleep(self.rng.uniform(0, ACTION_S))
            if watch.done():
                break
        await self._recover(watch)
        return self.counts

    async def plan(self) -> None:
        """Plan two random stops at the same time."""
        vm = self.rng.choice(list(self.site.memory.vms_by_id.values()))
        choices = [
            (StopKind.VM, vm.vm_id),
            (StopKind.FABRIC_DOMAIN, vm.fabric_domain),
        ]
        choices += [
            (StopKind.GROUP, group.group_id) for group in self.site.serving()
        ]
        chosen = self.rng.choices(choices, k=2)
        accepts_loss = self.rng.random() < 1 / 2
        plans = [
            self.site.plan(target, kind, accepts_loss=accepts_loss)
            for kind, target in chosen
        ]
        await asyncio.gather(*plans, return_exceptions=True)

    async def cancel(self) -> None:
        """Cancel a stop, whatever its state."""
        stops = self.oracle.stops()
        if stops:
            await self.site.planner.cancel(self.rng.choice(stops).stop_id)

    async def replace_controller(self) -> None:
        """Kill the controller without a shutdown and start another one."""
        for name in tuple(self.site.tasks):
            self.site.kill(name)
        self._start_controller()

    async def lose_answers(self) -> None:
        """Let the next operations of the controllers fail in some way."""
        for platform in self.platforms.values():
            platform.fail(self.rng.choices(tuple(Fault), k=8))

    async def cut(self) -> None:
        """Disconnect the controllers from an engine, or reconnect all."""
        engines = list(self.site.engines.by_address.values())
        if self.rng.random() < 1 / 2:
            for engine in engines:
                engine.faults.cut_parties.clear()
            return
        cut = self.rng.choice(engines).faults.cut_parties
        cut.update(self.platforms)

    async def plan_unheard(self) -> None:
        """Plan a stop while the entry gets no updates but still sends."""
        self.oracle.silent_until = self.site.clock.monotonic() + SILENCE_S
        await self.plan()
        for _ in range(SILENCE_STREAMS):
            self._send_to_random_group(SHORT_TOKENS)
            await asyncio.sleep(SILENCE_S / SILENCE_STREAMS)

    async def stream(self) -> None:
        """Begin a request at a group to which the entry may send."""
        self._send_to_random_group(LONGEST_TOKENS)

    def _send_to_random_group(self, most_tokens: int) -> None:
        # The entry uses its last snapshot, which may be out of date.
        oracle = self.oracle
        serving = [
            group for group in oracle.last_groups if oracle.book.is_whole(group)
        ]
        if serving:
            self._send(self.rng.choice(serving), most_tokens)

    def _send(self, group: GroupRecord, most_tokens: int) -> None:
        safe = self.oracle.safe_vms()
        _require(
            group.leader.vm_id not in safe,
            'a request would be sent to a safe VM',
        )
        tokens = self.rng.randint(1, most_tokens)
        engine = self.site.engine(group.leader.vm_id)
        is_refused = engine.checks_generation and engine.status().draining
        if not is_refused:
            self.wanted_tokens.append(tokens)
            self.streams.append(self.site.generate(group, tokens))

    def _actions(self) -> Sequence[Action]:
        requests = (self.stream,)
        stops = (self.plan, self.plan_unheard, self.cancel)
        faults = (self.cut, self.lose_answers, self.replace_controller)
        return (*requests, *stops, *faults)

    def _start_controller(self) -> None:
        self.starts += 1
        name = f'c{self.starts}'
        platform = FaultyPlatform(self.site.memory.seen_by(name))
        self.platforms[name] = platform
        self.site.start(name, platform)

    async def _recover(self, watch: 'asyncio.Task[None]') -> None:
        for engine in self.site.engines.by_address.values():
            engine.faults.cut_parties.clear()
        for platform in self.platforms.values():
            platform.fail(())
            await platform.settle()
        for stop in self.oracle.stops():
            await self.site.planner.cancel(stop.stop_id)
        await self.site.until_serving(WANTED_GROUPS)
        counts = await asyncio.gather(*self.streams)
        _require(counts == self.wanted_tokens, 'a stream was cut')
        self.counts['streams_whole'] += len(counts)
        self.oracle.is_over = True
        await watch
        for name in tuple(self.site.tasks):
            self.site.kill(name)


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise StopViolation(message)


def run_seed(seed: int) -> Counter[str]:
    """Run one seed on its own loop and return the action counts."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(StopFuzz(seed).run())


def main() -> None:
    """Run many seeds and print those that fail."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--seeds', type=int, default=1000)
    arguments = parser.parse_args()
    logger.remove()
    total: Counter[str] = Counter()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        try:
            total += run_seed(seed)
        except AssertionError as violation:
            failed += 1
            sys.stdout.write(f'seed {seed}: {violation}\n')
    sys.stdout.write(f'{arguments.seeds} seeds, {failed} failed, {total}\n')
    sys.exit(EXIT_FAILED if failed else EXIT_OK)


if __name__ == '__main__':
    main()
