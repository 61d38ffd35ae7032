"""A loss that takes more than a hundred rows to repair is never repaired."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

from crashload import CLIENTS, CRASHED_S, Engines, Load  # noqa: E402
from smallsite import CannotRun, Site, model_configuration  # noqa: E402

SIZE = 6
MODEL = {
    'Name': 'small',
    'size': SIZE,
    'Share': 1.0,
    'LoadS': 16.0,
    'WarmS': 1.6,
    'pace': 1.0,
}
DOMAINS = 17
DOMAIN_ENGINES = 35
SLOTS = 13
CRASHED_SHARE = 0.17
# The processes are killed so long after the crash, and are back DOWN_S later.
KILLED_AFTER_S = 3.0
DOWN_S = 1.5
RECOVERY_S = 15
MEASURED_S = 10


async def run(site, trouble):
    await site.start_store(
        model_configuration(
            models=[MODEL],
            slots=SLOTS,
            loads_per_s=73.0,
            loads_at_once=109,
            timeout_ms=6000,
        )
    )
    for number in range(DOMAINS * DOMAIN_ENGINES):
        await site.add_engine(
            f'i-{number}',
            join_s=0.2,
            events=12,
            event_s=0.06,
            slots=SLOTS,
            domain=f'd{number % DOMAINS}',
            failure_domain=f'fd-{number % 3}',
        )
    engines = Engines(site)
    tasks = [asyncio.ensure_future(engines.run())]
    for number in range(3):
        await site.start_router(number)
    load = Load(site)
    await site.until(lambda: len(site.open_groups()) >= 85, 45, 'open groups')
    tasks += [
        asyncio.ensure_future(load.run(number)) for number in range(CLIENTS)
    ]
    await asyncio.sleep(8)
    heads = list(site.open_groups().values())
    before = load.served(time.monotonic() - 6, time.monotonic() - 1)
    site.record.note(
        f'{len(heads)} groups open, served {before[0]} of {before[1]} requests'
    )
    if trouble:
        count = int(CRASHED_SHARE * len(site.engines))
        rng = random.Random(7)
        rng.shuffle(heads)
        crashed = [site.engines[head.members[1]] for head in heads[:count]]
        site.record.note(f'{len(crashed)} engines crash for {CRASHED_S} s')
        tasks += [
            asyncio.ensure_future(engines.crash(engine)) for engine in crashed
        ]
        await asyncio.sleep(KILLED_AFTER_S)
        before = load.served(0, time.monotonic() - 1)
        site.record.note(
            f'served {before[0]} of {before[1]} requests before the final fault: all routers are killed'
        )
        for name in list(site.routers):
            site.send_signal(name, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for number in range(3):
            await site.start_router(number, is_first_start=False)
    back_at = time.monotonic()
    await asyncio.sleep(RECOVERY_S + MEASURED_S + 2)
    after = load.served(back_at + RECOVERY_S, back_at + RECOVERY_S + MEASURED_S)
    site.record.note(
        f'{len(site.open_groups())} groups open, served {after[0]} of {after[1]} requests'
    )
    site.record.note(f'refused calls of the store: {site.store.refused_calls}')
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if before[0] * 4 < before[1]:
        raise CannotRun('less than a quarter was served before')
    if after[0] * 4 < after[1]:
        text = f'RECOVER: {after[0]} of {after[1]} requests were served'
        site.violations.append(text)
        site.record.note(text)


async def main():
    trouble = os.environ.get('TROUBLE', '1') != '0'
    site = Site(FOLDER)
    try:
        await run(site, trouble)
    except CannotRun as error:
        site.record.note(f'the case could not run: {error}')
        return 2
    finally:
        await site.close()
    site.record.note(f'broken: {len(site.violations)}')
    return 1 if site.violations else 0


sys.exit(asyncio.run(main()))
