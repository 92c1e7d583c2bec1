"""Metrics by statsd; each name is declared once with its type and unit."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import statsd

#: Seconds between two sendings of the gauges.
GAUGE_INTERVAL = 1.0


@dataclass(frozen=True, slots=True)
class Metric:
    """Declaration of one metric.

    Parameters
    ----------
    name : str
        Name without the instance's prefix.
    kind : str
        ``counter``, ``gauge`` or ``timer``.
    unit : str
        What one step of it means.
    meaning : str
        One sentence for operators.
    """

    name: str
    kind: str
    unit: str
    meaning: str


_DECLARED = (
    Metric('requests', 'counter', 'requests', 'Requests that an entry took in.'),
    Metric('answers', 'counter', 'requests', 'Requests whose whole answer went to the caller.'),
    Metric('refusals.not_run', 'counter', 'requests', 'Requests that ended with outcome not_run.'),
    Metric('refusals.unknown', 'counter', 'requests', 'Requests that ended with outcome unknown.'),
    Metric('refusals.failed', 'counter', 'requests', 'Requests that ended with outcome failed.'),
    Metric('retries', 'counter', 'requests', 'Requests sent again after a proven not_run.'),
    Metric('first_token', 'timer', 'milliseconds', 'From taking a request in to the first byte of its answer.'),
    Metric('load_stall', 'timer', 'milliseconds', 'Time that a request waited because its adapter was not loaded.'),
    Metric('adapter_loads', 'counter', 'loads', 'Adapters that a sidecar had loaded.'),
    Metric('adapter_load_failures', 'counter', 'loads', 'Load orders that failed.'),
    Metric('adapter_unloads', 'counter', 'unloads', 'Adapters that a sidecar had unloaded.'),
    Metric('queue_length', 'gauge', 'requests', 'Requests that wait in a sidecar.'),
    Metric('batch_fill', 'gauge', 'share', 'Share of the engine batch in use.'),
    Metric('engine_restarts', 'counter', 'restarts', 'Changes of the engine incarnation that a sidecar saw.'),
    Metric('echo_mismatches', 'counter', 'requests', 'Answers from another adapter or version than was named.'),
    Metric('late_frames', 'counter', 'frames', 'Frames for a request that is no longer known.'),
    Metric('peer_streams', 'gauge', 'streams', 'Streams to peers that are open.'),
    Metric('bundle_number', 'gauge', 'number', 'Number of the bundle in force.'),
    Metric('bundles_refused', 'counter', 'bundles', 'Bundles that were not accepted.'),
    Metric('bundle_conflicts', 'counter', 'bundles', 'Signed bundles with the number in force and other content.'),
    Metric('bundle_watching', 'gauge', 'processes', '1 while this process watches the configuration service.'),
)

#: All declared metrics by name.
METRICS = {metric.name: metric for metric in _DECLARED}


class Metrics:
    """Sends metrics to a statsd collector, or nowhere if none is set.

    Parameters
    ----------
    instance : str
        Prefix of each name.
    host : str
        IP number of the collector; empty for none.
    port : int
        UDP port of the collector.
    """

    def __init__(self, instance: str, host: str = '', port: int = 0) -> None:
        """Open the datagram socket if a collector is set."""
        self.client = statsd.StatsClient(host, port, prefix=f'tamarackfield.{instance}') if host else None

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter.

        Raises
        ------
        KeyError
            If the metric is not declared.
        """
        declared = METRICS[name]
        if self.client is not None:
            self.client.incr(declared.name, amount)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge.

        Raises
        ------
        KeyError
            If the metric is not declared.
        """
        declared = METRICS[name]
        if self.client is not None:
            self.client.gauge(declared.name, level)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a time in milliseconds.

        Raises
        ------
        KeyError
            If the metric is not declared.
        """
        declared = METRICS[name]
        if self.client is not None:
            self.client.timing(declared.name, milliseconds)


async def send_gauges(metrics: Metrics, read: Callable[[], dict[str, float]]) -> None:
    """Send gauges again and again, for ever.

    Parameters
    ----------
    metrics : Metrics
        Where they go.
    read : callable
        Returns the levels by the names of declared metrics.
    """
    while True:
        for name, level in read().items():
            metrics.gauge(name, level)
        await asyncio.sleep(GAUGE_INTERVAL)
