"""How the requests of a replayed load ended for their callers."""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

SIZE_CLASSES = 5


class Ending(enum.Enum):
    """How one request ended for its caller."""

    IN_TIME = enum.auto()
    LATE = enum.auto()
    REFUSED = enum.auto()
    LEFT = enum.auto()
    LOST = enum.auto()


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """A request that has ended.

    Parameters
    ==========
    held_s : float
        Seconds that the request waited before its last refusal, or zero if it
        was not refused.
    """

    ending: Ending
    tokens: int
    workspace: int
    waited_s: float = 0


@dataclass(frozen=True, slots=True)
class Outcome:
    """All ended requests of a replay."""

    ended_requests: Sequence[EndedRequest]

    def share(self, ending: Ending) -> float:
        """Return the share of all requests that ended in the given way."""
        count = Counter(request.ending for request in self.ended_requests)[
            ending
        ]
        return count / max(1, len(self.ended_requests))

    def in_time_by_size(self) -> Sequence[float]:
        """Return the share served in time by size, the smallest fifth first."""
        ordered = sorted(
            self.ended_requests, key=lambda request: request.tokens
        )
        size = max(1, -(-len(ordered) // SIZE_CLASSES))
        starts = range(0, len(ordered), size)
        return [
            _in_time_share(ordered[start : start + size]) for start in starts
        ]

    def in_time_by_workspace(self) -> Mapping[int, float]:
        """Return the share served in time, by workspace."""
        workspaces = {request.workspace for request in self.ended_requests}
        return {
            workspace: _in_time_share(
                request
                for request in self.ended_requests
                if request.workspace == workspace
            )
            for workspace in sorted(workspaces)
        }

    def longest_refused_wait_s(self) -> float:
        """Return the longest wait of a refused request, in seconds."""
        return max(
            (request.waited_s for request in self.ended_requests), default=0
        )


def _in_time_share(ended_requests: Iterable[EndedRequest]) -> float:
    are_in_time = [
        request.ending is Ending.IN_TIME for request in ended_requests
    ]
    return sum(are_in_time) / max(1, len(are_in_time))
