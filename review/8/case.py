"""A claim of the lease that comes late, after a drill of the store."""

import asyncio
import base64
import json
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

from crashload import CLIENTS, Engines, Load  # noqa: E402
from smallsite import CannotRun, RecordingStore, Site, model_configuration  # noqa: E402

SIZE = 6
MODEL = {
    'Name': 'small',
    'size': SIZE,
    'Share': 1.0,
    'LoadS': 16.0,
    'WarmS': 1.6,
    'pace': 1.0,
}
ENGINES = 14
SLOTS = 26
# A call without an answer may be done so late.
MAX_LATE_S = 6.0
AWAY_S = 0.3
COPY_INTERVAL_S = 1.0
COPIES = 5
KILLED_AFTER_S = 3.0
DOWN_S = 1.5
RECOVERY_S = 12
MEASURED_S = 10


class DrillStore(RecordingStore):
    """A store that comes back from a copy, and does one claim late."""

    __slots__ = (
        'claimed_at',
        'is_away',
        'is_done',
        'copied_at',
        'is_late',
        'rows_copy',
        'leaving',
        'lost',
        'open',
    )

    def __init__(self, record):
        super().__init__(record)
        self.fate = self._fate
        self.is_late = False
        self.is_away = False
        self.is_done = False
        self.leaving = ''
        self.claimed_at = None
        self.open = {}
        self.lost = set()
        self.rows_copy = None
        self.copied_at = 0

    def _fate(self, transaction):
        """Leave the first claim of the lease by each other router unanswered."""
        claim = _lease_claim(transaction)
        if claim is not None:
            self.record.note(f'store: claim of the lease: {claim}')
        if not self.is_late or claim is None:
            return None
        router = _router(claim)
        if router in {'', self.leaving} | self.lost:
            return None
        self.lost.add(router)
        if self.claimed_at is None:
            self.claimed_at = time.monotonic()
        return MAX_LATE_S

    async def _apply_after(self, transaction, delay_s):
        """Do a call as soon as its condition holds, within ``delay_s``.

        Of the calls without an answer only the one of the lease's holder is
        done at all.
        """
        router = _router(_lease_claim(transaction))
        await asyncio.sleep(1.0)
        while (
            self.is_away
            or router != _router(self.rows.fields('leases', 'site') or {})
            or self.rows.conflicts(transaction) is not None
        ):
            if time.monotonic() - self.claimed_at > delay_s:
                self.record.note(f'store: the claim of {router} was not done')
                return
            await asyncio.sleep(0.005)
        self.rows.apply(transaction)
        self.is_done = True
        late_s = time.monotonic() - self.claimed_at
        self.record.note(
            f'store: {late_s:.3f} s late, as its condition holds:'
            f' claim of the lease {_lease_claim(transaction)}'
        )

    async def _transact(self, request):
        return await self._serve_call(request, super()._transact)

    async def _read(self, request):
        return await self._serve_call(request, super()._read)

    async def _feed(self, request):
        return await self._serve_call(request, super()._feed)

    async def _serve_call(self, request, serve):
        self.open[id(request)] = request
        try:
            if self.is_away:
                request.transport.abort()
                await asyncio.sleep(1)
            return await serve(request)
        finally:
            self.open.pop(id(request), None)

    async def copy_now_and_then(self):
        """Make copies, up to the claim that gets no answer."""
        copied = []
        while self.claimed_at is None:
            copied.append((time.monotonic(), self.rows.copy()))
            # An earlier one than the last: the store is some seconds behind.
            self.copied_at, self.rows_copy = copied[-COPIES:][0]
            await asyncio.sleep(COPY_INTERVAL_S)

    async def come_back_from_copy(self, engines):
        """Be away for a moment, and come back from a copy."""
        self.is_away = True
        for request in tuple(self.open.values()):
            if request.transport is not None:
                request.transport.abort()
        await asyncio.sleep(AWAY_S)
        self.rows.restore(self.rows_copy)
        self.is_away = False
        age_s = time.monotonic() - self.copied_at
        self.record.note(
            f'store: back from a copy {age_s:.1f} s old, version {self.rows.revision}, era {self.rows.era}'
        )
        for engine in engines:
            if self.rows.fields('servers', engine.engine_id) != engine._entry():
                engine.register()


def _router(claim):
    """Return the router that a claim of the lease names."""
    return str(claim.get('holder', '')).partition('/')[0]


