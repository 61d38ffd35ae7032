"""Finds descriptors for new connections, which may wait for them.

Explanation
===========
Others may give way only a little later: a body that has just begun is not slow
yet. So a few new connections wait, and nothing that arrives on them is parsed.
The newest ones do: after a crowd, an ordinary caller is the newest.
"""

import asyncio
import math
from dataclasses import dataclass
from itertools import chain
from typing import TYPE_CHECKING

from .bodies import SLOW_AFTER_S
from .opened import Connection

if TYPE_CHECKING:
    from .register import ConnectionRegister

# A request takes one for its connection and one for its engine's.
DESCRIPTORS_OF_REQUEST = 2


@dataclass(frozen=True, slots=True)
class Newcomers:
    """The new connections of a register."""

    register: 'ConnectionRegister'

    def find_descriptor(self, newcomer: Connection) -> bool:
        """Return whether descriptors suffice, once others have given way."""
        if self._excess() <= 0:
            return True
        opened = self.register.opened
        for connection in chain(
            opened.closable(newcomer), opened.idle(newcomer)
        ):
            self.register.close(connection)
            if self._excess() <= 0:
                return True
        # Their connections close once they are cut or refusals are written.
        ending = self._end_requests()
        missing = self._excess() - len(opened.waiting)
        return missing <= ending * DESCRIPTORS_OF_REQUEST

    def let_wait(self, newcomer: Connection) -> bool:
        """Return whether a new connection may wait, in place of older ones."""
        waiting = self.register.opened.waiting
        waiting[newcomer] = None
        while self._excess() > self.register.surroundings.spare:
            oldest = next(iter(waiting))
            waiting.pop(oldest)
            if oldest is newcomer:
                return False
            self._turn_away(oldest)
        newcomer.wait()
        # All bodies that are under way now are slow then, or have gone on.
        loop = asyncio.get_running_loop()
        loop.call_later(SLOW_AFTER_S, self._end_wait, newcomer)
        return True

    def _excess(self) -> int:
        register = self.register
        return register.surroundings.excess(len(register.opened.by_use))

    def _end_requests(self) -> int:
        """Cut callers and refuse bodies; return how many requests end.

        Explanation
        ===========
        Bodies that have given way already count: they end soon.
        """
        opened = self.register.opened
        ending = sum(body.has_given_way for body in opened.bodies)
        needed = math.ceil(self._excess() / DESCRIPTORS_OF_REQUEST) - ending
        if needed <= 0:
            return ending
        cut = self.register.surroundings.cut_callers(needed)
        slow = opened.slow_bodies()[: needed - cut]
        for body in slow:
            self.register.refuse_body(body)
        return ending + cut + len(slow)

    def _end_wait(self, newcomer: Connection) -> None:
        """Take up a connection that has waited, or close it."""
        waiting = self.register.opened.waiting
        if newcomer not in waiting:
            return
        waiting.pop(newcomer)
        if self.find_descriptor(newcomer):
            newcomer.take_up()
        else:
            self._turn_away(newcomer)

    def _turn_away(self, newcomer: Connection) -> None:
        self.register.metrics.count('connections_refused')
        self.register.forget(newcomer)
        newcomer.give_way()
