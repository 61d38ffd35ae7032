"""Measures the memory and CPU time of an entry per in-flight request."""

import argparse
import asyncio
import pathlib
import sys
from collections.abc import Sequence

import aiohttp
import orjson

from ..common import EXIT_OK, run
from ..siteplan import KEY, MODEL, Site, add_site_flags, site_from_arguments
from .rest import configure, process_cpu_s, process_rss_bytes
from .slope import Point, fit, write_slopes

COMMAND = 'bin/bench'
SIZES = (100, 400, 1200)
TOKENS = 1000
SETTLE_S = 3
MEASURED_S = 5


def main() -> None:
    """Measure the first entry of a running site and write its slopes."""
    parser = argparse.ArgumentParser(description='Measures in-flight requests.')
    add_site_flags(parser)
    parser.add_argument('--out', type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    sys.exit(run(_main(arguments)))


async def _main(arguments: argparse.Namespace) -> int:
    site = site_from_arguments(arguments)
    pid = arguments.pids[0]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await configure(session, site, arguments.folder)
        points = [await _measure(session, site, pid, size) for size in SIZES]
    write_slopes(
        arguments.out,
        [
            fit(
                'request_bytes',
                'bytes',
                'open request',
                COMMAND,
                [Point(size, rss) for size, rss, _ in points],
            ),
            fit(
                'stream_cpu',
                'CPU seconds a second',
                'open request',
                COMMAND,
                [Point(size, share) for size, _, share in points],
            ),
        ],
    )
    return EXIT_OK


async def _measure(
    session: aiohttp.ClientSession,
    site: Site,
    pid: int,
    size: int,
) -> tuple[int, int, float]:
    streams = [
        asyncio.create_task(_stream_completion(session, site, index))
        for index in range(size)
    ]
    await asyncio.sleep(SETTLE_S)
    started_cpu_s = process_cpu_s(pid)
    await asyncio.sleep(MEASURED_S)
    share = (process_cpu_s(pid) - started_cpu_s) / MEASURED_S
    rss = process_rss_bytes(pid)
    await _cancel_streams(streams)
    return size, rss, share


async def _stream_completion(
    session: aiohttp.ClientSession,
    site: Site,
    index: int,
) -> None:
    body = {
        'model': MODEL,
        'prompt': f'batch {index}',
        'max_tokens': TOKENS,
        'stream': True,
    }
    async with session.post(
        f'{site.callers_url(0)}/v1/completions',
        data=orjson.dumps(body),
        headers={'Authorization': f'Bearer {KEY}'},
    ) as response:
        await response.read()


async def _cancel_streams(streams: Sequence[asyncio.Task[None]]) -> None:
    for stream in streams:
        stream.cancel()
    await asyncio.gather(*streams, return_exceptions=True)


if __name__ == '__main__':
    main()
