"""Sums the bytes that a process holds for others, within a limit.

Explanation
===========
Answers the load of callers and engines that read slowly, and of many large
bodies at once, and of callers that send more than is served.
"""

import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import Ran, RudderError
from .largeresponses import GrowingResponse, LargeResponses

BYTES_PER_MB = 1_000_000
# What the process takes besides: 61 MB at rest, 10 MB for the tables of a large
# site, and free memory that the allocator has not returned.
PROCESS_BYTES = 85_000_000
# A VM below the smallest that is specified still serves a few requests.
MIN_LIMIT_BYTES = 8_000_000
# A stream under way takes 45 KB: tasks, parsers and objects of both sides, and
# what the allocator adds to buffers 10 KB. The connection's part is separate.
REQUEST_BYTES = 40_000
# A connection at rest: transport, parser, task and timers.
CONNECTION_BYTES = 15_000
# What the kernel takes for a connection that is not read.
RECEIVE_BUFFER_BYTES = 16_384
OPEN_CONNECTION_BYTES = CONNECTION_BYTES + RECEIVE_BUFFER_BYTES
LARGE_BODY_BYTES = 65_536
# The rest is for requests that were taken already, whose responses grow.
LARGE_BODY_SHARE = 0.75
# Above it the largest response gives way, so that ordinary requests find room.
RESPONSES_SHARE = 0.75
# A body that is sent to an engine that reads slowly is copied once more.
COPIES_OF_BODY = 2
RETRY_AFTER_S = 1.0


class MemoryFull(RudderError):
    """The memory of this VM is in use, and the request has not run."""

    code = 'memory_full'
    status = 503
    ran = Ran.NO
    default_remedy = 'retry the request after the delay in Retry-After'


class RoomMaker(Protocol):
    """Lets others give way."""

    def __call__(self, octets: int, *, is_large: bool = False) -> None:
        """Free so many bytes, if that is possible.

        Parameters
        ==========
        is_large : bool
            Whether they are for a large body.
        """


def _nobody_gives_way(octets: int, *, is_large: bool = False) -> None:
    """Leave what is held as it is."""


