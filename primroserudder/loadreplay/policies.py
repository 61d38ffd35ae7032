"""Ways to let requests wait: the router's, its earlier ones, plain ones."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from ..fleet.waitqueue import RETRY_AFTER_FULL_S, max_wait_s

# A caller leaves after two seconds without an event.
CALLER_PATIENCE_S = 2.0

# From the objective, the time waited and the time left, in seconds.
Patience = Callable[[float, float, float], float]


@dataclass(frozen=True, slots=True)
class WaitingPolicy:
    """How long a request may wait, and when a refused one may return."""

    patience_s: Patience
    retry_after_s: float = RETRY_AFTER_FULL_S


def _never(_objective_s: float, _waited_s: float, _left_s: float) -> float:
    return 0


def _objective(objective_s: float, waited_s: float, left_s: float) -> float:
    return min(objective_s, left_s) - waited_s


def _to_the_end(_objective_s: float, waited_s: float, left_s: float) -> float:
    return min(CALLER_PATIENCE_S, left_s) - waited_s


POLICIES: Mapping[str, WaitingPolicy] = MappingProxyType(
    {
        'router': WaitingPolicy(max_wait_s),
        'whole objective': WaitingPolicy(_objective),
        'refuse at once': WaitingPolicy(_never),
        'wait to the end': WaitingPolicy(_to_the_end),
    }
)
