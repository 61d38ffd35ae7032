"""The program ``rudder-local``: all roles in one process on loopback."""

import asyncio
import json
import pathlib
import sys
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from ..process.logs import configure_logs
from ..process.settings import (
    ControllerSettings,
    EntrySettings,
    Listener,
    PlatformSettings,
)
from ..standins.fleet import Standins
from ..standins.settings import EngineFleet, PlainService, StandinSettings
from .common import parser, run, serve_until_stopped
from .controllernode import ControllerNode
from .entrynode import EntryNode

LOCAL_TOKEN = 'local-operators-token'
FAILURE_DOMAINS = ('fd-1', 'fd-2', 'fd-3')
POOL = 'local'
ENGINES_PER_DOMAIN = 9
PLAIN_SERVICE = 'refunds'


@dataclass(slots=True)
class Local:
    """Stand-ins, entries and controllers as tasks of one process."""

    ports_file: pathlib.Path | None = None
    entries_by_domain: dict[str, EntryNode] = field(default_factory=dict)
    standins: Standins = field(init=False)
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def start(self) -> None:
        """Start everything and write the ports to ``ports_file`` if set."""
        self.standins = Standins(_standin_settings())
        await self.standins.start()
        self.stack.push_async_callback(self.standins.stop)
        port = self.standins.ports_by_name['platform']
        platform = PlatformSettings(url=f'http://127.0.0.1:{port}')
        for domain in FAILURE_DOMAINS:
            await self._start_domain(domain, platform)
        if self.ports_file is not None:
            self.ports_file.write_text(json.dumps(self.ports()))

    async def stop(self) -> None:
        """Stop everything, entries first."""
        await asyncio.gather(
            *(entry.stop() for entry in self.entries_by_domain.values()),
        )
        await self.stack.aclose()

    def ports(self) -> dict[str, dict[str, int]]:
        """Return the ports by kind of listener and by name."""
        return {
            'standins': dict(self.standins.ports_by_name),
            'callers': {
                domain: entry.callers_port
                for domain, entry in self.entries_by_domain.items()
            },
            'operators': {
                domain: entry.operators_port
                for domain, entry in self.entries_by_domain.items()
            },
        }

    async def _start_domain(
        self,
        domain: str,
        platform: PlatformSettings,
    ) -> None:
        any_port = Listener(port=0)
        entry = EntryNode(
            EntrySettings(
                node_id=f'entry-{domain}',
                failure_domain=domain,
                platform=platform,
                operators=any_port,
                operators_token=LOCAL_TOKEN,
                peers=any_port,
                callers=any_port,
                drain_notice_s=0,
                minting_secret=LOCAL_TOKEN,
            ),
        )
        await entry.start()
        self.entries_by_domain[domain] = entry
        controller = ControllerNode(
            ControllerSettings(
                node_id=f'controller-{domain}',
                failure_domain=domain,
                platform=platform,
                operators=any_port,
                operators_token=LOCAL_TOKEN,
                peers=any_port,
            ),
        )
        await controller.start()
        self.stack.push_async_callback(controller.stop)


def _standin_settings() -> StandinSettings:
    return StandinSettings(
        platform_port=0,
        fleets=tuple(
            EngineFleet(
                failure_domain=domain,
                pool=POOL,
                first_port=0,
                count=ENGINES_PER_DOMAIN,
                vms_per_fabric_domain=ENGINES_PER_DOMAIN,
            )
            for domain in FAILURE_DOMAINS
        ),
        plain=(PlainService(name=PLAIN_SERVICE, port=0),),
    )


def main() -> None:
    """Run all roles and stand-ins until SIGTERM or SIGINT."""
    local_parser = parser(
        'rudder-local',
        'Runs all roles and stand-ins as tasks of one process on loopback.',
    )
    local_parser.add_argument(
        '--ports-file',
        type=pathlib.Path,
        metavar='FILE.json',
        help='write the ports in use to this file once everything is started',
    )
    local_parser.add_argument('--log-level', default='INFO')
    arguments = local_parser.parse_args()
    configure_logs(arguments.log_level, as_json=False)
    sys.exit(run(serve_until_stopped(Local(arguments.ports_file))))
