"""Metrics sent by statsd; each metric is declared once with its type and unit."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import statsd

#: Interval at which gauges are sent.
GAUGE_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Metric:
    """Declaration of one metric.

    Parameters
    ----------
    name : str
        Name without the prefix of the instance.
    kind : str
        ``counter``, ``gauge`` or ``timer``.
    unit : str
        Unit of the values.
    description : str
        Description for operators, one sentence.
    """

    name: str
    kind: str
    unit: str
    description: str


_DECLARED = (
    Metric('requests', 'counter', 'requests', 'Requests received by an entry.'),
    Metric('answers', 'counter', 'requests', 'Requests whose complete answer was sent to the caller.'),
    Metric('refusals.not_run', 'counter', 'requests', 'Requests that ended with outcome not_run.'),
    Metric('refusals.unknown', 'counter', 'requests', 'Requests that ended with outcome unknown.'),
    Metric('refusals.failed', 'counter', 'requests', 'Requests that ended with outcome failed.'),
    Metric('retries', 'counter', 'requests', 'Requests retried after it was proven that they were not_run.'),
    Metric('first_token', 'timer', 'milliseconds', 'Time from receiving a request to the first byte of its answer.'),
    Metric('load_stall', 'timer', 'milliseconds', 'Time that a request waited because its adapter was not loaded.'),
    Metric('adapter_loads', 'counter', 'loads', 'Adapters loaded by order of a sidecar.'),
    Metric('adapter_load_failures', 'counter', 'loads', 'Load orders that failed.'),
    Metric('adapter_unloads', 'counter', 'unloads', 'Adapters unloaded by order of a sidecar.'),
    Metric('queue_length', 'gauge', 'requests', 'Requests queued in a sidecar.'),
    Metric('batch_fill', 'gauge', 'share', 'Share of the engine batch that is in use.'),
    Metric('engine_restarts', 'counter', 'restarts', 'Changes of the engine incarnation observed by a sidecar.'),
    Metric('echo_mismatches', 'counter', 'requests', 'Answers from a different adapter or version than requested.'),
    Metric('late_frames', 'counter', 'frames', 'Frames received for a request that is no longer tracked.'),
    Metric('peer_streams', 'gauge', 'streams', 'Open streams to peers.'),
    Metric('bundle_number', 'gauge', 'number', 'Number of the bundle in force.'),
    Metric('bundles_refused', 'counter', 'bundles', 'Bundles that were rejected.'),
    Metric(
        'bundle_conflicts',
        'counter',
        'bundles',
        'Signed bundles with the number of the bundle in force but different content.',
    ),
    Metric('bundle_watching', 'gauge', 'processes', '1 while this process watches the configuration service.'),
)

#: Declared metrics by name.
METRICS = {metric.name: metric for metric in _DECLARED}


class Metrics:
    """Client of a statsd collector; discards all metrics if no collector is configured.

    Parameters
    ----------
    instance : str
        Instance name, which is part of the prefix of each metric.
    host : str
        IP number of the collector; empty if there is none.
    port : int
        UDP port of the collector.
    """

    def __init__(self, instance: str, host: str = '', port: int = 0) -> None:
        """Open the datagram socket if a collector is configured."""
        self.client = statsd.StatsClient(host, port, prefix=f'tamarackfield.{instance}') if host else None

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter.

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
        """Send a duration in milliseconds.

        Raises
        ------
        KeyError
            If the metric is not declared.
        """
        declared = METRICS[name]
        if self.client is not None:
            self.client.timing(declared.name, milliseconds)


async def send_gauges(metrics: Metrics, read_gauges: Callable[[], dict[str, float]]) -> None:
    """Send gauges periodically; never returns.

    Parameters
    ----------
    metrics : Metrics
        Client of the collector.
    read_gauges : callable
        Returns the current value of each gauge by its declared name.
    """
    while True:
        for name, level in read_gauges().items():
            metrics.gauge(name, level)
        await asyncio.sleep(GAUGE_INTERVAL_SECONDS)
