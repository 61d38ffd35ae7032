"""How routers find each other: a row each in the store."""

import asyncio
from dataclasses import dataclass

from ..errors import RudderError
from ..process.decisions import DecisionLog
from ..process.platform import PlatformClient, Transaction, Write
from .exchange import Exchange

NODES_PREFIX = 'nodes/'
NODES_INTERVAL_S = 5.0


@dataclass(slots=True)
class NodeRegistry:
    """Writes this VM's address once and learns those of the others.

    Explanation
    ===========
    An address that is out of date costs a datagram a second: whether a VM
    lives is known from its bulletins alone.
    """

    platform: PlatformClient
    exchange: Exchange
    log: DecisionLog
    node: str
    _is_written: bool = False

    async def run(self) -> None:
        """Keep the addresses until cancelled."""
        while True:
            try:
                await self._refresh()
            except RudderError as error:
                self.log.note('nodes_unread', reason=str(error))
            await asyncio.sleep(NODES_INTERVAL_S)

    async def _refresh(self) -> None:
        if not self._is_written:
            key = NODES_PREFIX + self.exchange.own_address
            own = Write(key, {'node': self.node})
            await self.platform.commit(Transaction((), (own,)))
            self._is_written = True
        rows = await self.platform.scan(NODES_PREFIX)
        self.exchange.learn(
            [row.key.removeprefix(NODES_PREFIX) for row in rows]
        )
