"""Sizes of answers as learned from finished ones, with their spread.

Explanation
===========
Answers load: requests that look alike get answers of very different lengths,
and the callers' estimates are right only at the median. The mean and the
variance of the logarithms are kept by key, as they cost a tenth of a
histogram's records and percentiles; a key with few answers is answered by a
more general one.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_SIZE = 1_000_000
MAX_KEYS = 256
MIN_ANSWERS = 8
# An answer counts at least this much, so that old ones are forgotten.
MIN_GAIN = 0.01
# Without answers to learn from, the spread of texts is assumed.
UNKNOWN_SPREAD = 1.0
MIN_SPREAD = 0.05

AnswerKey = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Size:
    """A size whose logarithm has a spread (standard deviation).

    Examples
    ========
    >>> size = Size(100, spread=0.69)
    >>> round(size.high), round(size.low)
    (199, 50)
    """

    median: float
    spread: float

    @property
    def high(self) -> float:
        """Return the size one standard deviation above the median."""
        return self.median * math.exp(self.spread)

    @property
    def low(self) -> float:
        """Return the size one standard deviation below the median."""
        return self.median * math.exp(-self.spread)


def combine(first: Size, second: Size) -> Size:
    """Return the estimate from two independent ones.

    Explanation
    ===========
    Each is weighted by how sure it is, on the scale of logarithms.

    Examples
    ========
    >>> combined = combine(Size(100, 1.0), Size(400, 1.0))
    >>> round(combined.median), round(combined.spread, 2)
    (200, 0.71)
    """
    weights = [max(MIN_SPREAD, each.spread) ** -2 for each in (first, second)]
    total = sum(weights)
    share = weights[0] / total
    log_size = share * math.log(first.median)
    log_size += (1 - share) * math.log(second.median)
    return Size(math.exp(log_size), total**-0.5)


@dataclass(slots=True)
class Sizes:
    """Mean and variance of the logarithms of sizes."""

    count: int = 0
    _mean: float = 0
    _variance: float = 0

    def record(self, size: float) -> None:
        """Record one size."""
        log_size = math.log(max(1 / MAX_SIZE, min(MAX_SIZE, size)))
        self.count += 1
        gain = max(MIN_GAIN, 1 / self.count)
        off = log_size - self._mean
        self._mean += gain * off
        self._variance = (1 - gain) * (self._variance + gain * off * off)

    def size(self) -> Size | None:
        """Return the median and the spread, ``None`` with too few sizes."""
        if self.count < MIN_ANSWERS:
            return None
        spread = max(MIN_SPREAD, math.sqrt(self._variance))
        return Size(math.exp(self._mean), spread)


@dataclass(slots=True)
class SizesByKey:
    """Recorded sizes by key; the keys unused for longest are dropped."""

    _sizes: OrderedDict[AnswerKey, Sizes] = field(default_factory=OrderedDict)

    def record(self, keys: Iterable[AnswerKey], size: float) -> None:
        """Record a size under several keys."""
        for key in keys:
            sizes = self._sizes.get(key)
            if sizes is None:
                sizes = Sizes()
                self._sizes[key] = sizes
            sizes.record(size)
            self._sizes.move_to_end(key)
        while len(self._sizes) > MAX_KEYS:
            self._sizes.popitem(last=False)

    def size(self, keys: Iterable[AnswerKey]) -> Size | None:
        """Return the size under the first key with enough of them."""
        for key in keys:
            sizes = self._sizes.get(key)
            size = sizes and sizes.size()
            if size:
                return size
        return None


@dataclass(slots=True)
class AnswerHistory:
    """Lengths of finished answers, and how far the estimates were off."""

    lengths: SizesByKey = field(default_factory=SizesByKey)
    ratios: SizesByKey = field(default_factory=SizesByKey)

    def record(self, keys: Iterable[AnswerKey], length: int, hint: int) -> None:
        """Record a finished answer and the caller's estimate, if any."""
        known = tuple(keys)
        self.lengths.record(known, length)
        if hint:
            self.ratios.record(known, length / hint)

    def estimate(
        self, keys: Iterable[AnswerKey], hint: int, usual: int
    ) -> Size | None:
        """Return the length to expect, ``None`` if nothing is known.

        Parameters
        ==========
        hint : int
            The caller's estimate, zero if there is none.
        usual : int
            The usual length by the configuration, zero if there is none.
        """
        known = tuple(keys)
        learned = self.lengths.size(known)
        if learned is None and usual:
            learned = Size(usual, UNKNOWN_SPREAD)
        if not hint:
            return learned
        ratio = self.ratios.size(known) or Size(1, UNKNOWN_SPREAD)
        hinted = Size(hint * ratio.median, ratio.spread)
        return combine(learned, hinted) if learned else hinted
