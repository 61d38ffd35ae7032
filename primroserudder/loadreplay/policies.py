"""Waiting policies: the router's, its earlier one and simple baselines."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from ..fleet.waitqueue import RETRY_AFTER_FULL_S, max_wait_s

# A caller disconnects after two seconds without an event.
CALLER_IDLE_TIMEOUT_S = 2.0

# Takes the objective, the time waited and the time left; all in seconds.
WaitLimit = Callable[[float, float, float], float]


@dataclass(frozen=True, slots=True)
class WaitingPolicy:
    """How long a request may wait, and when a refused one may be retried."""

    wait_limit_s: WaitLimit
    retry_after_s: float = RETRY_AFTER_FULL_S


def _no_wait(_objective_s: float, _waited_s: float, _left_s: float) -> float:
    return 0


def _until_objective(
    objective_s: float, waited_s: float, left_s: float
) -> float:
    return min(objective_s, left_s) - waited_s


def _until_caller_timeout(
    _objective_s: float, waited_s: float, left_s: float
) -> float:
    return min(CALLER_IDLE_TIMEOUT_S, left_s) - waited_s


POLICIES: Mapping[str, WaitingPolicy] = MappingProxyType(
    {
        'router': WaitingPolicy(max_wait_s),
        'whole objective': WaitingPolicy(_until_objective),
        'refuse at once': WaitingPolicy(_no_wait),
        'wait to the end': WaitingPolicy(_until_caller_timeout),
    }
)
