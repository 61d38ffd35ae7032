"""Seeded loads for the comparison of routing policies."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

ENTRIES = 4
WORD_RANGE = 10_000


@dataclass(frozen=True, slots=True)
class LoadShape:
    """The shape of a load; ``rate`` is in requests per second."""

    name: str
    rate: float
    families: int = 0
    prefix_words: int = 0
    own_words: int = 300
    tokens: int = 40
    is_skewed: bool = False
    stragglers: int = 0
    slowdown: float = 1


@dataclass(frozen=True, slots=True)
class Planned:
    """One request of a load, which arrives after ``at`` seconds."""

    at: float
    entry: int
    prompt: str
    tokens: int


UNIFORM = LoadShape('uniform', rate=60)
SHARED = LoadShape(
    'shared_prefixes',
    rate=45,
    families=48,
    prefix_words=1024,
    own_words=128,
)
STRAGGLERS = LoadShape('stragglers', rate=50, stragglers=2, slowdown=5)
MIXED = LoadShape(
    'mixed',
    rate=45,
    families=48,
    prefix_words=1024,
    own_words=128,
    is_skewed=True,
    stragglers=2,
    slowdown=5,
)
SHAPES = (UNIFORM, SHARED, STRAGGLERS, MIXED)


def plan(shape: LoadShape, requests: int, seed: int) -> Sequence[Planned]:
    """Return the requests of a load; equal seeds give equal requests."""
    rng = random.Random(f'{shape.name}/{seed}')
    prefixes = [
        _words(rng, shape.prefix_words) for _ in range(shape.families)
    ] or ['']
    # The popularity of a prefix falls with its rank.
    weights = [1 / (1 + rank) for rank in range(len(prefixes))]
    at: float = 0
    planned = []
    for _ in range(requests):
        at += rng.expovariate(shape.rate)
        prefix = rng.choices(prefixes, weights)[0]
        stretch = rng.paretovariate(2) / 2 if shape.is_skewed else 1
        own = _words(rng, int(shape.own_words * stretch))
        planned.append(
            Planned(
                at=at,
                entry=rng.randrange(ENTRIES),
                prompt=f'{prefix} {own}'.strip(),
                tokens=max(1, int(shape.tokens * stretch)),
            ),
        )
    return planned


def _words(rng: random.Random, count: int) -> str:
    return ' '.join(f'w{rng.randrange(WORD_RANGE)}' for _ in range(count))
