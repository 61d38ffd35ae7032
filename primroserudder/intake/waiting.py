"""A new connection that waits, while no descriptor is free."""

import asyncio
from typing import TYPE_CHECKING

from .refusing import RefusingConnection

if TYPE_CHECKING:
    from .server import IntakeServer


class WaitingConnection(RefusingConnection):
    """One connection, which may have to wait before it is read.

    Parameters
    ==========
    is_waiting : bool
        Whether all that arrives is left for later.
    """

    __slots__ = ('_early', 'is_waiting')

    def __init__(self, server: 'IntakeServer', **options: object) -> None:
        """Begin without anything that has arrived."""
        super().__init__(server, **options)
        self.is_waiting = False
        self._early = b''

    def wait(self) -> None:
        """Leave all that arrives for later."""
        self.is_waiting = True

    def keep(self, octets: bytes) -> None:
        """Keep what has been read already, and read no more.

        Explanation
        ===========
        The transport begins to read on its own, once the connection is made.
        """
        if isinstance(self.transport, asyncio.ReadTransport):
            self.transport.pause_reading()
        self._early += octets
        register = self.intake_server.register
        register.hold(self, self.intake_bytes + len(octets))

    def take_up(self) -> None:
        """Read what has arrived."""
        self.is_waiting = False
        early = self._early
        self._early = b''
        if isinstance(self.transport, asyncio.ReadTransport):
            self.transport.resume_reading()
        if early:
            self.data_received(early)
