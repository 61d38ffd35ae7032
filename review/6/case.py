"""Two claims without an answer put one engine into two groups."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

from smallsite import CannotRun, Client, Site, model_configuration  # noqa: E402

MODEL = {
    'Name': 'small',
    'size': 3,
    'Share': 1.0,
    'LoadS': 0.5,
    'WarmS': 0.4,
    'pace': 1.0,
}
ENGINES = 8
LOST_S = 4.5
# The two claims in the disruption get no answer and are done so much later.
LATE_S = (1.5, 2.0)


class LostAnswers:
    """Loses the answers of two writes within ``LOST_S``; both are done late."""

    def __init__(self, site):
        self.site = site
        self.until = 0
        self.lost = 0
        self.seen = 0

    def __call__(self, transaction):
        loop = asyncio.get_running_loop()
        if loop.time() >= self.until:
            return None
        self.seen += 1
        is_claim = any(
            row['Table'] == 'groups' for row in transaction.get('Puts') or ()
        )
        if not is_claim or self.lost == len(LATE_S):
            return None
        self.lost += 1
        return LATE_S[self.lost - 1]


async def run(site, has_trouble):
    await site.start_store(model_configuration(models=[MODEL], slots=6))
    for number in range(ENGINES):
        engine = await site.add_engine(
            f'i-{number}', join_s=0.2, events=60, event_s=0.03, slots=6
        )
        engine.member.form_s = 0.3
    for number in range(3):
        await site.start_router(number)
    await site.until(
        lambda: len(site.open_groups()) >= 2, 30, 'two open groups'
    )
    clients = [
        asyncio.ensure_future(Client(site, number).run())
        for number in range(24)
    ]
    await asyncio.sleep(3)
    site.record.note(
        f'open: {sorted(site.open_groups())}, holder {site.holder()}'
    )
    faults = LostAnswers(site)
    site.store.fate = faults
    if has_trouble:
        faults.until = asyncio.get_running_loop().time() + LOST_S
        site.record.note(f'answers of the store are lost for {LOST_S} s')
    leaving = next(iter(site.open_groups().values()))
    drained = site.engines[leaving.members[2]]
    site.record.note(f'{drained.engine_id} drains, as planned')
    drained.is_draining = True
    drained.register()
    await asyncio.sleep(10)
    site.record.note(f'claims in the store: {site.store.claims()}')
    site.record.note(
        f'open: {sorted(site.open_groups())}, holder {site.holder()}'
    )
    site.record.note(f'answers lost: {faults.lost} of {faults.seen} writes')
    site.send_signal(site.holder(), signal.SIGTERM)
    await asyncio.sleep(12)
    for client in clients:
        client.cancel()
    if has_trouble and faults.lost < len(LATE_S):
        raise CannotRun('the claims were not sent within the disruption')


async def main():
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    site = Site(FOLDER)
    try:
        await run(site, has_trouble)
    except CannotRun as error:
        site.record.note(f'the case could not run: {error}')
        return 2
    finally:
        await site.close()
    site.record.note(f'broken: {len(site.violations)}')
    return 1 if site.violations else 0


sys.exit(asyncio.run(main()))
