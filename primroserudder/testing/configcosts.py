"""Counts the cost of distributing configuration, by size of the site."""

import asyncio
import itertools
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import asdict, dataclass, replace

import looptime

from . import builders
from .sites import VersionSite

DAY_S = 86_400
CHANGES_PER_DAY = 17_000
NODES_PER_DOMAIN = 34
SITE_SIZES = (8, 34, 102, 238, 470)
REST_S = 60
CONTACT_INTERVAL_S = 5
CHANGES = 20
CHANGE_INTERVAL_S = 0.1
WORKSPACES = 100


def document_body(number: int) -> bytes:
    """Return a document of many workspaces whose changes are small."""
    names = [f'workspace-{index}' for index in range(WORKSPACES)]
    filler: Mapping[str, object] = {name: {'services': {}} for name in names}
    return builders.document_body(
        workspaces={**filler, f'change-{number}': {}, 'last': {}},
    )


@dataclass(frozen=True, slots=True)
class Cost:
    """Platform operations and bytes that a site of one size needs."""

    nodes: int
    is_in_force_everywhere: bool
    reads_per_s_at_rest: float
    reads_per_change: float
    writes_per_change: float
    document_bytes: int
    received_bytes_per_node_and_change: float
    most_sent_bytes_by_a_node: int

    def report(self) -> Mapping[str, object]:
        """Return the cost, also at the change rate of the largest site."""
        changes_per_s = CHANGES_PER_DAY / DAY_S
        reads = self.reads_per_change * changes_per_s
        return {
            **asdict(self),
            'reads_per_s_at_rest_and_node': (
                self.reads_per_s_at_rest / self.nodes
            ),
            'reads_per_s_at_17000_a_day': self.reads_per_s_at_rest + reads,
            'writes_per_s_at_17000_a_day': (
                self.writes_per_change * changes_per_s
            ),
        }


async def _poll_at_rest(site: VersionSite, seconds: int) -> None:
    for second in range(seconds):
        if second % CONTACT_INTERVAL_S == 0:
            site.introduce()
        await asyncio.gather(
            *(node.distributor.poll() for node in site.by_id.values()),
        )
        await asyncio.sleep(1)


async def _change(site: VersionSite, node_id: str, base: int) -> None:
    node = site.by_id[node_id]
    body = document_body(base)
    version = await node.store.submit(body, base, f's{base}')
    node.holder.offer(version)
    node.distributor.publish(version)
    await asyncio.sleep(CHANGE_INTERVAL_S)


async def _cost(size: int) -> Cost:
    site = VersionSite()
    for index in range(size):
        domain = index // NODES_PER_DOMAIN
        site.start(f'n{index}', f'fd-{domain}')
    usage = site.memory.usage
    # The first poll of a process always reads; later polls are at rest.
    await _poll_at_rest(site, 1)
    before = replace(usage)
    await _poll_at_rest(site, REST_S)
    at_rest = (usage.reads - before.reads) / REST_S
    # The first version has no base, so the whole document is sent.
    await _change(site, 'n0', 0)
    site.sent_bytes.clear()
    site.received_bytes.clear()
    before = replace(usage)
    for base, node_id in zip(range(1, CHANGES + 1), _cycle_node_ids(site)):
        await _change(site, node_id, base)
    return Cost(
        nodes=size,
        is_in_force_everywhere=site.numbers() == {CHANGES + 1},
        reads_per_s_at_rest=at_rest,
        reads_per_change=(usage.reads - before.reads) / CHANGES,
        writes_per_change=(usage.writes - before.writes) / CHANGES,
        document_bytes=len(document_body(1)),
        received_bytes_per_node_and_change=(
            site.received_bytes.total() / CHANGES / size
        ),
        most_sent_bytes_by_a_node=max(site.sent_bytes.values()),
    )


def _cycle_node_ids(site: VersionSite) -> Iterator[str]:
    return itertools.cycle(site.by_id)


def measure_costs() -> Sequence[Mapping[str, object]]:
    """Return reads, writes and bytes for several sizes of a site."""
    return [_measure(size) for size in SITE_SIZES]


def _measure(size: int) -> Mapping[str, object]:
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(_cost(size)).report()
