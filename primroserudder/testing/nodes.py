"""Entries on loopback with an in-memory platform."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..process.settings import EntrySettings, Listener, PlatformSettings
from ..programs.entrynode import EntryNode
from ..standins.fleet import Standins
from ..standins.settings import EngineFleet, StandinSettings
from . import builders

TOKEN = 'test-operators-token'
ANY_PORT = Listener(port=0)


def entry_settings(platform_port: int, index: int = 0) -> EntrySettings:
    """Return the settings of an entry of the first failure domain."""
    return EntrySettings(
        node_id=f'entry-{index}',
        failure_domain=builders.DOMAIN,
        platform=PlatformSettings(url=f'http://127.0.0.1:{platform_port}'),
        operators=ANY_PORT,
        operators_token=TOKEN,
        peers=ANY_PORT,
        callers=ANY_PORT,
    )


def standin_settings(engines: int = 4) -> StandinSettings:
    """Return the settings of a stand-in platform and engine fleet."""
    fleet = EngineFleet(
        failure_domain=builders.DOMAIN,
        pool='local',
        first_port=0,
        count=engines,
    )
    return StandinSettings(platform_port=0, fleets=(fleet,))


@asynccontextmanager
async def running_entry() -> AsyncIterator[EntryNode]:
    """Run an entry with a configuration in force and no groups."""
    standins = Standins(standin_settings())
    await standins.start()
    entry = EntryNode(entry_settings(standins.ports_by_name['platform']))
    await entry.start()
    entry.runtime.holder.offer(builders.version())
    yield entry
    await entry.stop()
    await standins.stop()
