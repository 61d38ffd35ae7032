"""Starts the router program of a checkout as a process of its own."""

import asyncio
import os
import pathlib
import sys
from asyncio.subprocess import Process
from collections.abc import Sequence
from typing import BinaryIO

from .platformsite import LOOPBACK, free_ports

PROGRAM = 'primroserudder.programs.router'


def router_settings(store: str, **changes: object) -> dict[str, object]:
    """Return the settings of a router on free ports of loopback."""
    ports = free_ports(5)
    return {
        'node': 'vm-0',
        'ip': LOOPBACK,
        'failure_domain': 'fd-1',
        'callers': f'{LOOPBACK}:{ports[0]}',
        'readiness': f'{LOOPBACK}:{ports[1]}',
        'inner_ports': [ports[2], ports[3]],
        'store': store,
        'metrics_port': ports[4],
        'grace_s': 2,
        **changes,
    }


async def start_router(
    source: pathlib.Path,
    settings: pathlib.Path,
    profile: str = '',
    log: str = os.devnull,
) -> Process:
    """Start the router of a checkout, under a profiler if a file is named."""
    profiler = ('-m', 'cProfile', '-o', profile) if profile else ()
    with pathlib.Path(log).open('wb') as output:
        return await _start(source, settings, profiler, output)


async def _start(
    source: pathlib.Path,
    settings: pathlib.Path,
    profiler: Sequence[str],
    output: BinaryIO,
) -> Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *profiler,
        '-m',
        PROGRAM,
        '--settings',
        str(settings),
        cwd=source,
        stdout=output,
        env={**os.environ, 'PYTHONPATH': str(source)},
    )
