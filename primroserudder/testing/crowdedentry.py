"""A real entry and controller on loopback that a crowd calls."""

import asyncio
import os
import pathlib
import resource
import sys
import tempfile
from asyncio.subprocess import DEVNULL, Process
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

import orjson
from aiohttp import ClientError, ClientSession, DummyCookieJar

from .crowdcallers import CrowdPlay
from .crowdtarget import Target
from .platformsite import LOOPBACK, POLL_INTERVAL_S, free_ports

SOURCE = pathlib.Path(__file__).parents[2]
TOKEN = 'token-of-tests'
KEY = 'north.demo-secret'
PATH = '/v1/completions'
VMS = 4
MAX_DESCRIPTORS = 4000
CONFIGURATION = SOURCE / 'examples' / 'local.json'
REQUEST = orjson.dumps(
    {'model': 'ledger', 'prompt': 'batch 41?', 'max_tokens': 2}
)
STREAM = orjson.dumps(
    {'model': 'ledger', 'prompt': 'x', 'max_tokens': 512, 'stream': True}
)
TARGET = Target(
    'entry.example', KEY, path=PATH, short_path=PATH, stream_body=STREAM
)


@dataclass(slots=True)
class CrowdedEntry:
    """The processes of a failure domain, and the addresses of their ports."""

    entry: Process
    controller: Process
    session: ClientSession
    callers: str
    entry_operators: str
    entry_peers: str
    controller_operators: str

    async def ordinary_status(self) -> int:
        """Send one ordinary request; return its status, zero for none."""
        return await self._status(
            'POST', f'http://{self.callers}{PATH}', REQUEST
        )

    async def health_status(self, address: str) -> int:
        """Ask an operators' port for its health; return the status."""
        return await self._status('GET', f'http://{address}/healthz', b'')

    def play(self, process: Process, address: str) -> CrowdPlay:
        """Return a play of a crowd that calls one of the ports."""
        return CrowdPlay(process.pid, address, TARGET)

    async def _status(self, method: str, url: str, body: bytes) -> int:
        headers = {'Authorization': f'Bearer {KEY}', 'Connection': 'close'}
        try:
            async with self.session.request(
                method, url, headers=headers, data=body
            ) as response:
                await response.read()
                return response.status
        except (ClientError, OSError):
            return 0


@asynccontextmanager
async def crowded_entry(
    changes: Mapping[str, object], max_descriptors: int = MAX_DESCRIPTORS
) -> AsyncIterator[CrowdedEntry]:
    """Run a failure domain whose entry has answered an ordinary request.

    Parameters
    ==========
    changes : Mapping
        Further settings of the entry and the controller.
    max_descriptors : int
        The system's limit for each process.
    """
    async with AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        platform, callers, *ports = free_ports(6 + VMS)
        start = partial(_start, stack, folder)
        await start('standin', _standin(platform, ports[4:]))
        controller = await start(
            'controller',
            {**_node('controller-1', platform, ports[:2]), **changes},
            max_descriptors,
        )
        entry = await start(
            'entry',
            {
                **_node('entry-1', platform, ports[2:4]),
                'callers': {'port': callers},
                **changes,
            },
            max_descriptors,
        )
        crowded = CrowdedEntry(
            entry,
            controller,
            await stack.enter_async_context(
                ClientSession(cookie_jar=DummyCookieJar())
            ),
            f'{LOOPBACK}:{callers}',
            f'{LOOPBACK}:{ports[2]}',
            f'{LOOPBACK}:{ports[3]}',
            f'{LOOPBACK}:{ports[0]}',
        )
        await _configure(crowded)
        while await crowded.ordinary_status() != HTTPStatus.OK:
            await asyncio.sleep(POLL_INTERVAL_S)
        yield crowded


def _standin(platform: int, ports: list[int]) -> Mapping[str, object]:
    fleet = {
        'failure_domain': 'fd-1',
        'pool': 'local',
        'first_port': ports[0],
        'count': VMS,
        'vms_per_fabric_domain': VMS,
    }
    return {'platform_port': platform, 'fleets': [fleet], 'plain': []}


def _node(name: str, platform: int, ports: list[int]) -> Mapping[str, object]:
    return {
        'node_id': name,
        'failure_domain': 'fd-1',
        'platform': {'url': f'http://{LOOPBACK}:{platform}'},
        'operators_token': TOKEN,
        'operators': {'port': ports[0]},
        'peers': {'port': ports[1]},
    }


async def _start(
    stack: AsyncExitStack,
    folder: pathlib.Path,
    program: str,
    settings: Mapping[str, object],
    max_descriptors: int = MAX_DESCRIPTORS,
) -> Process:
    path = folder / f'{program}.json'
    path.write_bytes(orjson.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        *_command(program),
        '--settings',
        str(path),
        cwd=SOURCE,
        preexec_fn=partial(
            resource.setrlimit,
            resource.RLIMIT_NOFILE,
            (max_descriptors, max_descriptors),
        ),
        stdout=DEVNULL,
        stderr=DEVNULL,
    )
    stack.push_async_callback(_end, process)
    return process


def _command(program: str) -> tuple[str, ...]:
    """Return the words that run a program of this checkout."""
    module = f'primroserudder.programs.{program}'
    run = f'import sys; from {module} import main; sys.exit(main())'
    return sys.executable, '-c', run


async def _configure(crowded: CrowdedEntry) -> None:
    """Apply the example's configuration, once the entry is up."""
    address = crowded.entry_operators
    while await crowded.health_status(address) != HTTPStatus.OK:
        await asyncio.sleep(POLL_INTERVAL_S)
    applying = await asyncio.create_subprocess_exec(
        *_command('ctl'),
        'apply',
        str(CONFIGURATION),
        cwd=SOURCE,
        env={
            **os.environ,
            'RUDDER_URL': f'http://{address}',
            'RUDDER_TOKEN': TOKEN,
        },
        stdout=DEVNULL,
    )
    if await applying.wait():
        raise RuntimeError('the configuration was not applied')


async def _end(process: Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()
