"""The benchmark ``bin/relay-bench``; each of its parts is a process.

Explanation
===========
The real ``rudder-entry`` and a bare pass-through of the same HTTP library
relay the same streams in the same run; the processor time is that of the
relaying process alone.
"""

import argparse
import asyncio
import pathlib
import sys
from collections.abc import Mapping, Sequence

import aiohttp
import orjson

from .benchload import Tally, Target, arrive, hold
from .benchparts import HOST, PORTS_FILE, serve_baseline, serve_upstream
from .benchupstream import TOKEN_INTERVAL_S
from .common import EXIT_FAILED, EXIT_OK, run
from .demo import DEMO_KEY

LEAST_SHARE = 0.7
LEAST_TOKENS_PER_CORE = 20_000
MOST_ADDED_S = 0.005
WARM_S = 2
POLL_S = 0.1
ROUNDS = 2
MILLISECONDS = 1000
REPORTED = 99


async def _load(arguments: argparse.Namespace) -> int:
    ports = orjson.loads((arguments.directory / PORTS_FILE).read_bytes())
    direct = Target('direct', ports['engine'], DEMO_KEY)
    relays = [
        Target('baseline', ports['baseline'], DEMO_KEY, arguments.baseline_pid),
        Target('entry', ports['entry'], DEMO_KEY, arguments.entry_pid),
    ]
    await _wait_for_entry(ports['operators'])
    is_cheap = await _measure_capacity(relays, arguments)
    is_even = await _measure_pace([direct, *relays], arguments)
    return EXIT_OK if is_cheap and is_even else EXIT_FAILED


async def _wait_for_entry(port: int) -> None:
    async with aiohttp.ClientSession() as session:
        while not await _is_ready(session, port):
            await asyncio.sleep(POLL_S)
    # The first probe of the engine follows the configuration.
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
            tally, used = await hold(
                relay,
                arguments.streams,
                arguments.seconds,
                WARM_S,
            )
            per_core[relay.name] = max(
                per_core.get(relay.name, 0),
                tally.tokens / used,
            )
            _show('capacity', relay, tally, used)
    share = per_core['entry'] / per_core['baseline']
    sys.stdout.write(f'entry / baseline: {share:.2f}\n')
    is_enough = per_core['entry'] >= LEAST_TOKENS_PER_CORE
    return is_enough and share >= LEAST_SHARE


async def _measure_pace(
    targets: Sequence[Target],
    arguments: argparse.Namespace,
) -> bool:
    gaps: dict[str, float] = {}
    for target in targets:
        tally, used = await arrive(
            target,
            arguments.rate,
            arguments.tokens,
            arguments.seconds,
        )
        gaps[target.name] = tally.gap_s(REPORTED)
        _show('pace', target, tally, used)
    added_s = gaps['entry'] - gaps['direct']
    added_ms = added_s * MILLISECONDS
    sys.stdout.write(f'p99 added between tokens: {added_ms:.1f} ms\n')
    return added_s < MOST_ADDED_S


def _show(kind: str, target: Target, tally: Tally, used_s: float) -> None:
    interval_ms = TOKEN_INTERVAL_S * MILLISECONDS
    found: Mapping[str, object] = {
        'measured': kind,
        'target': target.name,
        'tokens': tally.tokens,
        'processor_s': round(used_s, 2),
        'tokens_per_core_s': round(tally.tokens / used_s) if used_s else None,
        'failures': tally.failures,
        'gap_p99_over_interval_ms': round(
            tally.gap_s(REPORTED) * MILLISECONDS - interval_ms,
            1,
        ),
    }
    text = orjson.dumps(found).decode()
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
    """Run one part."""
    made = argparse.ArgumentParser(prog='bin/relay-bench')
    made.add_argument('part', choices=('upstream', 'baseline', 'load'))
    made.add_argument('directory', type=pathlib.Path)
    for flag, kind, default in _FLAGS:
        made.add_argument(flag, type=kind, default=default)
    arguments = made.parse_args()
    if arguments.part == 'load':
        sys.exit(run(_load(arguments)))
    role = serve_upstream if arguments.part == 'upstream' else serve_baseline
    sys.exit(run(role(arguments.directory)))


if __name__ == '__main__':
    main()
