"""Counters, gauges and latency histograms in the Prometheus text exposition format [1]_.

The Prometheus client library needs more memory in an idle entry than all its other libraries
together, so the format is implemented here.

References
----------
.. [1] Prometheus project, "Exposition formats", text format 0.0.4.
"""

import bisect
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

#: Upper bounds of the buckets of latency histograms.
BUCKET_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)

Labels = tuple[tuple[str, str], ...]


def _make_empty_buckets() -> list[int]:
    return [0 for _ in (*BUCKET_BOUNDS_SECONDS, None)]


@dataclass(slots=True)
class Histogram:
    """Observations of a latency, counted by bucket.

    Parameters
    ----------
    counts : list of int
        Observations in each bucket (not cumulative); the last bucket has no upper bound.
    total_seconds : float
        Sum of the observations, in seconds.
    """

    counts: list[int] = field(default_factory=_make_empty_buckets)
    total_seconds: float = 0.0


class MetricRegistry:
    """Registry of the counters, gauges and histograms of one process.

    Examples
    --------
    >>> metrics = MetricRegistry('demo')
    >>> metrics.count('requests', kind='plain')
    >>> print(metrics.render_text().splitlines()[-1])
    demo_requests_total{kind="plain"} 1
    """

    def __init__(self, prefix: str) -> None:
        """Create an empty registry whose metric names start with a prefix."""
        self.prefix = prefix
        self.counters: Counter[tuple[str, Labels]] = Counter()
        self.histograms: dict[tuple[str, Labels], Histogram] = {}
        self.gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter."""
        self.counters[(name, tuple(labels.items()))] += amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration in seconds to a histogram."""
        histogram = self.histograms.setdefault((name, tuple(labels.items())), Histogram())
        histogram.counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        histogram.total_seconds += seconds

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read each time the text is rendered."""
        self.gauges[name] = read

    def render_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [f'{self.prefix}_{name} {read()}' for name, read in self.gauges.items()]
        for (name, labels), histogram in self.histograms.items():
            lines.extend(_format_histogram(f'{self.prefix}_{name}_seconds', labels, histogram))
        for (name, labels), count in self.counters.items():
            lines.append(f'{self.prefix}_{name}_total{_format_labels(labels)} {count}')
        return '\n'.join([*lines, ''])


def _format_histogram(name: str, labels: Labels, histogram: Histogram) -> list[str]:
    lines = []
    cumulative_count = 0
    for bound, count in zip((*BUCKET_BOUNDS_SECONDS, '+Inf'), histogram.counts, strict=True):
        cumulative_count += count
        lines.append(f'{name}_bucket{_format_labels((*labels, ("le", str(bound))))} {cumulative_count}')
    lines.append(f'{name}_sum{_format_labels(labels)} {round(histogram.total_seconds, 6)}')
    lines.append(f'{name}_count{_format_labels(labels)} {cumulative_count}')
    return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ''
    pairs = ','.join(f'{key}="{label}"' for key, label in labels)
    return f'{{{pairs}}}'
