"""Times of an engine's work, from what its operators state."""

import math

from ..model import EngineTimes

PAIR = 2
# A request waits for half of the running pass on average.
WAITED_PASS = 0.5


def read_s(times: EngineTimes, prompt_tokens: float) -> float:
    """Return the seconds in which an engine of pace 1 reads a prompt.

    Examples
    ========
    >>> times = EngineTimes(0.006, 46_000, pair_s=1e-9)
    >>> round(read_s(times, 4600), 4)
    0.1106
    """
    pairs = prompt_tokens * prompt_tokens / PAIR
    return prompt_tokens / times.read_tokens_per_s + pairs * times.pair_s


def write_s(times: EngineTimes, answer_tokens: float, slots: int) -> float:
    """Return the seconds of an engine that an answer takes in a full batch.

    Examples
    ========
    >>> round(write_s(EngineTimes(0.01, 46_000, request_s=0.001), 10, 5), 4)
    0.03
    """
    return answer_tokens * (times.step_s / max(1, slots) + times.request_s)


def first_event_s(
    times: EngineTimes, writing: int, reading_s: float, own_read_s: float
) -> float:
    """Return the expected time to the first event at pace 1, in seconds.

    Parameters
    ==========
    writing : int
        Requests that run at the engine.
    reading_s : float
        Time to read the prompts that wait there, in seconds.
    own_read_s : float
        Time to read the request's own prompt, in seconds.

    Explanation
    ===========
    A new request waits for the running pass. Prompts are read in chunks
    between the steps of the next pass, or of several passes if they are long,
    and the first event is sent when the last of these passes ends.

    Examples
    ========
    >>> times = EngineTimes(0.006, 46_000, request_s=0.0005, steps_per_pass=5)
    >>> idle = first_event_s(times, 0, 0, 0.02)
    >>> busy = first_event_s(times, 10, 0, 0.02)
    >>> round(idle, 4), round(busy, 4)
    (0.0265, 0.105)
    """
    work_s = reading_s + own_read_s
    if not writing:
        return work_s + times.step_s + times.request_s
    step_s = times.step_s + times.request_s * writing
    waited_s = WAITED_PASS * times.steps_per_pass * step_s
    passes = _passes(times, work_s)
    own_steps_s = passes * times.steps_per_pass * (step_s + times.request_s)
    return waited_s + work_s + own_steps_s


def _passes(times: EngineTimes, work_s: float) -> int:
    """Return the passes in which prompts are read."""
    if not times.chunk_tokens:
        return 1
    chunk_s = times.chunk_tokens / times.read_tokens_per_s
    return max(1, math.ceil(work_s / (chunk_s * times.steps_per_pass)))
