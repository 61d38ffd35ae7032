"""Engines, their groups, and the targets of requests.

Explanation
===========
Times are in seconds unless a name gives another unit.
"""

import enum
from dataclasses import dataclass, field


class GroupState(enum.StrEnum):
    """State of an engine within its group.

    Explanation
    ===========
    ``UNKNOWN`` stands for any other that an entry names: it proves nothing,
    neither that the engine takes requests nor that it is free.
    """

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Membership:
    """The group that an engine reports to be in; rank 0 is the head."""

    group: str
    epoch: int
    rank: int
    state: GroupState


class ColdTime(enum.StrEnum):
    """What an entry says of the time for which its engine stays cold."""

    ABSENT = 'absent'
    READ = 'read'
    MALFORMED = 'malformed'
    # Longer than is credible, and cut to the longest time that is.
    TOO_LONG = 'too long'


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine as the platform's list shows it.

    Explanation
    ===========
    ``born_ms`` is the engine's start time, which distinguishes a restarted
    engine from the previous process with the same id. ``staged`` names the
    models whose weights are on the engine's host. ``cold_remaining_s`` is how
    long the engine stays cold after the entry was written, zero if the entry
    has no readable time, as ``cold_time`` tells.
    """

    engine_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    fabric_domain: str = ''
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    born_ms: int = 0
    cold_remaining_s: float = 0
    cold_time: ColdTime = ColdTime.ABSENT


@dataclass(frozen=True, slots=True)
class Formation:
    """A group as claimed in the store; the first member is the head.

    Explanation
    ===========
    A formation with a single member, for a model that needs more, is a
    standby: it keeps the model in memory and never serves requests.
    """

    name: str
    epoch: int
    model: str
    members: tuple[str, ...]

    @property
    def head(self) -> str:
        """Return the id of the member that takes requests."""
        return self.members[0]


@dataclass(frozen=True, slots=True)
class Target:
    """A destination of requests: an open group's head or a plain engine.

    Explanation
    ===========
    ``born_ms`` is the start time of the engine that takes the requests.
    ``is_router`` is true for another router, which takes them to an engine.
    ``cold_start_s`` and ``cold_per_s`` are those of the service, zero if it
    doesn't limit what cold engines get.
    """

    engine_id: str
    address: str
    failure_domain: str
    slots: int
    group: str = ''
    members: tuple[str, ...] = field(default=())
    born_ms: int = 0
    is_router: bool = False
    cold_start_s: float = 0
    cold_per_s: float = 0