def _lease_claim(transaction):
    """Return the lease's row if a call takes the lease for a new tenure."""
    puts = transaction.get('Puts') or ()
    if not any(row['Table'] == 'tenures' for row in puts):
        return None
    for row in puts:
        if row['Table'] == 'leases':
            return json.loads(base64.b64decode(row['Value']))
    return None


async def drain_one_of_each(site):
    """Let an engine of each group drain, as planned, and leave."""
    drained = []
    for head in list(site.open_groups().values()):
        engine = site.engines[head.members[2]]
        site.record.note(f'{engine.engine_id} drains, as planned')
        engine.is_draining = True
        engine.register()
        drained.append(engine)
    await asyncio.sleep(10)
    for engine in drained:
        engine.is_down = True
        engine.deregister()
        site.record.note(f'{engine.engine_id} is gone, as planned')


async def hand_over(site, troubles):
    """Stop the holder of the lease, as planned, around a drill."""
    holder = site.holder()
    store = site.store
    store.leaving = holder
    store.is_late = 'late' in troubles
    copying = asyncio.ensure_future(store.copy_now_and_then())
    site.send_signal(holder, signal.SIGTERM)
    await asyncio.sleep(0.2)
    await site.until(
        lambda: site.holder() not in {'', holder}, 12, 'another holder'
    )
    copying.cancel()
    await asyncio.sleep(0.5)
    if 'drill' in troubles:
        await store.come_back_from_copy(site.engines.values())
    await asyncio.sleep(5)
    process, fields = site.routers[holder]
    await asyncio.wait_for(process.wait(), 12)
    await site.start_router(int(holder.partition('-')[2]))


async def crash_and_kill(site, engines, tasks):
    """Crash an engine of each group, and kill all routers."""
    crashed = [
        site.engines[head.members[1]] for head in site.open_groups().values()
    ]
    listed = len(site.store.rows.copy().keys_of('servers'))
    site.record.note(f'{len(crashed)} of {listed} engines crash')
    tasks += [
        asyncio.ensure_future(engines.crash(engine)) for engine in crashed
    ]
    await asyncio.sleep(KILLED_AFTER_S)
    site.record.note('all routers are killed')
    for name in list(site.routers):
        site.send_signal(name, signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for number in range(3):
        await site.start_router(number, is_first_start=False)


def note_state(site):
    site.record.note(
        f'open: {sorted(site.open_groups())}, lease {site.store.rows.fields("leases", "site")}'
    )


async def run(site, troubles):
    site.store = DrillStore(site.record)
    await site.start_store(
        model_configuration(
            models=[MODEL], slots=SLOTS, loads_per_s=2.0, timeout_ms=6000
        )
    )
    for number in range(ENGINES):
        await site.add_engine(
            f'i-{number}', join_s=0.2, events=12, event_s=0.06, slots=SLOTS
        )
    engines = Engines(site)
    tasks = [asyncio.ensure_future(engines.run())]
    for number in range(3):
        await site.start_router(number)
    load = Load(site)
    await site.until(lambda: len(site.open_groups()) >= 2, 30, 'open groups')
    tasks += [
        asyncio.ensure_future(load.run(number))
        for number in range(CLIENTS // 4)
    ]
    await asyncio.sleep(4)
    note_state(site)
    await hand_over(site, troubles)
    if 'late' in troubles and not site.store.is_done:
        raise CannotRun('the late claim was not done')
    note_state(site)
    await drain_one_of_each(site)
    await site.until(
        lambda: len(site.open_groups()) >= 2, 20, 'groups formed again'
    )
    note_state(site)
    before = load.served(0, time.monotonic() - 1)
    if 'crash' in troubles:
        await crash_and_kill(site, engines, tasks)
    back_at = time.monotonic()
    await asyncio.sleep(RECOVERY_S + MEASURED_S + 1)
    after = load.served(back_at + RECOVERY_S, back_at + RECOVERY_S + MEASURED_S)
    note_state(site)
    site.record.note(f'served before {before}, after {after}')
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
    chosen = os.environ.get('TROUBLE', '1')
    troubles = {'1': 'drill,late,crash', '0': ''}.get(chosen, chosen).split(',')
    site = Site(FOLDER)
    try:
        await run(site, troubles)
    except CannotRun as error:
        site.record.note(f'the case could not run: {error}')
        return 2
    finally:
        await site.close()
    site.record.note(f'broken: {len(site.violations)}')
    return 1 if site.violations else 0


sys.exit(asyncio.run(main()))
