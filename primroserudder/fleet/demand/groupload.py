"""How many requests a group runs at a time and still answers them in time.

Explanation
===========
Answers the load at which groups have free slots and yet answer late: each
request that decodes makes every step longer, so that requests stay longer and
more of them run at once. The effect feeds on itself well before the slots are
used up.
"""

from ..model import EngineSpec

# Average fraction of slots in use; the rest is left free for bursts.
TARGET_SLOT_USE = 0.6
# A step may take this many times as long as with a single request. At twice as
# long, a load that rises by a quarter doubles the requests that run.
MAX_SLOWDOWN = 1.5


def usable_requests(spec: EngineSpec) -> float:
    """Return the requests that a group should run at a time on average.

    Examples
    ========
    >>> from ..model import EngineTimes
    >>> usable_requests(EngineSpec(20, {}, 0, 5, 8))
    12.0
    >>> times = EngineTimes(0.006, 46_000, request_s=0.0005)
    >>> usable_requests(EngineSpec(20, {}, 0, 5, 8, times))
    6.0
    """
    by_slots = spec.slots * TARGET_SLOT_USE
    if spec.times is None or not spec.times.request_s:
        return by_slots
    slowdown_s = (MAX_SLOWDOWN - 1) * spec.times.step_s
    return max(1.0, min(by_slots, slowdown_s / spec.times.request_s))