@dataclass(slots=True)
class MemoryBudget:
    """What requests hold, by the limit of the VM.

    Explanation
    ===========
    ``unread_bytes`` is what connections hold whose peers don't read.
    ``intake_bytes`` is what connections hold that is not served yet, with the
    connections themselves and the kernel's buffers. ``held_bytes`` is the
    rest: bodies of requests and of whole responses.

    Parameters
    ==========
    make_room : RoomMaker
        Lets others give way.

    Examples
    ========
    >>> budget = MemoryBudget.of_vm(152)
    >>> budget.limit_bytes
    67000000
    """

    limit_bytes: int
    requests: int = 0
    held_bytes: int = 0
    unread_bytes: int = 0
    intake_bytes: int = 0
    peak_bytes: int = 0
    make_room: RoomMaker = field(default=_nobody_gives_way, repr=False)
    large: LargeResponses = field(default_factory=LargeResponses)

    @classmethod
    def of_vm(cls, memory_mb: float) -> 'MemoryBudget':
        """Return the budget of a VM with a memory limit in megabytes."""
        left = int(memory_mb * BYTES_PER_MB) - PROCESS_BYTES
        return cls(max(left, MIN_LIMIT_BYTES))

    @property
    def used_bytes(self) -> int:
        """Return the sum of what is held."""
        requests = self.requests * REQUEST_BYTES
        held = self.held_bytes + self.unread_bytes + self.intake_bytes
        return requests + held

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than the limit."""
        return self.used_bytes > self.limit_bytes

    def has_room(self, octets: int, *, is_large: bool = False) -> bool:
        """Return whether something new of this size fits.

        Parameters
        ==========
        is_large : bool
            Whether it belongs to a large body.
        """
        return self._missing(octets, is_large=is_large) <= 0

    def find_room(self, octets: int, *, is_large: bool = False) -> bool:
        """Return whether something new fits once others have given way."""
        missing = self._missing(octets, is_large=is_large)
        if missing <= 0:
            return True
        self.make_room(missing, is_large=is_large)
        return self.has_room(octets, is_large=is_large)

    def dump(self) -> Mapping[str, int]:
        """Return the sums for the state dump."""
        return {
            'limit_bytes': self.limit_bytes,
            'used_bytes': self.used_bytes,
            'peak_bytes': self.peak_bytes,
            'requests': self.requests,
            'held_bytes': self.held_bytes,
            'unread_bytes': self.unread_bytes,
            'intake_bytes': self.intake_bytes,
        }

    def change(self, octets: int) -> None:
        """Add to what is held, or subtract from it."""
        self.held_bytes += octets
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def may_grow(self, response: GrowingResponse) -> bool:
        """Return whether a response that has grown may go on.

        Explanation
        ===========
        One that is large alone may take what is left. What has given way counts
        until it is freed, so that the others don't outrun it.
        """
        self.large.note(response)
        share = int(self.limit_bytes * RESPONSES_SHARE)
        is_outgrown = False
        while self._staying_bytes() > share and not is_outgrown:
            is_outgrown = not self.large.let_largest_give_way(response)
        is_alone = self.large.growing <= {response}
        is_full = self.used_bytes > self.limit_bytes
        return not is_full and (is_alone or not is_outgrown)

    def take_in(self, octets: int) -> None:
        """Add to what connections hold unserved, or subtract from it."""
        self.intake_bytes += octets
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def _staying_bytes(self) -> int:
        return self.used_bytes - self.large.leaving_bytes

    def _missing(self, octets: int, *, is_large: bool) -> int:
        """Return by how many bytes something new exceeds its share."""
        share = LARGE_BODY_SHARE if is_large else 1
        needed = self.used_bytes + octets * COPIES_OF_BODY
        return needed - int(self.limit_bytes * share)


def unlimited_budget() -> MemoryBudget:
    """Return a budget that refuses nothing."""
    return MemoryBudget(sys.maxsize)


@dataclass(slots=True)
class Holding:
    """What one request holds; ``close`` gives all of it back."""

    budget: MemoryBudget = field(default_factory=unlimited_budget)
    body_bytes: int = 0
    is_open: bool = False
    response: GrowingResponse = field(
        default_factory=lambda: GrowingResponse(int)
    )

    def open(self) -> None:
        """Count the request itself.

        Raises
        ======
        MemoryFull
            There is no room for another request.
        """
        if not self.budget.find_room(REQUEST_BYTES):
            raise MemoryFull(
                'the memory of this VM is in use', retry_after=RETRY_AFTER_S
            )
        self.is_open = True
        self.budget.requests += 1
        self.budget.change(0)

    def hold_body(self, octets: int) -> None:
        """Hold a body whose length is known, or the part read so far.

        Raises
        ======
        MemoryFull
            There is no room for the body.
        """
        if octets <= self.body_bytes:
            return
        added = octets - self.body_bytes
        if not self.budget.find_room(added, is_large=octets > LARGE_BODY_BYTES):
            raise MemoryFull(
                f'no room for a body of {octets} bytes',
                retry_after=RETRY_AFTER_S,
            )
        self.body_bytes = octets
        self.budget.change(added * COPIES_OF_BODY)

    def hold_response(self, octets: int) -> bool:
        """Hold the part of a response read so far; return whether it fits."""
        self._count_response(octets)
        return self.budget.may_grow(self.response)

    def let_give_way(self, give_way: Callable[[], object]) -> None:
        """Say how a response that begins to grow gives way to others."""
        self.free_response()
        self.response = GrowingResponse(give_way)

    def keep_response(self) -> None:
        """Note that the response is whole, and gives way to nobody."""
        self.budget.large.forget(self.response)

    def free_response(self) -> None:
        """Give back what the response holds."""
        self._count_response(0)
        self.budget.large.forget(self.response)

    def close(self) -> None:
        """Give back all that is held."""
        self.free_response()
        self.budget.change(-self.body_bytes * COPIES_OF_BODY)
        self.body_bytes = 0
        if self.is_open:
            self.is_open = False
            self.budget.requests -= 1

    def _count_response(self, octets: int) -> None:
        self.budget.change(octets - self.response.octets)
        self.response.octets = octets
