"""Counts what has arrived on a connection and is not served yet."""

from collections import deque
from dataclasses import dataclass, field
from itertools import islice

from .headmeter import head_weight, leftover


@dataclass(frozen=True, slots=True)
class Parsed:
    """What came of bytes that were parsed at once.

    Parameters
    ==========
    requests : int
        Heads that ended.
    body_bytes : int
        How many of the bytes belong to the last request's body.
    was_in_body : bool
        Whether a body was under way before.
    is_complete : bool
        Whether the last request is complete.
    is_ahead : bool
        Whether that request waits until others are served.
    """

    requests: int
    body_bytes: int
    was_in_body: bool
    is_complete: bool
    is_ahead: bool

    @property
    def has_progress(self) -> bool:
        """Return whether a head or a body ended, or a body went on."""
        has_ended_body = self.was_in_body and self.is_complete
        return bool(self.requests or self.body_bytes or has_ended_body)


@dataclass(slots=True)
class Arrivals:
    """What the heads on a connection weigh, in bytes of memory.

    Parameters
    ==========
    unended_bytes : int
        Bytes since the last end of a head or part of a body: those of one head
        that has not ended.
    head_weight : int
        What these weigh, with all that may belong to the same head.
    weights : deque
        What each request weighs that is served or waits.
    """

    unended_bytes: int = 0
    head_weight: int = 0
    weights: deque[int] = field(default_factory=deque)

    @property
    def weight(self) -> int:
        """Return what all of them weigh."""
        return self.head_weight + sum(self.weights)

    @property
    def weight_ahead(self) -> int:
        """Return what all but the first request weigh."""
        return self.weight - sum(islice(self.weights, 1))

    def forget_ahead(self) -> None:
        """Forget all but the first request."""
        self.unended_bytes = 0
        self.head_weight = 0
        while len(self.weights) > 1:
            self.weights.pop()

    def add_request(self) -> None:
        """Know another request."""
        self.weights.append(0)

    def end_request(self) -> None:
        """Forget the first request, which has been served."""
        if self.weights:
            self.weights.popleft()

    def note_unparsed(self, octets: bytes, *, is_body: bool) -> None:
        """Count bytes that the parser keeps until requests are served."""
        self.head_weight += len(octets) if is_body else head_weight(octets)

    def note_unended(self, octets: bytes) -> None:
        """Count bytes with which no head ended and no body went on."""
        self.head_weight += head_weight(octets)
        self.unended_bytes += len(octets)

    def note_parsed(self, octets: bytes, parsed: Parsed) -> None:
        """Count bytes with which a head ended or a body went on."""
        is_first = not (parsed.was_in_body or self.unended_bytes)
        rest = leftover(
            octets,
            parsed.body_bytes,
            starts_head=parsed.requests == 1 and is_first,
            is_complete=parsed.is_complete,
        )
        self._weigh_requests(octets, rest, parsed)
        self.unended_bytes = 0
        self.head_weight = head_weight(octets, len(octets) - rest)

    def _weigh_requests(self, octets: bytes, rest: int, parsed: Parsed) -> None:
        """Add to the last request what its head and its waiting body weigh."""
        if not self.weights:
            return
        if parsed.requests:
            heads = max(0, len(octets) - rest - parsed.body_bytes)
            self.weights[-1] += self.head_weight + head_weight(octets, 0, heads)
        if parsed.is_ahead:
            self.weights[-1] += parsed.body_bytes
