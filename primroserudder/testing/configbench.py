"""Measures how soon accepted configuration takes effect, and its cost.

Explanation
===========
Times are measured over real sockets on loopback, with eight nodes in three
failure domains and the stand-in platform. Reads, writes and bytes are
counted exactly, in virtual time, for sites of several sizes.
"""

import argparse
import asyncio
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import orjson
from loguru import logger

from ..process.metrics import Latency
from ..process.settings import (
    EntrySettings,
    Listener,
    PlatformSettings,
)
from ..programs.common import EXIT_OK, run
from ..programs.node import NodeRuntime
from ..standins.fleet import Standins
from ..standins.settings import StandinSettings
from ..version.holder import Version
from .configcosts import document_body, measure_costs

ENTRIES = 8
DOMAINS = 3
OUTAGE_S = 5
POLL_S = 0.005
MAX_PERCENTILE = 100
TOKEN = 'bench-operators-token'


@dataclass(slots=True)
class Bench:
    """Eight nodes on loopback that share one stand-in platform."""

    standins: Standins
    nodes: list[NodeRuntime] = field(default_factory=list)
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)
    base: int = 0

    async def start(self) -> None:
        """Start all nodes and wait until each sees all others as live."""
        await self.standins.start()
        self.stack.push_async_callback(self.standins.stop)
        port = self.standins.ports_by_name['platform']
        platform = PlatformSettings(url=f'http://127.0.0.1:{port}')
        for index in range(ENTRIES):
            await self._start_node(index, platform)
        while not all(self._sees_all_peers(node) for node in self.nodes):
            await asyncio.sleep(POLL_S)

    async def accept(self, node: NodeRuntime) -> Version:
        """Submit the next version at a node, but do not publish it."""
        body = document_body(self.base)
        version = await node.store.submit(body, self.base, f's{self.base}')
        self.base = version.number
        return version

    async def until_in_force(self, started_at: float) -> float:
        """Return the seconds until the version is in force at all nodes."""
        loop = asyncio.get_running_loop()
        while any(
            node.holder.current.number < self.base for node in self.nodes
        ):
            await asyncio.sleep(POLL_S)
        return loop.time() - started_at

    async def _start_node(self, index: int, platform: PlatformSettings) -> None:
        domain = index % DOMAINS
        any_port = Listener(port=0)
        node = NodeRuntime(
            EntrySettings(
                node_id=f'entry-{index}',
                failure_domain=f'fd-{domain}',
                platform=platform,
                operators=any_port,
                operators_token=TOKEN,
                peers=any_port,
                callers=any_port,
            ),
            'entry',
        )
        await node.open_clients()
        await node.open_peers()
        await node.start_peers()
        node.start_common_steps()
        self.nodes.append(node)
        self.stack.push_async_callback(node.close)

    def _sees_all_peers(self, node: NodeRuntime) -> bool:
        return len(list(node.membership.live_peers())) == ENTRIES - 1


async def _pushed(bench: Bench, node: NodeRuntime) -> float:
    version = await bench.accept(node)
    started_at = asyncio.get_running_loop().time()
    node.holder.offer(version)
    node.distributor.publish(version)
    return await bench.until_in_force(started_at)


async def _pushed_in_outage(bench: Bench, node: NodeRuntime) -> float:
    version = await bench.accept(node)
    started_at = asyncio.get_running_loop().time()
    bench.standins.platform.faults.is_down = True
    node.holder.offer(version)
    node.distributor.publish(version)
    elapsed = await bench.until_in_force(started_at)
    bench.standins.platform.faults.is_down = False
    return elapsed


async def _gossiped_in_outage(bench: Bench, node: NodeRuntime) -> float:
    version = await bench.accept(node)
    started_at = asyncio.get_running_loop().time()
    bench.standins.platform.faults.is_down = True
    node.holder.offer(version)
    elapsed = await bench.until_in_force(started_at)
    bench.standins.platform.faults.is_down = False
    return elapsed


async def _polled_after_outage(bench: Bench, node: NodeRuntime) -> float:
    await bench.accept(node)
    started_at = asyncio.get_running_loop().time()
    bench.standins.platform.faults.is_down = True
    await asyncio.sleep(OUTAGE_S)
    bench.standins.platform.faults.is_down = False
    return await bench.until_in_force(started_at)


Scenario = Callable[[Bench, NodeRuntime], Awaitable[float]]

SCENARIOS: Sequence[tuple[str, Scenario, float]] = (
    ('pushed', _pushed, 1),
    ('pushed_in_outage', _pushed_in_outage, 0.2),
    ('pushes_lost_in_outage', _gossiped_in_outage, 0.2),
    ('acceptor_dies_in_outage_of_5_s', _polled_after_outage, 0.05),
)


async def measure_times(changes: int) -> Mapping[str, object]:
    """Return the seconds from acceptance until in force everywhere."""
    bench = Bench(Standins(StandinSettings(platform_port=0)))
    await bench.start()
    summaries_by_scenario = {
        name: await _repeat(bench, scenario, max(1, int(changes * share)))
        for name, scenario, share in SCENARIOS
    }
    await bench.stack.aclose()
    return summaries_by_scenario


async def _repeat(
    bench: Bench,
    scenario: Scenario,
    rounds: int,
) -> Mapping[str, float]:
    latency = Latency()
    for index in range(rounds):
        node = bench.nodes[index % ENTRIES]
        latency.record(await scenario(bench, node))
    return {**latency.summary(), 'max_s': latency.percentile_s(MAX_PERCENTILE)}


def main() -> None:
    """Measure and write the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=200)
    arguments = parser.parse_args()
    logger.remove()
    costs = measure_costs()
    sys.exit(run(_report(costs, arguments.changes)))


async def _report(costs: object, changes: int) -> int:
    figures = {
        'entries': ENTRIES,
        'costs': costs,
        'times': await measure_times(changes),
    }
    text = orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode()
    sys.stdout.write(f'{text}\n')
    return EXIT_OK


if __name__ == '__main__':
    main()
