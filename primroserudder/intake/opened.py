"""The open connections of a process, in the order in which they give way."""

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Protocol

from .bodies import BodyUnderWay, slow_first
from .slowheads import HeadTimer, SendingConnection

# A request may be on its way on a connection that was opened or used since.
RECENTLY_USED_S = 1.0


class Connection(SendingConnection, Protocol):
    """A connection and what is counted of it."""

    intake_bytes: int

    @property
    def is_idle(self) -> bool:
        """Return whether no request is read, waits or is served."""

    @property
    def ahead_bytes(self) -> int:
        """Return what requests that wait for another one hold."""

    def give_way(self) -> None:
        """Close the connection at once."""

    def refuse_ahead(self) -> None:
        """Refuse the requests that wait for another one, and free them."""

    def wait(self) -> None:
        """Leave all that arrives for later."""

    def take_up(self) -> None:
        """Read what has arrived."""


@dataclass(slots=True)
class OpenConnections:
    """All connections, with the heads and bodies that are under way.

    Parameters
    ==========
    by_use : OrderedDict
        When each connection was opened or used, a time of the event loop. The
        one that was used last is the last one.
    waiting : dict
        New connections that wait for a descriptor, the newest last.
    refused : dict
        Connections that still send what was refused.
    served : int
        Requests that are served now.
    """

    by_use: OrderedDict[Connection, float] = field(default_factory=OrderedDict)
    heads: HeadTimer[Connection] = field(default_factory=HeadTimer)
    waiting: dict[Connection, None] = field(default_factory=dict)
    refused: dict[Connection, None] = field(default_factory=dict)
    bodies: set[BodyUnderWay] = field(default_factory=set)
    served: int = 0

    def add(self, connection: Connection) -> None:
        """Know a connection as the one that was used last."""
        self.by_use[connection] = asyncio.get_running_loop().time()
        self.by_use.move_to_end(connection)

    def note_used(self, connection: Connection) -> None:
        """Note that a request has ended on a connection, if it is open."""
        if connection in self.by_use:
            self.add(connection)

    def closable(self, kept: Connection | None) -> Iterator[Connection]:
        """Return the connections that send what isn't served.

        Parameters
        ==========
        kept : Connection or None
            One that is left out.
        """
        return self._open((*self.refused, *self.heads.began_at), kept)

    def with_requests_ahead(self, kept: Connection | None) -> list[Connection]:
        """Return those with requests that wait, the largest first."""
        ahead = filter(attrgetter('ahead_bytes'), tuple(self.by_use))
        return sorted(
            self._open(ahead, kept),
            key=attrgetter('ahead_bytes'),
            reverse=True,
        )

    def idle(self, kept: Connection | None) -> Iterator[Connection]:
        """Return the idle connections, the longest unused first."""
        idle = (
            each
            for each in tuple(self.by_use)
            if each.is_idle and each not in self.waiting
        )
        return self._open(idle, kept)

    def long_idle(self, kept: Connection | None) -> Iterator[Connection]:
        """Return those idle connections that no request is on its way on."""
        last_use = asyncio.get_running_loop().time() - RECENTLY_USED_S
        return itertools.takewhile(
            lambda each: self.by_use[each] <= last_use, self.idle(kept)
        )

    def slow_bodies(self) -> list[BodyUnderWay]:
        """Return the bodies that may be refused, the slowest first."""
        return slow_first(self.bodies, asyncio.get_running_loop().time())

    @contextmanager
    def tracked_body(self, body: BodyUnderWay) -> Iterator[None]:
        """Know a body while it is read."""
        self.bodies.add(body)
        try:
            yield
        finally:
            self.bodies.remove(body)
            body.release()

    @contextmanager
    def tracked_refusal(self, connection: Connection) -> Iterator[None]:
        """Know a connection while it sends what was refused."""
        self.refused[connection] = None
        try:
            yield
        finally:
            self.refused.pop(connection, None)

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self.by_use.pop(connection)
        self.heads.end(connection)
        self.waiting.pop(connection, None)
        self.refused.pop(connection, None)

    def _open(
        self, connections: Iterable[Connection], kept: Connection | None
    ) -> Iterator[Connection]:
        return (
            connection
            for connection in connections
            if connection in self.by_use and connection is not kept
        )
