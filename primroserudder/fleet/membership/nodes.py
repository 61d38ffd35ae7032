"""Discovery of the routers through one row each in the store."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from ...errors import RudderError
from ...process.decisions import DecisionLog
from ...process.platform import PlatformClient, Row, Transaction, Write
from ...process.tables import TableFollower
from .peeraddresses import Peer, PeerAddresses

NODES_PREFIX = 'nodes/'
# 08c7865 and earlier builds don't write it.
BUILD_FIELD = 'build'
RETRY_INTERVAL_S = 1.0


@dataclass(slots=True)
class NodeRegistry:
    """Writes this VM's address to the store and reads those of the others.

    Explanation
    ===========
    An outdated address costs only a few datagrams a second, because liveness
    is derived from notices alone.
    """

    platform: PlatformClient
    peers: PeerAddresses
    nodes: TableFollower
    log: DecisionLog
    node: str
    build: str = ''

    def __post_init__(self) -> None:
        """Subscribe to changes of the table."""
        self.nodes.listeners.append(self._update_peers)

    async def run(self) -> None:
        """Write this VM's row whenever the table lacks it as it is.

        Explanation
        ===========
        The store may come back from a copy that is older than the row, and
        another build may have written the row at the same address.
        """
        key = NODES_PREFIX + self.peers.own_address
        own = Write(
            key,
            {
                'node': self.node,
                'domain': self.peers.failure_domain,
                'speed': self.peers.own_speed,
                BUILD_FIELD: self.build,
            },
        )
        while True:
            if not self._is_stored(own):
                await self._write(own)
            await asyncio.sleep(RETRY_INTERVAL_S)

    def builds(self) -> Mapping[str, str]:
        """Return the build of each VM by name, empty if it names none."""
        builds = {
            str(row.fields.get('node')): str(row.fields.get(BUILD_FIELD, ''))
            for row in self.nodes.rows_by_key.values()
        }
        return {**builds, self.node: self.build}

    def _is_stored(self, own: Write) -> bool:
        row = self.nodes.rows_by_key.get(own.key)
        is_stored = self.nodes.rows.is_stored(own.key)
        return is_stored and row is not None and row.fields == own.fields

    async def _write(self, own: Write) -> None:
        try:
            await self.platform.commit(Transaction((), (own,)))
        except RudderError as error:
            self.log.note('node_not_written', reason=str(error))

    def _update_peers(self) -> None:
        self.peers.add(
            {
                key.removeprefix(NODES_PREFIX): _peer(row)
                for key, row in self.nodes.rows_by_key.items()
            }
        )


def _peer(row: Row) -> Peer:
    speed = row.fields.get('speed')
    return Peer(
        str(row.fields.get('domain')),
        float(speed) if isinstance(speed, int | float) else 0,
    )
