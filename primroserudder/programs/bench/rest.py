"""Measures the load of an idle site on its processes and the platform."""

import argparse
import asyncio
import os
import pathlib
import sys
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass

import aiohttp
import orjson

from ..common import EXIT_OK, run
from ..operatorclient import OperatorClient
from ..siteplan import TOKEN, Site, add_site_flags, site_from_arguments

SERVING_TIMEOUT_S = 60
DEFAULT_SECONDS = 15
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_UTIME_FIELD, _STIME_FIELD = 11, 12


@dataclass(frozen=True, slots=True)
class RestReport:
    """Means per role, and platform rates, while no requests arrive."""

    entries: int
    engines: int
    entry_cpu_share: float
    entry_rss_bytes: float
    controller_cpu_share: float
    controller_rss_bytes: float
    platform_reads_per_s: float
    platform_writes_per_s: float


@dataclass(frozen=True, slots=True)
class _Counters:
    """Counters of the processes and the platform at one moment."""

    cpu_s_by_pid: Mapping[int, float]
    rss_by_pid: Mapping[int, int]
    reads: int
    writes: int


def main() -> None:
    """Measure a running site and write the report to a file."""
    parser = argparse.ArgumentParser(description='Measures an idle site.')
    add_site_flags(parser)
    parser.add_argument('--out', type=pathlib.Path, required=True)
    parser.add_argument('--seconds', type=float, default=DEFAULT_SECONDS)
    arguments = parser.parse_args()
    sys.exit(run(_main(arguments)))


async def _main(arguments: argparse.Namespace) -> int:
    site = site_from_arguments(arguments)
    async with aiohttp.ClientSession() as session:
        await configure(session, site, arguments.folder)
        before = await _read_counters(session, site, arguments.pids)
        await asyncio.sleep(arguments.seconds)
        after = await _read_counters(session, site, arguments.pids)
    report = _report(site, arguments.pids, before, after, arguments.seconds)
    arguments.out.write_bytes(orjson.dumps(asdict(report)))
    return EXIT_OK


async def configure(
    session: aiohttp.ClientSession,
    site: Site,
    folder: pathlib.Path,
) -> None:
    """Apply the site's configuration and wait until all groups are serving."""
    client = OperatorClient(session, site.operators_url(0), TOKEN)
    body = (folder / 'config.json').read_bytes()
    await client.post('/v1/config?base=0&submission=bench', body)
    expected = sum(site.groups_by_domain.values())
    for _ in range(SERVING_TIMEOUT_S):
        groups = (await client.get('/state'))['groups'].values()
        states = [group['state'] for group in groups]
        if states.count('serving') == expected:
            return
        await asyncio.sleep(1)
    sys.stderr.write('not all groups are serving\n')


async def _read_counters(
    session: aiohttp.ClientSession,
    site: Site,
    pids: Sequence[int],
) -> _Counters:
    async with session.get(f'{site.platform_url}/usage') as response:
        usage = await response.json()
    return _Counters(
        {pid: process_cpu_s(pid) for pid in pids},
        {pid: process_rss_bytes(pid) for pid in pids},
        usage['reads'],
        usage['writes'],
    )


def _report(
    site: Site,
    pids: Sequence[int],
    before: _Counters,
    after: _Counters,
    seconds: float,
) -> RestReport:
    shares = [
        (after.cpu_s_by_pid[pid] - before.cpu_s_by_pid[pid]) / seconds
        for pid in pids
    ]
    sizes = [after.rss_by_pid[pid] for pid in pids]
    entries = site.entries
    return RestReport(
        entries=entries,
        engines=sum(site.engines),
        entry_cpu_share=_mean(shares[:entries]),
        entry_rss_bytes=_mean(sizes[:entries]),
        controller_cpu_share=_mean(shares[entries:]),
        controller_rss_bytes=_mean(sizes[entries:]),
        platform_reads_per_s=(after.reads - before.reads) / seconds,
        platform_writes_per_s=(after.writes - before.writes) / seconds,
    )


def process_cpu_s(pid: int) -> float:
    """Return the CPU time of a process, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])) / TICKS_PER_S


def process_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


def _mean(figures: Sequence[float]) -> float:
    return sum(figures) / len(figures)


if __name__ == '__main__':
    main()
