"""A small deployment on loopback: stand-ins here, routers as processes.

The store and the engines are the project's stand-ins with a record of what
they are asked. The routers are started with the command of the deploy file.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

from aiohttp import ClientSession, ClientTimeout, DummyCookieJar, web

from primroserudder.standins.groupengine import GroupEngine
from primroserudder.standins.tablestore import TableStore

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'one.example'
KEY = 'key-of-north'
STALL_MS = 4000
GRACE_S = 8
ACCEPTING = ('open', 'closing')
# A call of the store holds this many entries at most.
MAX_ENTRIES = 100
ENTRY_LISTS = ('ExpectedRev', 'Puts', 'Remove')


class Record:
    """Writes what was sent, answered and run, with times."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self.lines = path.open('w')

    def note(self, text):
        at = time.monotonic() - self.began_at
        self.lines.write(f'{at:8.3f}  {text}\n')
        self.lines.flush()


class RecordingStore(TableStore):
    """The platform's store; ``fate`` decides what becomes of a write."""

    __slots__ = ('fate', 'record', 'refused_calls', 'tasks')

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.fate = lambda transaction: None
        self.refused_calls = 0
        self.tasks = set()

    async def _transact(self, request):
        transaction = json.loads(await request.read())
        entries = sum(len(transaction.get(name) or ()) for name in ENTRY_LISTS)
        if entries > MAX_ENTRIES:
            self.refused_calls += 1
            self.record.note(
                f'store: write with {entries} entries: refused, nothing done'
            )
            return web.Response(status=400)
        fate = self.fate(transaction)
        self._note(transaction, fate)
        if fate is None:
            rows = self.rows.conflicts(transaction)
            if rows is None:
                self.rows.apply(transaction)
                return _json(
                    {'RowVersion': self.rows.revision, 'NowMs': _now_ms()}
                )
            return _json({'Rows': rows}, 412)
        task = asyncio.ensure_future(self._apply_after(transaction, fate))
        self.tasks.add(task)
        # A connection on which an answer is lost delivers nothing further.
        await asyncio.sleep(60)
        return web.Response()

    async def _apply_after(self, transaction, delay_s):
        await asyncio.sleep(delay_s)
        holds = self.rows.conflicts(transaction) is None
        if holds:
            self.rows.apply(transaction)
        done = 'done' if holds else 'not done: its condition fails'
        self.record.note(f'store: late write {done}: {_claims(transaction)}')

    def _note(self, transaction, fate):
        claims = _claims(transaction)
        if not claims and fate is None:
            return
        text = 'answered' if fate is None else f'no answer, done after {fate} s'
        self.record.note(f'store: write {claims or "of the lease"}: {text}')

    def claims(self):
        """Return the claimed groups with their members."""
        return {
            key: self.rows.fields('groups', key)
            for table, key in list(self.rows.rows_by_id)
            if table == 'groups'
        }


def _claims(transaction):
    put = [
        row['Key']
        for row in transaction.get('Puts') or ()
        if row['Table'] == 'groups'
    ]
    gone = [
        row['Key']
        for row in transaction.get('Remove') or ()
        if row['Table'] == 'groups'
    ]
    words = [f'claim {key}' for key in put] + [f'release {key}' for key in gone]
    return ', '.join(words)


def _json(fields, status=200):
    return web.Response(
        status=status,
        body=json.dumps(fields).encode(),
        content_type='application/json',
    )


def _now_ms():
    return time.monotonic() * 1000


class RecordingEngine(GroupEngine):
    """An engine that records orders and runs, and checks the rule TWO."""

    def watch(self, site):
        """Check each order before it is carried out."""
        member = self.member
        execute = member.execute

        def checked(order):
            before = None if member.group is None else dict(member.group)
            members = member.members
            status = execute(order)
            what = f'{order["Operation"]} {order.get("group", "")}'
            site.record.note(f'{self.engine_id}: order {what}: {status}')
            if order['Operation'] == 'join' and status == 202:
                site.check_join(self, before, members, order)
            return status

        # The membership is a dataclass with slots.
        object.__setattr__(self, 'member', _Watched(member, checked))


class _Watched:
    """A membership whose orders go through a check."""

    def __init__(self, member, execute):
        object.__setattr__(self, '_member', member)
        object.__setattr__(self, 'execute', execute)

    def __getattr__(self, name):
        return getattr(self._member, name)

    def __setattr__(self, name, new):
        setattr(self._member, name, new)

    def restart(self, staged):
        """Begin a new life without a group; the host keeps its models."""
        self._member.group = None
        self._member.members = ()
        self._member.highest_epoch = 0
        self._member.staged = staged


