"""What could be served at most, if all arrivals were known beforehand."""

from collections.abc import Iterable, Sequence

from .arrivals import Arrival, LoadPattern
from .batching import PER_WRITER_S, READ_TOKENS_PER_S, STEP_S

# An objective after the last arrival, what has begun in time writes on.
LONGEST_OVER_S = 1.0


def least_work_s(arrival: Arrival, slots: int) -> float:
    """Return the time of a group that a request takes at least.

    Explanation
    ===========
    Its tokens share their steps with as many others as the group has slots.

    Examples
    ========
    >>> round(least_work_s(Arrival(0, 0, 0, 0, 560, 10), slots=8), 4)
    0.026
    """
    reading_s = arrival.prompt_tokens / READ_TOKENS_PER_S
    token_s = STEP_S / slots + PER_WRITER_S
    return reading_s + arrival.answer_tokens * token_s


def most_served(pattern: LoadPattern, arrivals: Sequence[Arrival]) -> float:
    """Return a bound on the part of the requests that any policy serves.

    Explanation
    ===========
    The time of all groups is given to the requests that take the least of
    it, in batches that are always full; neither order nor lateness counts. No
    policy that knows less can serve more.
    """
    work_s = [least_work_s(one, pattern.slots) for one in arrivals]
    standing_s = pattern.groups * pattern.seconds
    lost_s = len(pattern.losses) * pattern.repair_s
    # What began in time may end after the last arrival.
    over_s = LONGEST_OVER_S * pattern.groups
    return _fill(work_s, standing_s - lost_s + over_s) / len(arrivals)


def _fill(work_s: Iterable[float], capacity_s: float) -> int:
    served = 0
    for needed_s in sorted(work_s):
        capacity_s -= needed_s
        if capacity_s < 0:
            break
        served += 1
    return served
