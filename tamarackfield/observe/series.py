"""Counters and latency histograms that a process serves as text.

The text is that of the Prometheus exposition format [1]_. Its client library takes more memory at
rest than the rest of an entry's libraries together, so the few lines are written here.

References
----------
.. [1] Prometheus project, "Exposition formats", text format 0.0.4.
"""

import bisect
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

#: Upper bounds of the latency histograms, in seconds.
BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)

Labels = tuple[tuple[str, str], ...]


def _zero_counts() -> list[int]:
    return [0 for _ in (*BOUNDS, None)]


@dataclass(slots=True)
class Histogram:
    """Counts of observations below each bound.

    Parameters
    ----------
    counts : list of int
        One for each bound and one for what lies above all.
    total : float
        Sum of the observations, in seconds.
    """

    counts: list[int] = field(default_factory=_zero_counts)
    total: float = 0.0


class Series:
    """Counters, gauges and histograms of one process.

    Examples
    --------
    >>> series = Series('demo')
    >>> series.count('requests', kind='plain')
    >>> print(series.text().splitlines()[-1])
    demo_requests_total{kind="plain"} 1
    """

    def __init__(self, prefix: str) -> None:
        """Start with nothing counted."""
        self.prefix = prefix
        self.counters: Counter[tuple[str, Labels]] = Counter()
        self.histograms: dict[tuple[str, Labels], Histogram] = {}
        self.gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self.counters[(name, tuple(labels.items()))] += amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Take a time into a histogram."""
        histogram = self.histograms.setdefault((name, tuple(labels.items())), Histogram())
        histogram.counts[bisect.bisect_left(BOUNDS, seconds)] += 1
        histogram.total += seconds

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a level that is read whenever the text is asked for."""
        self.gauges[name] = read

    def text(self) -> str:
        """Return everything in the text format."""
        lines = [f'{self.prefix}_{name} {read()}' for name, read in self.gauges.items()]
        for (name, labels), histogram in self.histograms.items():
            lines.extend(_histogram_lines(f'{self.prefix}_{name}_seconds', labels, histogram))
        for (name, labels), count in self.counters.items():
            lines.append(f'{self.prefix}_{name}_total{_label_text(labels)} {count}')
        return '\n'.join([*lines, ''])


def _histogram_lines(name: str, labels: Labels, histogram: Histogram) -> list[str]:
    lines = []
    below = 0
    for bound, count in zip((*BOUNDS, '+Inf'), histogram.counts, strict=True):
        below += count
        lines.append(f'{name}_bucket{_label_text((*labels, ("le", str(bound))))} {below}')
    lines.append(f'{name}_sum{_label_text(labels)} {round(histogram.total, 6)}')
    lines.append(f'{name}_count{_label_text(labels)} {below}')
    return lines


def _label_text(labels: Labels) -> str:
    if not labels:
        return ''
    pairs = ','.join(f'{key}="{label}"' for key, label in labels)
    return f'{{{pairs}}}'
