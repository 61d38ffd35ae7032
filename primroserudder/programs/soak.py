"""The driver of ``bin/soak``: load, faults and checked conditions."""

import argparse
import asyncio
import pathlib
import random
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import orjson

from .common import EXIT_FAILED, EXIT_OK, run
from .operatorclient import OperatorClient
from .siteplan import (
    FAILURE_DOMAINS,
    TOKEN,
    Site,
    add_site_flags,
    site_from_arguments,
)
from .soakfaults import SoakFaults
from .soakload import SoakLoad

RATE = 40.0
DEFAULT_SECONDS = 600
SAMPLE_S = 5
FORMING_TIMEOUT_S = 60
QUIET_S = 20
MEMORY_GROWTH_LIMIT = 0.05
THIRDS = 3
PAGE_KIB = 4
MAX_SHOWN = 10
TASK_SAMPLES = 10
TASK_SAMPLE_S = 0.3


@dataclass(slots=True)
class Samples:
    """Resident memory of each process over time."""

    rss_kib_by_pid: dict[int, list[int]] = field(default_factory=dict)

    def take(self, pids: Sequence[int]) -> None:
        """Record the resident memory of each process in KiB."""
        for pid in pids:
            kib = self.rss_kib_by_pid.setdefault(pid, [])
            kib.append(_rss_kib(pid))

    def growth(self) -> float:
        """Return the largest growth over the last third, as a share."""
        return max(map(_last_third_growth, self.rss_kib_by_pid.values()))


def _rss_kib(pid: int) -> int:
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * PAGE_KIB


def _last_third_growth(kib: Sequence[int]) -> float:
    last = kib[-max(2, len(kib) // THIRDS) :]
    middle = len(last) // 2
    earlier = sum(last[:middle]) / middle
    later = sum(last[middle:]) / (len(last) - middle)
    return later / earlier - 1


@dataclass(slots=True)
class Soak:
    """One soak of a running site."""

    session: aiohttp.ClientSession
    site: Site
    pids: Sequence[int]
    seed: int
    samples: Samples = field(default_factory=Samples)

    async def run(self, folder: pathlib.Path, seconds: float) -> int:
        """Run the soak, write its report and return the exit code."""
        await self._configure(folder)
        rng = random.Random(self.seed)
        load = SoakLoad(self.session, self.site, rng)
        faults = SoakFaults(
            self.session,
            self.site,
            random.Random(self.seed + 1),
            self.pids,
        )
        tasks_before = await self._tasks()
        sampling = asyncio.create_task(self._sample())
        async with asyncio.TaskGroup() as group:
            group.create_task(load.run(seconds, RATE))
            group.create_task(faults.run(max(1, seconds - QUIET_S)))
        sampling.cancel()
        await asyncio.sleep(QUIET_S)
        states = await self._states()
        report = {
            'seed': self.seed,
            'seconds': seconds,
            'requests': load.requests,
            'outcomes_by_code': dict(load.outcomes.by_code),
            'violations': load.outcomes.violations[:MAX_SHOWN],
            'invariants': _violated(states),
            'faults': dict(faults.shown_by_name),
            'memory_growth_last_third': round(self.samples.growth(), 4),
            'tasks_before': tasks_before,
            'tasks_after': await self._tasks(),
            'repeated_runs': await self._repeated_runs(),
        }
        text = orjson.dumps(report, option=orjson.OPT_INDENT_2).decode()
        sys.stdout.write(f'{text}\n')
        return EXIT_OK if _is_clean(report) else EXIT_FAILED

    async def _configure(self, folder: pathlib.Path) -> None:
        client = self._operators(self.site.operators_url(0))
        body = (folder / 'config.json').read_bytes()
        await client.post('/v1/config?base=0&submission=soak', body)
        expected = sum(self.site.groups_by_domain.values())
        for _ in range(FORMING_TIMEOUT_S):
            states = await self._states()
            if all(
                _serving(state) == expected
                for state in states[: self.site.entries]
            ):
                return
            await asyncio.sleep(1)
        sys.stderr.write('not all groups are serving; the soak starts anyway\n')

    async def _sample(self) -> None:
        while True:
            self.samples.take(self.pids)
            await asyncio.sleep(SAMPLE_S)

    async def _states(self) -> list[Mapping[str, Any]]:
        urls = [
            *map(self.site.operators_url, range(self.site.entries)),
            *map(self.site.controller_url, range(len(FAILURE_DOMAINS))),
        ]
        return list(
            await asyncio.gather(
                *(self._operators(url).get('/state') for url in urls),
            ),
        )

    async def _tasks(self) -> list[int]:
        # The minimum of several counts leaves out short-lived tasks.
        counts = []
        for _ in range(TASK_SAMPLES):
            states = await self._states()
            counts.append([state['node']['tasks'] for state in states])
            await asyncio.sleep(TASK_SAMPLE_S)
        return list(map(min, zip(*counts, strict=True)))

    async def _repeated_runs(self) -> int:
        url = '/'.join((self.site.plain_url, 'runs'))
        async with self.session.get(url) as response:
            runs = await response.json()
        return sum(1 for count in runs.values() if count > 1)

    def _operators(self, url: str) -> OperatorClient:
        return OperatorClient(self.session, url, TOKEN)


def _serving(state: Mapping[str, Any]) -> int:
    groups = state['groups'].values()
    return sum(1 for group in groups if group['state'] == 'serving')


def _violated(states: Sequence[Mapping[str, Any]]) -> list[object]:
    return [state['invariants'] for state in states if state['invariants']]


def _is_clean(report: Mapping[str, Any]) -> bool:
    tasks_grew = any(
        after > before
        for before, after in zip(
            report['tasks_before'],
            report['tasks_after'],
            strict=True,
        )
    )
    memory_grew = report['memory_growth_last_third'] > MEMORY_GROWTH_LIMIT
    faults = ('violations', 'invariants', 'repeated_runs')
    is_faulty = any(report[name] for name in faults)
    return not (is_faulty or tasks_grew or memory_grew)


def main() -> None:
    """Soak a running site."""
    parser = argparse.ArgumentParser(prog='bin/soak')
    add_site_flags(parser)
    parser.add_argument('--seconds', type=float, default=DEFAULT_SECONDS)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    sys.exit(run(_main(arguments, site_from_arguments(arguments))))


async def _main(arguments: argparse.Namespace, site: Site) -> int:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        soak = Soak(session, site, arguments.pids, arguments.seed)
        return await soak.run(arguments.folder, arguments.seconds)


if __name__ == '__main__':
    main()
