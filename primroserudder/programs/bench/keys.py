"""Measures the cost of idempotency keys; see docs/design/at-most-once.md.

Explanation
===========
For recorded keys, the report holds the rows per transaction, the transactions
per second and the delay of a claim, by claim rate and gathering time. It runs
in virtual time with a platform that takes 5 ms per commit. For minted keys, the
report holds the bytes per remembered key and the seconds to mint and check one.
"""

import argparse
import asyncio
import sys
import time
import tracemalloc
from collections.abc import Mapping, Sequence

import orjson

from ...process.clock import LoopClock, SystemClock
from ...process.metrics import Metrics
from ...request.keybatch import BatchWriter, RowWrite
from ...request.keymemory import KeyMemory
from ...request.mintedkey import Minter
from ...standins.memory import MemoryPlatform
from ...testing.virtualtime import VirtualTimeLoop

COMMIT_S = 0.005
SECONDS = 20
RATES = (1, 10, 100, 675)
GATHER_TIMES_S = (0.001, 0.02, 0.1, 0.5)
REMEMBERED = 20_000
MINTED_KEYS = 5000
DIGEST_CHARACTERS = 64
SECRET = 'a-secret-for-this-run'
INCARNATION = '0123456789abcdef0123456789abcdef'


def main() -> None:
    """Measure both kinds of keys and write a JSON report to stdout."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    report = {
        'recorded': [
            _measure_recorded(rate, gather_s)
            for rate in RATES
            for gather_s in GATHER_TIMES_S
        ],
        'minted': _measure_minted(),
    }
    text = orjson.dumps(report, option=orjson.OPT_INDENT_2).decode()
    sys.stdout.write(f'{text}\n')


def _measure_recorded(rate: int, gather_s: float) -> Mapping[str, float]:
    loop = VirtualTimeLoop()
    platform = MemoryPlatform()
    platform.faults.delay_s = COMMIT_S
    metrics = Metrics()
    writer = BatchWriter(platform, metrics, gather_s)
    loop.run_until_complete(_claim_at_rate(writer, metrics, rate))
    loop.close_all()
    rows = metrics.value('key_rows')
    transactions = metrics.value('key_transactions')
    delay = metrics.latency('claim').summary()
    return {
        'claims_per_s': rate,
        'gather_s': gather_s,
        'rows_per_transaction': round(rows / transactions, 2),
        'transactions_per_s': round(transactions / SECONDS, 1),
        'delay_p50_s': delay['p50_s'],
        'delay_p99_s': delay['p99_s'],
    }


async def _claim_at_rate(
    writer: BatchWriter, metrics: Metrics, rate: int
) -> None:
    claims: list[asyncio.Task[None]] = []
    for number in range(rate * SECONDS):
        claims.append(asyncio.create_task(_claim(writer, metrics, number)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*claims)


async def _claim(writer: BatchWriter, metrics: Metrics, number: int) -> None:
    clock = LoopClock()
    started_at = clock.monotonic()
    await writer.write(RowWrite(f'keys/{number}', {}, 0))
    metrics.latency('claim').record(clock.monotonic() - started_at)


def _measure_minted() -> Mapping[str, float]:
    clock = SystemClock()
    memory = KeyMemory(clock, max_records=REMEMBERED)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for nonce in range(REMEMBERED):
        digest = str(nonce).rjust(DIGEST_CHARACTERS, '0')
        memory.start(nonce, digest)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    minter = Minter(SECRET, 'entry-1', INCARNATION, '127.0.0.1:9000', clock)
    keys = _time_minting(minter)
    return {
        'bytes_per_remembered_key': round((after - before) / REMEMBERED),
        **keys,
    }


def _time_minting(minter: Minter) -> Mapping[str, float]:
    started_at = time.process_time()
    keys: Sequence[str] = [minter.mint('yard') for _ in range(MINTED_KEYS)]
    minted_at = time.process_time()
    for key in keys:
        minter.parse(key, 'yard')
    checked_at = time.process_time()
    return {
        'mint_s': (minted_at - started_at) / MINTED_KEYS,
        'check_s': (checked_at - minted_at) / MINTED_KEYS,
    }


if __name__ == '__main__':
    main()