class Site:
    """The deployment of one run."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder / 'record.txt')
        self.store = RecordingStore(self.record)
        self.engines = {}
        self.routers = {}
        self.violations = []
        self.runners = []
        self.settings = pathlib.Path(tempfile.mkdtemp(prefix='review-'))

    def check_join(self, engine, before, members, order):
        """TWO: a join is taken while the head of its group is open or closing."""
        if before is None or not members or before['Name'] == order['group']:
            return
        head = self.engines.get(members[0])
        group = head.group if head is not None else None
        if head is engine:
            state = before['State']
        elif group is None or group['Name'] != before['Name']:
            return
        else:
            state = group['State']
        if state in ACCEPTING:
            text = (
                f'TWO: {engine.engine_id} took the join of {order["group"]} while'
                f' the head {members[0]} of its group {before["Name"]} was {state}'
            )
            self.violations.append(text)
            self.record.note(text)

    async def start_store(self, configuration):
        self.address = await self._serve(self.store.app())
        self.store.rows.put('op', 'config', configuration)

    async def add_engine(self, name, **options):
        engine = RecordingEngine(name, '', self.store, **options)
        engine.address = await self._serve(engine.app())
        if not engine.is_plain:
            engine.watch(self)
        self.engines[name] = engine
        engine.register()
        return engine

    async def start_router(self, number, **changes):
        ip = f'127.{os.getpid() % 250 + 1}.{number}.2'
        name = f'vm-{number}'
        fields = {
            'node': name,
            'ip': ip,
            'failure_domain': f'fd-{number % 3}',
            'region': 'north',
            'regions_by_domain': {f'fd-{each}': 'north' for each in range(3)},
            'callers': f'{ip}:8227',
            'readiness': f'{ip}:8220',
            'inner_ports': [7340, 7355],
            'store': self.address,
            'stall_ms': STALL_MS,
            'heartbeat_ms': 1200,
            'grace_s': GRACE_S,
            'cpu_share': 0.537,
            'core_speed': 2,
            'link_mbps': 1000.0,
            'is_first_start': True,
            'memory_mb': 300,
            'max_descriptors': 4100,
            'metrics_port': 9464,
            'repeats': {'ratio': 0.2, 'extra': 132, 'window_s': 10},
            **changes,
        }
        path = self.settings / f'{name}.json'
        path.write_text(json.dumps(fields))
        log = (self.settings / f'{name}.log').open('ab')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'primroserudder.programs.router',
            '--settings',
            str(path),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={**os.environ, 'PYTHONPATH': str(ROOT / 'target' / 'deps')},
        )
        self.routers[name] = (process, fields)
        self.record.note(f'{name}: started, process {process.pid}')
        return fields

    def send_signal(self, name, number):
        self.record.note(f'{name}: {signal.Signals(number).name}')
        self.routers[name][0].send_signal(number)

    def holder(self):
        """Return the name of the VM that the lease's row names."""
        row = self.store.rows.fields('leases', 'site') or {}
        return str(row.get('holder', '')).partition('/')[0]

    def open_groups(self):
        """Return the names of the open groups with their heads."""
        return {
            str(engine.group['Name']): engine
            for engine in self.engines.values()
            if not engine.is_plain and engine.is_open()
        }

    async def until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f'not within {limit_s} s: {what}')
            await asyncio.sleep(0.01)

    async def close(self):
        for process, _ in self.routers.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for runner in self.runners:
            await runner.cleanup()

    async def _serve(self, app):
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            shutdown_timeout=0.1,
            access_log=None,
        )
        await runner.setup()
        self.runners.append(runner)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        return f'{host}:{port}'


class CannotRun(Exception):
    """The case could not be brought about."""


def model_configuration(
    version=1,
    *,
    models,
    slots=13,
    loads_per_s=2.0,
    loads_at_once=4,
    timeout_ms=8000,
):
    """Return a configuration with one model service and a plain service."""
    stream = {
        'Name': 'notes',
        'Host': HOST,
        'Prefix': '/notes/',
        'RouteKind': 'streaming',
        'TimeoutMs': timeout_ms,
        'SloMs': 400,
        'Service': 'model',
        'MaxAttempts': 2,
        'Resumable': True,
        'Sticky': True,
        'GapSloMs': 250,
        'Priority': 1,
    }
    refund = {
        'Name': 'refunds',
        'Host': HOST,
        'Prefix': '/refunds/',
        'RouteKind': 'non_idempotent',
        'TimeoutMs': 1500,
        'SloMs': 200,
        'Service': 'ledger',
        'MaxAttempts': 1,
        'Priority': 2,
    }
    engine = {
        'Slots': slots,
        'Models': models,
        'LoadsPerS': loads_per_s,
        'loads_at_once': loads_at_once,
    }
    return {
        'Version': version,
        'Routes': [stream, refund],
        'Services': [
            {'Name': 'model', 'MaxConns': 384, 'Engine': engine},
            {'Name': 'ledger', 'MaxConns': 49},
        ],
        'Tenants': [{'Name': 'north', 'ApiKeys': [KEY]}],
    }


class Client:
    """Sends streams one after the other, each on a connection of its own."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.sent = 0

    async def run(self, pause_s=0.1):
        timeout = ClientTimeout(total=8)
        async with ClientSession(
            cookie_jar=DummyCookieJar(), timeout=timeout
        ) as session:
            while True:
                await asyncio.sleep(pause_s)
                await self._send(session)

    async def _send(self, session):
        self.sent += 1
        request_id = f'c{self.number}-{self.sent}'
        running = [
            fields
            for process, fields in self.site.routers.values()
            if process.returncode is None
        ]
        fields = running[self.sent % len(running)]
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            'X-Primroserudder-Attempt-Id': request_id,
            'X-Primroserudder-Model': 'small',
            'X-Primroserudder-Token-Usage': '100,60',
            'X-Primroserudder-Prefix-Hash': f'5c1e:40,{request_id}:60',
            'X-Primroserudder-Deadline-Ms': '8000',
        }
        try:
            async with session.post(
                f'http://{fields["callers"]}/notes/1',
                headers=headers,
                data=b'text',
            ) as answer:
                body = await answer.read()
                text = f'{answer.status}, {body.count(b"id:")} events'
        except Exception as error:
            text = type(error).__name__
        self.site.record.note(
            f'client: {request_id} to {fields["node"]}: {text}'
        )
