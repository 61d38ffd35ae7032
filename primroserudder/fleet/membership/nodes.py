"""Discovery of the routers through one row each in the store."""

import asyncio
from dataclasses import dataclass

from ...errors import RudderError
from ...process.decisions import DecisionLog
from ...process.platform import PlatformClient, Row, Transaction, Write
from ...process.tables import TableFollower
from .peeraddresses import Peer, PeerAddresses

NODES_PREFIX = 'nodes/'
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

    def __post_init__(self) -> None:
        """Subscribe to changes of the table."""
        self.nodes.listeners.append(self._update_peers)

    async def run(self) -> None:
        """Write this VM's row whenever the table lacks it.

        Explanation
        ===========
        The store may come back from a copy that is older than the row.
        """
        key = NODES_PREFIX + self.peers.own_address
        own = Write(
            key,
            {
                'node': self.node,
                'domain': self.peers.failure_domain,
                'speed': self.peers.own_speed,
            },
        )
        while True:
            if not self.nodes.rows.is_stored(key):
                await self._write(own)
            await asyncio.sleep(RETRY_INTERVAL_S)

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
