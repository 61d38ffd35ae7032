"""Decides which callers that don't read lose their connection.

Explanation
===========
Answers the load of callers that leave their streams unread, for long or in such
numbers that the memory of the VM does not hold what waits for them.
"""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from ...intake.budget import REQUEST_BYTES

# Callers pause for a second or two; engines cut a response that stays unread
# for some seconds, so that waiting longer saves few streams.
UNREAD_LIMIT_S = 5.0
# Above this share of the budget callers are cut until the sum is below it.
CUT_SHARE = 0.9


_Key = TypeVar('_Key')


class CutReason(enum.StrEnum):
    """Why a caller lost its connection."""

    # It accepted no byte for UNREAD_LIMIT_S while bytes waited for it.
    UNREAD = 'unread'
    # The budget is used up, and others read faster.
    MEMORY = 'memory'
    # Descriptors are short, and others read faster.
    DESCRIPTORS = 'descriptors'


@dataclass(slots=True)
class UnreadConnection:
    """A connection with bytes that its peer does not accept.

    Parameters
    ==========
    accepted_at : float
        When the peer last accepted a byte, a time of the event loop.
    waiting : int
        Bytes that wait in the connection's write buffer.
    held : int
        Those and the bytes that were read from the engine for it.
    """

    accepted_at: float
    waiting: int = 0
    held: int = 0

    @property
    def freed_bytes(self) -> int:
        """Return what is free once the connection is cut and its task ends."""
        return self.held + REQUEST_BYTES

    def update(self, waiting: int, held: int, now: float) -> None:
        """Note what waits now; less than before means that the peer reads."""
        if waiting < self.waiting:
            self.accepted_at = now
        self.waiting = waiting
        self.held = held


def connections_to_cut(
    unread: Mapping[_Key, UnreadConnection], now: float, excess: int
) -> Sequence[tuple[_Key, CutReason]]:
    """Return the connections to cut, and why.

    Parameters
    ==========
    excess : int
        Bytes to free. The connections that have accepted nothing for the
        longest time come first, since their bytes wait for nobody.
    """
    cut: list[tuple[_Key, CutReason]] = []
    left = excess
    slowest_first = sorted(
        unread.items(), key=lambda entry: entry[1].accepted_at
    )
    for key, connection in slowest_first:
        if now - connection.accepted_at >= UNREAD_LIMIT_S:
            cut.append((key, CutReason.UNREAD))
        elif left > 0:
            cut.append((key, CutReason.MEMORY))
        else:
            break
        left -= connection.freed_bytes
    return cut
