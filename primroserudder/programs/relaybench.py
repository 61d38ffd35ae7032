"""The benchmark ``bin/relay-bench``, whose parts run as separate processes.

Explanation
===========
The real ``rudder-entry`` and a bare pass-through of the same HTTP library
relay the same streams in the same run. The CPU time is that of the relaying
process alone.
"""

import argparse
import asyncio
import pathlib
import sys
from collections.abc import Mapping, Sequence

import aiohttp
import orjson

from .benchload import Tally, Target, hold_streams, open_at_rate
from .benchparts import HOST, PORTS_FILE, serve_baseline, serve_upstream
from .benchupstream import TOKEN_INTERVAL_S
from .common import EXIT_FAILED, EXIT_OK, run
from .demo import DEMO_KEY

MIN_SHARE = 0.7
MIN_TOKENS_PER_CORE = 20_000
MAX_ADDED_S = 0.005
WARM_S = 2
POLL_S = 0.1
ROUNDS = 2
MILLISECONDS = 1000
REPORTED_PERCENTILE = 99


async def _load(arguments: argparse.Namespace) -> int:
    ports = orjson.loads((arguments.directory / PORTS_FILE).read_bytes())
    direct = Target('direct', ports['engine'], DEMO_KEY)
    relays = [
        Target('baseline', ports['baseline'], DEMO_KEY, arguments.baseline_pid),
        Target('entry', ports['entry'], DEMO_KEY, arguments.entry_pid),
    ]
    await _wait_for_entry(ports['operators'])
    is_cheap = await _measure_capacity(relays, arguments)
    is_smooth = await _measure_pace([direct, *relays], arguments)
    return EXIT_OK if is_cheap and is_smooth else EXIT_FAILED


async def _wait_for_entry(port: int) -> None:
    async with aiohttp.ClientSession() as session:
        while not await _is_ready(session, port):
            await asyncio.sleep(POLL_S)
    # The engine is first probed after the configuration is received.
    await asyncio.sleep(WARM_S)


async def _is_ready(session: aiohttp.ClientSession, port: int) -> bool:
    try:
        async with session.get(f'http://{HOST}:{port}/readyz') as answer:
            return answer.ok
    except aiohttp.ClientError:
        return False


async def _measure_capacity(
    relays: Sequence[Target],
    arguments: argparse.Namespace,
) -> bool:
    per_core: dict[str, float] = {}
    for _ in range(ROUNDS):
        for relay in relays:
            tally, used = await hold_streams(
                relay,
                arguments.streams,
                arguments.seconds,
                WARM_S,
            )
            per_core[relay.name] = max(
                per_core.get(relay.name, 0),
                tally.tokens / used,
            )
            _print_row('capacity', relay, tally, used)
    share = per_core['entry'] / per_core['baseline']
    sys.stdout.write(f'entry / baseline: {share:.2f}\n')
    is_enough = per_core['entry'] >= MIN_TOKENS_PER_CORE
    return is_enough and share >= MIN_SHARE


async def _measure_pace(
    targets: Sequence[Target],
    arguments: argparse.Namespace,
) -> bool:
    gaps: dict[str, float] = {}
    for target in targets:
        tally, used = await open_at_rate(
            target,
            arguments.rate,
            arguments.tokens,
            arguments.seconds,
        )
        gaps[target.name] = tally.gap_s(REPORTED_PERCENTILE)
        _print_row('pace', target, tally, used)
    added_s = gaps['entry'] - gaps['direct']
    added_ms = added_s * MILLISECONDS
    sys.stdout.write(f'p99 added between tokens: {added_ms:.1f} ms\n')
    return added_s < MAX_ADDED_S


def _print_row(kind: str, target: Target, tally: Tally, used_s: float) -> None:
    interval_ms = TOKEN_INTERVAL_S * MILLISECONDS
    row: Mapping[str, object] = {
        'measured': kind,
        'target': target.name,
        'tokens': tally.tokens,
        'processor_s': round(used_s, 2),
        'tokens_per_core_s': round(tally.tokens / used_s) if used_s else None,
        'failures': tally.failures,
        'gap_p99_over_interval_ms': round(
            tally.gap_s(REPORTED_PERCENTILE) * MILLISECONDS - interval_ms,
            1,
        ),
    }
    text = orjson.dumps(row).decode()
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


_FLAGS: Sequence[tuple[str, type, float]] = (
    ('--entry-pid', int, 0),
    ('--baseline-pid', int, 0),
    ('--streams', int, 400),
    ('--seconds', float, 8),
    ('--rate', float, 60),
    ('--tokens', int, 100),
)


def main() -> None:
    """Run one part of the benchmark."""
    parser = argparse.ArgumentParser(prog='bin/relay-bench')
    parser.add_argument('part', choices=('upstream', 'baseline', 'load'))
    parser.add_argument('directory', type=pathlib.Path)
    for flag, kind, default in _FLAGS:
        parser.add_argument(flag, type=kind, default=default)
    arguments = parser.parse_args()
    if arguments.part == 'load':
        sys.exit(run(_load(arguments)))
    serve = serve_upstream if arguments.part == 'upstream' else serve_baseline
    sys.exit(run(serve(arguments.directory)))


if __name__ == '__main__':
    main()
