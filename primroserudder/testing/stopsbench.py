"""Plans stops under streaming load over real sockets.

Explanation
===========
As soon as a stop is safe, the engines of its VMs are crashed, as if an
operator shut the VMs down. A request still in flight there would be cut; the
bench counts the cut streams. Then the stop is deleted, and the VMs serve again.
"""

import argparse
import asyncio
import itertools
import random
import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import aiohttp
import orjson
from loguru import logger

from ..process.metrics import Latency
from ..process.stops import StopKind
from ..programs.common import EXIT_FAILED, EXIT_OK, run
from ..programs.entrynode import EntryNode
from ..standins.frames import STREAM_END
from .localsite import POLL_S, LocalSite, running_site

STREAMS_PER_ENTRY = 12
SHORTEST_TOKENS = 5
LONGEST_TOKENS = 500
TOKEN_MARK = b'"choices"'


@dataclass(slots=True)
class StopsReport:
    """The results of the stops and of the concurrent load."""

    stops: int = 0
    streams: int = 0
    tokens: int = 0
    cut: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    until_safe: Latency = field(default_factory=Latency)

    def as_json(self) -> dict[str, object]:
        """Return the report as JSON values."""
        return {
            'stops': self.stops,
            'streams': self.streams,
            'tokens': self.tokens,
            'cut': self.cut,
            'outcomes': dict(self.outcomes),
            'until_safe': self.until_safe.summary(),
        }


@dataclass(slots=True)
class StopsBench:
    """Plans the stops of each failure domain in turn, under load."""

    site: LocalSite
    stops: int
    rng: random.Random
    report: StopsReport = field(default_factory=StopsReport)
    is_over: bool = False

    async def run(self) -> StopsReport:
        """Plan all stops and return the results."""
        load = [
            asyncio.create_task(self._run_streams(entry))
            for entry in self.site.entries
            for _ in range(STREAMS_PER_ENTRY)
        ]
        # Let every entry have work in flight before the first stop.
        await asyncio.gather(
            *(
                self.site.until_in_flight(entry, STREAMS_PER_ENTRY)
                for entry in self.site.entries
            ),
        )
        numbers = iter(range(self.stops))
        await asyncio.gather(
            *(self._run_stops(entry, numbers) for entry in self.site.entries),
        )
        self.is_over = True
        await asyncio.gather(*load)
        return self.report

    async def _run_streams(self, entry: EntryNode) -> None:
        while not self.is_over:
            tokens = self.rng.randint(SHORTEST_TOKENS, LONGEST_TOKENS)
            try:
                body = await self.site.stream(entry, tokens)
            except aiohttp.ClientError as error:
                self._note(type(error).__name__)
                continue
            count = body.count(TOKEN_MARK)
            self.report.tokens += count
            is_whole = body.endswith(STREAM_END) and count == tokens
            self._note('whole' if is_whole else _code(body))

    async def _run_stops(
        self, entry: EntryNode, numbers: Iterator[int]
    ) -> None:
        for number in numbers:
            await self.site.until_serving()
            await self._stop(entry, f'stop-{number}')

    async def _stop(self, entry: EntryNode, stop_id: str) -> None:
        operator = self.site.operator(entry)
        domain = entry.settings.failure_domain
        order = {
            'stop_id': stop_id,
            **self._target(entry),
            'accepts_loss': True,
        }
        started_at = asyncio.get_running_loop().time()
        planned = await operator.post('/v1/stops', orjson.dumps(order))
        await self._until_safe(f'stops/{domain}/{stop_id}')
        elapsed = asyncio.get_running_loop().time() - started_at
        self.report.until_safe.record(elapsed)
        engines_by_vm = self.site.local.standins.engines_by_vm
        for vm_id in planned['effect']['vms']:
            engines_by_vm[vm_id].crash()
        await operator.delete(f'/v1/stops/{stop_id}')
        self.report.stops += 1

    async def _until_safe(self, key: str) -> None:
        platform = self.site.local.standins.platform
        while platform.rows_by_key[key].fields['state'] != 'safe':
            await asyncio.sleep(POLL_S)

    def _target(self, entry: EntryNode) -> dict[str, str]:
        domain = entry.settings.failure_domain
        groups = [
            group
            for group in entry.directory.by_id.values()
            if group.failure_domain == domain
        ]
        group = self.rng.choice(groups)
        member = self.rng.choice(group.members)
        kind, target = self.rng.choice(
            (
                (StopKind.GROUP, group.group_id),
                (StopKind.VM, member.vm_id),
            ),
        )
        return {'kind': kind.value, 'target': target}

    def _note(self, outcome: str) -> None:
        self.report.streams += 1
        self.report.outcomes[outcome] += 1
        self.report.cut += outcome != 'whole'


def _code(body: bytes) -> str:
    start = body.rfind(b'"code"')
    fields = body[start:].split(b'"')
    return next(itertools.islice(fields, 3, None), b'cut').decode()


async def measure(stops: int, seed: int) -> StopsReport:
    """Return the results of so many stops."""
    async with running_site() as site:
        return await StopsBench(site, stops, random.Random(seed)).run()


async def _main(arguments: argparse.Namespace) -> int:
    report = await measure(arguments.stops, arguments.seed)
    text = orjson.dumps(report.as_json(), option=orjson.OPT_INDENT_2).decode()
    sys.stdout.write(f'{text}\n')
    return EXIT_FAILED if report.cut else EXIT_OK


def main() -> None:
    """Measure and write the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--stops', type=int, default=100)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    logger.remove()
    sys.exit(run(_main(arguments)))


if __name__ == '__main__':
    main()
