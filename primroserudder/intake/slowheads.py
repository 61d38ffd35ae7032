"""Limits the time in which the head of a request has to end."""

import asyncio
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from .limits import HEAD_GRACE_S, HeadTooSlow

# Time between two looks at the heads under way.
LOOK_INTERVAL_S = 0.25


class SendingConnection(Protocol):
    """A connection with a head under way."""

    header_s: float

    def refuse(self, error: HeadTooSlow) -> None:
        """Answer with an error after the requests under way, then close."""


_Sending = TypeVar('_Sending', bound=SendingConnection)


@dataclass(slots=True)
class HeadTimer(Generic[_Sending]):
    """Refuses heads that are under way for too long.

    Parameters
    ==========
    began_at : dict
        When each head under way began, the oldest first, in times of the event
        loop.
    """

    began_at: dict[_Sending, float] = field(default_factory=dict)
    _look: asyncio.TimerHandle | None = None

    def begin(self, connection: _Sending) -> None:
        """Note that a head is under way, unless it is known."""
        if connection in self.began_at:
            return
        loop = asyncio.get_running_loop()
        self.began_at[connection] = loop.time()
        if self._look is None:
            self._look = loop.call_later(LOOK_INTERVAL_S, self._end_slow)

    def end(self, connection: _Sending) -> None:
        """Note that no head is under way on a connection."""
        self.began_at.pop(connection, None)

    def _end_slow(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection, began_at in tuple(self.began_at.items()):
            if now - began_at > connection.header_s + HEAD_GRACE_S:
                self.end(connection)
                connection.refuse(
                    HeadTooSlow('the head of the request did not end in time')
                )
        self._look = None
        if self.began_at:
            self._look = loop.call_later(LOOK_INTERVAL_S, self._end_slow)
