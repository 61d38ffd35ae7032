"""Counters and latency histograms of one process."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest

MAX_MICROSECONDS = 3_600_000_000
# Three digits take 188 KB for each histogram, two take 27.
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_S = 1_000_000
REPORTED_PERCENTILES = (50, 95, 99)


@dataclass(slots=True)
class Latency:
    """A histogram of durations, with a resolution of microseconds."""

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1,
            MAX_MICROSECONDS,
            SIGNIFICANT_DIGITS,
        ),
    )

    def record(self, seconds: float) -> None:
        """Record one duration given in seconds."""
        microseconds = max(1, int(seconds * MICROSECONDS_PER_S))
        self.histogram.record_value(min(microseconds, MAX_MICROSECONDS))

    def percentile_s(self, percentile: float) -> float:
        """Return a percentile (0 to 100) in seconds."""
        microseconds = self.histogram.get_value_at_percentile(percentile)
        return float(microseconds) / MICROSECONDS_PER_S

    def summary(self) -> Mapping[str, float]:
        """Return count and percentiles in seconds."""
        return {
            'count': self.histogram.get_total_count(),
            **{
                f'p{percentile}_s': self.percentile_s(percentile)
                for percentile in REPORTED_PERCENTILES
            },
        }


@dataclass(slots=True)
class Metrics:
    """All counters and histograms of one process, by name.

    Examples
    ========
    >>> metrics = Metrics()
    >>> metrics.count('requests', code='ok')
    >>> metrics.value('requests', code='ok')
    1.0
    """

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    counters_by_name: dict[str, Counter] = field(default_factory=dict)
    latencies_by_name: dict[str, Latency] = field(default_factory=dict)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter; the first use fixes its label names."""
        counter = self.counters_by_name.get(name)
        if counter is None:
            counter = Counter(
                f'rudder_{name}',
                f'Number of {name.replace("_", " ")}',
                tuple(labels),
                registry=self.registry,
            )
            self.counters_by_name[name] = counter
        child = counter.labels(**labels) if labels else counter
        child.inc(amount)

    def value(self, name: str, **labels: str) -> float:
        """Return a counter's value, zero if it was never used."""
        value = self.registry.get_sample_value(f'rudder_{name}_total', labels)
        return value or 0

    def latency(self, name: str) -> Latency:
        """Return the histogram of a name; create it at the first use."""
        latency = self.latencies_by_name.get(name)
        if latency is None:
            latency = Latency()
            self.latencies_by_name[name] = latency
        return latency

    def prometheus_text(self) -> bytes:
        """Return the counters and percentiles in Prometheus text format."""
        lines = [
            f'rudder_{name}_seconds{{percentile="{label}"}} {seconds}'
            for name, latency in self.latencies_by_name.items()
            for label, seconds in latency.summary().items()
        ]
        text = ''.join(f'{line}\n' for line in lines)
        return generate_latest(self.registry) + text.encode()

    def dump(self) -> Mapping[str, object]:
        """Return all counters and latencies for the state dump."""
        counters = {
            _sample_name(sample.name, sample.labels): sample.value
            for metric in self.registry.collect()
            for sample in metric.samples
            if sample.name.endswith('_total')
        }
        latencies = {
            name: latency.summary()
            for name, latency in self.latencies_by_name.items()
        }
        return {'counters': counters, 'latencies': latencies}


def _sample_name(name: str, labels: Mapping[str, str]) -> str:
    inner = ','.join(f'{key}={label}' for key, label in labels.items())
    return f'{name}{{{inner}}}' if inner else name
