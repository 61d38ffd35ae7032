"""All connections of a process, and which of them give way.

Explanation
===========
While memory or descriptors are short, room is made for whole requests. First
those connections are closed whose refusal was sent, then those with a head
under way, the oldest first. Then requests that were sent ahead are refused, and
those connections are closed whose response is unread for long, then idle ones,
the longest unused first. Bodies that arrive slowly are refused last. Idle
connections that were opened or used just now are closed for new connections
alone: a request may be on its way on them.
Requests that are served, and streams that are read, are never cut for others.
Callers can't be told apart by their address: all may come from a balancer's.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

from ..process.metrics import Metrics
from .bodies import BodyUnderWay
from .budget import OPEN_CONNECTION_BYTES, MemoryBudget
from .newcomers import Newcomers
from .opened import Connection, OpenConnections

# New connections and heads leave the rest of the budget to requests that are
# served. Callers that don't read are cut before it is in use.
INTAKE_SHARE = 0.95


def _nothing(*_figures: int) -> int:
    """Leave all as it is, and find nothing in excess."""
    return 0


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a register asks of the rest of the process.

    Parameters
    ==========
    excess : Callable
        Takes how many connections are open, and returns how many of them have
        to be closed for want of descriptors.
    on_pressure : Callable
        Called when nearly all of the budget is in use.
    cut_unread : Callable
        Takes how many bytes to free, and cuts callers who have read nothing
        for long.
    cut_callers : Callable
        Takes how many connections to free, cuts such callers, and returns how
        many it cut.
    spare : int
        How many descriptors new connections may wait with, while others close.
    """

    excess: Callable[[int], int] = _nothing
    on_pressure: Callable[[], object] = _nothing
    cut_unread: Callable[[int], object] = _nothing
    cut_callers: Callable[[int], int] = _nothing
    spare: int = 0

    def cut_down(self, budget: MemoryBudget, target: int) -> None:
        """Cut such callers until no more than a number of bytes is used."""
        self.cut_unread(budget.used_bytes - target)


@dataclass(slots=True)
class ConnectionRegister:
    """Sums what connections hold and closes those that give way."""

    budget: MemoryBudget
    metrics: Metrics
    surroundings: Surroundings = field(default_factory=Surroundings)
    opened: OpenConnections = field(default_factory=OpenConnections)

    def __post_init__(self) -> None:
        """Make room for requests and bodies too."""
        self.budget.make_room = self.make_room

    def admit(self, connection: Connection, *, may_wait: bool = True) -> bool:
        """Count a new connection; return whether there is room for it.

        Parameters
        ==========
        may_wait : bool
            Whether it may wait, unread, while no descriptor is free.
        """
        self.opened.add(connection)
        connection.intake_bytes = OPEN_CONNECTION_BYTES
        self.budget.take_in(OPEN_CONNECTION_BYTES)
        newcomers = Newcomers(self)
        has_descriptor = newcomers.find_descriptor(connection)
        self.has_room(0, connection)
        if self.budget.is_exceeded:
            self._close_idle(connection)
        if not self.budget.is_exceeded and (
            has_descriptor or (may_wait and newcomers.let_wait(connection))
        ):
            return True
        self.metrics.count('connections_refused')
        return False

    def forget(self, connection: Connection) -> None:
        """Give back what a connection holds, once it is closed."""
        if connection not in self.opened.by_use:
            return
        self.opened.remove(connection)
        self.budget.take_in(-connection.intake_bytes)
        connection.intake_bytes = 0

    def hold(self, connection: Connection, octets: int) -> None:
        """Change what an open connection holds to a number of bytes."""
        if connection not in self.opened.by_use:
            return
        self.budget.take_in(octets - connection.intake_bytes)
        connection.intake_bytes = octets
        if self._missing(0) > 0:
            self.surroundings.on_pressure()

    def has_room(self, octets: int, connection: Connection) -> bool:
        """Return whether bytes fit once connections have given way.

        Parameters
        ==========
        connection : Connection
            The one that the bytes are for, which is not closed.
        """
        missing = self._missing(octets)
        if missing <= 0:
            return True
        self.surroundings.on_pressure()
        self.make_room(missing, connection)
        return self._missing(octets) <= 0

    def make_room(
        self,
        octets: int,
        kept: Connection | None = None,
        *,
        is_large: bool = False,
    ) -> None:
        """Close connections and refuse bodies until so many bytes are free.

        Parameters
        ==========
        kept : Connection or None
            One that is not closed.
        is_large : bool
            Whether the bytes are for a large body. Those that wait for a
            response, and idle connections, don't give way to it.
        """
        target = self.budget.used_bytes - octets
        for give_way in self._in_order(target, kept, is_large=is_large):
            if self.budget.used_bytes <= target:
                return
            give_way()

    def close(self, connection: Connection) -> None:
        """Close a connection that gives way."""
        name = 'idle' if connection.is_idle else 'unfinished'
        self.metrics.count(f'{name}_connections_closed')
        self.forget(connection)
        connection.give_way()

    def refuse_body(self, body: BodyUnderWay) -> None:
        """Refuse the request of a body that gives way."""
        self.metrics.count('slow_bodies_refused')
        body.give_way()

    def _in_order(
        self, target: int, kept: Connection | None, *, is_large: bool
    ) -> Iterator[Callable[[], object]]:
        yield from self._closing(self.opened.closable(kept))
        for connection in self.opened.with_requests_ahead(kept):
            yield partial(self._refuse_ahead, connection)
        if not is_large:
            yield partial(self.surroundings.cut_down, self.budget, target)
            yield from self._closing(self.opened.long_idle(kept))
        for body in self.opened.slow_bodies():
            yield partial(self.refuse_body, body)

    def _missing(self, octets: int) -> int:
        share = int(self.budget.limit_bytes * INTAKE_SHARE)
        return self.budget.used_bytes + octets - share

    def _close_idle(self, newcomer: Connection) -> None:
        """Close idle connections, also recent ones, for a newcomer."""
        for idle in self.opened.idle(newcomer):
            if not self.budget.is_exceeded:
                return
            self.close(idle)

    def _closing(
        self, connections: Iterator[Connection]
    ) -> Iterator[Callable[[], None]]:
        return (partial(self.close, each) for each in connections)

    def _refuse_ahead(self, connection: Connection) -> None:
        self.metrics.count('requests_ahead_refused')
        connection.refuse_ahead()
