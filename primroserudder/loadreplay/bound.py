"""Bounds the served requests as if all arrivals were known in advance."""

from collections.abc import Iterable, Sequence

from .arrivals import Arrival, LoadPattern
from .batching import PREFILL_TOKENS_PER_S, STEP_PER_REQUEST_S, STEP_S

# A request that starts within an objective of the last arrival runs on for
# at most about this time.
MAX_OVERRUN_S = 1.0


def min_work_s(arrival: Arrival, slots: int) -> float:
    """Return the least time in seconds that a request takes of a group.

    Explanation
    ===========
    The request shares each of its steps with a full batch.

    Examples
    ========
    >>> round(min_work_s(Arrival(0, 0, 0, 0, 560, 10), slots=8), 4)
    0.026
    """
    prefill_s = arrival.prompt_tokens / PREFILL_TOKENS_PER_S
    token_s = STEP_S / slots + STEP_PER_REQUEST_S
    return prefill_s + arrival.answer_tokens * token_s


def max_served_share(
    pattern: LoadPattern, arrivals: Sequence[Arrival]
) -> float:
    """Return an upper bound on the share of requests that a policy serves.

    Explanation
    ===========
    The time of all groups goes to the requests that need the least of it, in
    batches that are always full; order and lateness are ignored. No policy
    with less information can serve more.
    """
    work_s = [min_work_s(arrival, pattern.slots) for arrival in arrivals]
    available_s = pattern.groups * pattern.seconds
    lost_s = len(pattern.losses) * pattern.repair_s
    # Requests that started in time may end after the last arrival.
    overrun_s = MAX_OVERRUN_S * pattern.groups
    return _count_fitting(work_s, available_s - lost_s + overrun_s) / len(
        arrivals
    )


def _count_fitting(work_s: Iterable[float], capacity_s: float) -> int:
    served = 0
    for needed_s in sorted(work_s):
        capacity_s -= needed_s
        if capacity_s < 0:
            break
        served += 1
    return served
