"""What callers got of a replayed load."""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

SIZE_CLASSES = 5


class Served(enum.Enum):
    """How one request ended for its caller."""

    IN_TIME = enum.auto()
    LATE = enum.auto()
    REFUSED = enum.auto()
    LEFT = enum.auto()
    LOST = enum.auto()


@dataclass(frozen=True, slots=True)
class Ended:
    """A request's end.

    Parameters
    ==========
    held_s : float
        How long it was held before it was last refused, zero if it was not.
    """

    served: Served
    tokens: int
    workspace: int
    held_s: float = 0


@dataclass(frozen=True, slots=True)
class Outcome:
    """All ends of a replay."""

    ended: Sequence[Ended]

    def share(self, served: Served) -> float:
        """Return the part of all requests that ended in a way."""
        count = Counter(one.served for one in self.ended)[served]
        return count / max(1, len(self.ended))

    def in_time_by_size(self) -> Sequence[float]:
        """Return the part served in time by size, the smallest fifth first."""
        ordered = sorted(self.ended, key=lambda one: one.tokens)
        size = max(1, -(-len(ordered) // SIZE_CLASSES))
        starts = range(0, len(ordered), size)
        return [_in_time(ordered[start : start + size]) for start in starts]

    def in_time_by_workspace(self) -> Mapping[int, float]:
        """Return the part served in time, by workspace."""
        workspaces = {one.workspace for one in self.ended}
        return {
            workspace: _in_time(
                one for one in self.ended if one.workspace == workspace
            )
            for workspace in sorted(workspaces)
        }

    def longest_held_s(self) -> float:
        """Return the longest time that a refused request was held."""
        return max((one.held_s for one in self.ended), default=0)


def _in_time(ended: Iterable[Ended]) -> float:
    served = [one.served is Served.IN_TIME for one in ended]
    return sum(served) / max(1, len(served))
