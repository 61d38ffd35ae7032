"""Sizes of answers as learned from finished ones, with their spread.

Explanation
===========
Answers load: requests that look alike get answers of very different lengths,
and the callers' estimates are right only at the median. Sizes are kept as
histograms by key; a key with few answers is answered by a more general one.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

# One significant digit is far below the spread of answers, and keeps a
# histogram at about 2 KB.
MAX_SIZE = 1_000_000
SIGNIFICANT_DIGITS = 1
# Ratios of answers to estimates are counted in thousandths.
RATIO_SCALE = 1000
MAX_KEYS = 256
MIN_ANSWERS = 8
# Percentiles are computed again after this many answers.
REFRESH_ANSWERS = 16
# Without answers to learn from, the spread of texts is assumed.
UNKNOWN_SPREAD = 1.0
MIN_SPREAD = 0.05
MEDIAN = 50
# One standard deviation above and below the median.
HIGH = 84.13
LOW = 15.87

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


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_SIZE, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Sizes:
    """Recorded sizes of one kind."""

    histogram: HdrHistogram = field(default_factory=_histogram)
    count: int = 0
    _size: Size | None = None

    def record(self, size: float) -> None:
        """Record one size."""
        self.histogram.record_value(max(1, min(MAX_SIZE, round(size))))
        self.count += 1
        if self.count % REFRESH_ANSWERS == 0 or self.count == MIN_ANSWERS:
            self._size = None

    def size(self) -> Size | None:
        """Return the median and the spread, ``None`` with too few sizes."""
        if self.count < MIN_ANSWERS:
            return None
        if self._size is None:
            low, median, high = (
                max(1, self.histogram.get_value_at_percentile(percentile))
                for percentile in (LOW, MEDIAN, HIGH)
            )
            spread = math.log(high / low) / 2
            self._size = Size(median, max(MIN_SPREAD, spread))
        return self._size


@dataclass(slots=True)
class SizesByKey:
    """Recorded sizes by key; the keys unused for longest are dropped."""

    _sizes: OrderedDict[AnswerKey, Sizes] = field(default_factory=OrderedDict)

    def record(self, keys: Iterable[AnswerKey], size: float) -> None:
        """Record a size under several keys."""
        for key in keys:
            self._sizes.setdefault(key, Sizes()).record(size)
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
            self.ratios.record(known, RATIO_SCALE * length / hint)

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
        ratio = self.ratios.size(known) or Size(RATIO_SCALE, UNKNOWN_SPREAD)
        hinted = Size(hint * ratio.median / RATIO_SCALE, ratio.spread)
        return combine(learned, hinted) if learned else hinted
