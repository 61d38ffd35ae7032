"""Generates the arrivals of a model's requests."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

# Standard deviation of the logarithm of the sizes, similar to that of texts.
SIZE_SPREAD = 0.8
MAX_ANSWER_TOKENS = 1200
# A few workspaces send most requests: the n-th one's share is about 1/n.
WORKSPACES = 8


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """A load and the groups that serve it.

    Parameters
    ==========
    rate : float
        Requests per second outside the burst. The rate is ``burst_rate`` from
        ``burst_from_s`` on, for ``burst_s`` seconds.
    losses : tuple of float
        Times in seconds at which one group stops; it serves again after
        ``repair_s`` seconds.
    sharing_s : float
        Interval at which a VM learns of the others' requests, in seconds.
    """

    name: str
    seconds: float
    rate: float
    groups: int
    burst_rate: float = 0
    burst_from_s: float = 0
    burst_s: float = 0
    losses: tuple[float, ...] = ()
    repair_s: float = 2.0
    vms: int = 7
    failure_domains: int = 3
    sharing_s: float = 0.04
    slots: int = 13
    objective_s: float = 0.25
    prompt_tokens: int = 900
    answer_tokens: int = 60

    def rate_at(self, now: float) -> float:
        """Return the requests per second at a time in seconds."""
        in_burst = 0 <= now - self.burst_from_s < self.burst_s
        return self.burst_rate if in_burst else self.rate


@dataclass(frozen=True, slots=True)
class Arrival:
    """The first attempt of a caller's request."""

    number: int
    at_s: float
    vm: int
    workspace: int
    prompt_tokens: int
    answer_tokens: int


def draw_arrivals(pattern: LoadPattern, seed: int) -> list[Arrival]:
    """Return the arrivals of a pattern, ordered by time."""
    return list(_draw_arrivals(pattern, random.Random(seed)))


def _draw_arrivals(
    pattern: LoadPattern, rng: random.Random
) -> Iterator[Arrival]:
    weights = [1 / (number + 1) for number in range(WORKSPACES)]
    now = float(0)
    number = 0
    while True:
        now += rng.expovariate(pattern.rate_at(now))
        if now >= pattern.seconds:
            return
        answer = pattern.answer_tokens * rng.lognormvariate(0, SIZE_SPREAD)
        prompt = pattern.prompt_tokens * rng.lognormvariate(0, SIZE_SPREAD)
        yield Arrival(
            number,
            now,
            rng.randrange(pattern.vms),
            rng.choices(range(WORKSPACES), weights)[0],
            max(1, round(prompt)),
            max(1, min(MAX_ANSWER_TOKENS, round(answer))),
        )
        number += 1
