"""Measures what moving a KV cache through an entry costs.

Explanation
===========
A cache is exported from an upstream and imported again; the upstream runs
in a thread of its own, so that the processor time is that of the entry's
side alone. Run it with ``python -m primroserudder.programs.kvcost``.
"""

import asyncio
import sys
import threading
import time

import orjson
from aiohttp import ClientSession, web

from ..connection.enginehttp import EngineHttp
from ..connection.http import bound_port, serve
from ..process.settings import Listener
from ..standins.engine import EngineSpeed
from .common import EXIT_OK, run

CACHE_BYTES = 67_108_864
MEGABYTE = 1_000_000
ROUNDS = 8
# For 70 billion parameters, grouped-query attention and 16-bit values.
TOKEN_BYTES = 327_680
CONTEXT_TOKENS = 2000


class Upstream(threading.Thread):
    """An upstream that exports and imports caches."""

    def __init__(self) -> None:
        """Create the thread; the port is 0 until it serves."""
        super().__init__(daemon=True)
        self.port = 0
        self.ready = threading.Event()

    def run(self) -> None:
        """Serve until the program ends."""
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        app = web.Application(client_max_size=2 * CACHE_BYTES)
        app.router.add_get('/kv/{id}', self._export)
        app.router.add_put('/kv/{id}', self._import)
        runner = await serve(app, Listener(port=0), 'upstream')
        self.port = bound_port(runner)
        self.ready.set()
        await asyncio.Event().wait()

    async def _export(self, request: web.Request) -> web.Response:
        return web.Response(body=bytes(CACHE_BYTES))

    async def _import(self, request: web.Request) -> web.Response:
        await request.read()
        return web.Response()


async def _measure() -> int:
    upstream = Upstream()
    upstream.start()
    upstream.ready.wait()
    address = f'127.0.0.1:{upstream.port}'
    async with ClientSession() as session:
        engines = EngineHttp(session)
        started_at, cpu_s = time.monotonic(), time.thread_time()
        for _ in range(ROUNDS):
            cache = await engines.export_cache(address, 'req-1')
            await engines.import_cache(address, 'req-1', cache)
        elapsed_s = time.monotonic() - started_at
        cpu_s = time.thread_time() - cpu_s
    _report(elapsed_s, cpu_s)
    return EXIT_OK


def _report(elapsed_s: float, cpu_s: float) -> None:
    moved = ROUNDS * CACHE_BYTES
    context = CONTEXT_TOKENS * TOKEN_BYTES
    replay_s = CONTEXT_TOKENS * EngineSpeed().prefill_word_s
    report = {
        'megabytes_per_s': round(moved / elapsed_s / MEGABYTE),
        'megabytes_per_core_s': round(moved / cpu_s / MEGABYTE),
        'context_megabytes': round(context / MEGABYTE),
        'move_s': round(context * elapsed_s / moved, 2),
        'move_processor_s': round(context * cpu_s / moved, 2),
        'replay_s': round(replay_s, 2),
    }
    text = orjson.dumps(report).decode()
    sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    sys.exit(run(_measure()))
