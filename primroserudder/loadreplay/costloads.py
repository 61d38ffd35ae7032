"""Loads of requests of uneven sizes, to compare choices by their cost."""

import pathlib
import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from pydantic import TypeAdapter

from ..fleet.model import EngineTimes

LOADS_FILE = pathlib.Path(__file__).with_name('costloads.json')
MAX_ANSWER_TOKENS = 1200
MAX_PROMPT_TOKENS = 32_000
# Processor shares of the VMs, and so the requests that they get, lie between.
VM_WEIGHTS = (0.36, 2.15)
WORKSPACES = 8
TIMES = EngineTimes(
    step_s=0.00607,
    read_tokens_per_s=46_000,
    request_s=0.000482,
    context_token_s=2e-8,
    pair_s=1e-9,
    chunk_tokens=2048,
    steps_per_pass=5,
    usual_prompt_tokens=900,
    usual_answer_tokens=60,
)


@dataclass(frozen=True, slots=True)
class ModelGroups:
    """The groups that serve one model."""

    name: str
    groups: int
    pace: float


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of one route, with their median sizes in tokens."""

    name: str
    model: str
    share: float
    prompt_tokens: int
    answer_tokens: int


# 96 and 72 engines, in groups of 8 and 4.
MODELS = (ModelGroups('large', 12, 1), ModelGroups('small', 18, 0.6))
# Two thirds are of one class and one model.
CLASSES = (
    RequestClass('chat', 'large', 0.66, 900, 60),
    RequestClass('summaries', 'small', 0.17, 2000, 40),
    RequestClass('code', 'small', 0.17, 700, 100),
)


@dataclass(frozen=True, slots=True)
class CostLoad:
    """Requests per second at a number of VMs, and the engines they go to.

    Parameters
    ==========
    size_spread, hint_spread : float
        Standard deviation of the logarithm of sizes, and of the callers'
        estimates of the answers over what these turn out to be.
    slow_one_in : int
        One group of so many takes ``slow_pace`` times as long as the others.
    news_s : tuple of float
        Least and most age of what a VM knows of others, in seconds.
    """

    name: str
    seconds: float
    rate: float
    vms: int
    slots: int = 17
    failure_domains: int = 3
    objective_s: float = 0.25
    size_spread: float = 1.0
    hint_spread: float = 1.0
    slow_one_in: int = 10
    slow_pace: float = 2.0
    news_s: tuple[float, float] = (0.05, 0.3)


@dataclass(frozen=True, slots=True)
class SizedArrival:
    """A request with its true sizes and the caller's estimate."""

    at_s: float
    vm: int
    workspace: str
    request_class: RequestClass
    prompt_tokens: int
    answer_tokens: int
    hint_tokens: int


def read_cost_loads() -> Mapping[str, CostLoad]:
    """Return the loads by name.

    Examples
    ========
    >>> list(read_cost_loads())
    ['63 VMs', '63 VMs near the limit', '106 VMs']
    """
    adapter = TypeAdapter(tuple[CostLoad, ...])
    loads = adapter.validate_json(LOADS_FILE.read_bytes())
    return {load.name: load for load in loads}


def draw_sized_arrivals(load: CostLoad, seed: int) -> list[SizedArrival]:
    """Return the arrivals of a load, ordered by time."""
    return list(_draw(load, random.Random(seed)))


def _draw(load: CostLoad, rng: random.Random) -> Iterator[SizedArrival]:
    vm_weights = [rng.uniform(*VM_WEIGHTS) for _ in range(load.vms)]
    shares = [each.share for each in CLASSES]
    now = float(0)
    while True:
        now += rng.expovariate(load.rate)
        if now >= load.seconds:
            return
        drawn = rng.choices(CLASSES, shares)[0]
        prompt = drawn.prompt_tokens * rng.lognormvariate(0, load.size_spread)
        answer = drawn.answer_tokens * rng.lognormvariate(0, load.size_spread)
        answer_tokens = max(1, min(MAX_ANSWER_TOKENS, round(answer)))
        hint = answer_tokens * rng.lognormvariate(0, load.hint_spread)
        yield SizedArrival(
            now,
            rng.choices(range(load.vms), vm_weights)[0],
            f'ws-{rng.randrange(WORKSPACES)}',
            drawn,
            max(1, min(MAX_PROMPT_TOKENS, round(prompt))),
            answer_tokens,
            max(1, round(hint)),
        )
