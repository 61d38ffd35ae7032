"""The platform's store on loopback, with a client of it."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from ..platform.store import PlatformStore
from ..standins.tablestore import TableStore


@asynccontextmanager
async def store_with_standin() -> AsyncIterator[
    tuple[TableStore, PlatformStore]
]:
    """Run a stand-in of the store; yield it and a client of it."""
    standin = TableStore()
    runner = web.AppRunner(standin.app(), shutdown_timeout=0.01)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    store = PlatformStore(f'{host}:{port}')
    yield standin, store
    await store.close()
    await runner.cleanup()
