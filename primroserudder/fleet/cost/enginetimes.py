"""Times of an engine's work, from what its operators state."""

import math
from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class PassTimes:
    """Times of the passes of an engine of pace 1.

    Parameters
    ==========
    request_s : float
        What each request in decode adds to a step.
    read_s : float
        Time that reading takes at most of a pass, infinite without a limit.
    """

    step_s: float
    request_s: float
    steps: int
    read_s: float

    def first_event_s(self, writing: int, work_s: float) -> float:
        """Return the expected time to the first event, in seconds.

        Parameters
        ==========
        writing : int
            Requests that run at the engine.
        work_s : float
            Time to read the prompts that wait there and the request's own.

        Explanation
        ===========
        A new request waits for the running pass. Prompts are read in chunks
        between the steps of the next pass, or of several if they are long,
        and the first event is sent when the last of these passes ends.

        Examples
        ========
        >>> times = PassTimes(0.006, 0.0005, 5, 0.2)
        >>> idle = times.first_event_s(0, 0.02)
        >>> busy = times.first_event_s(10, 0.02)
        >>> round(idle, 4), round(busy, 4)
        (0.0265, 0.105)
        """
        if not writing:
            return work_s + self.step_s + self.request_s
        passes = 1
        if work_s > self.read_s:
            passes = math.ceil(work_s / self.read_s)
        step_s = self.step_s + self.request_s * writing
        step_count = self.steps * (WAITED_PASS + passes)
        own_s = self.steps * passes * self.request_s
        return work_s + step_count * step_s + own_s


def pass_times(times: EngineTimes) -> PassTimes:
    """Return the times of passes from those that operators state."""
    chunk_s = times.chunk_tokens / times.read_tokens_per_s
    return PassTimes(
        times.step_s,
        times.request_s,
        times.steps_per_pass,
        chunk_s * times.steps_per_pass or float('inf'),
    )
