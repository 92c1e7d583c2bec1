"""Metrics of one benchmark run, and the ratios between two runs."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from benchmarks.load_client import RequestResult
from benchmarks.traces import CALLERS

_MS_PER_SECOND = 1000
_PERCENTILES = (50, 95, 99)


@dataclass(slots=True)
class Measurement:
    """Measurements of one policy after the warm-up.

    Parameters
    ----------
    request_results : list of RequestResult
        Results of the requests sent after the warm-up.
    in_time_answers : int
        Complete answers before their deadline, from the end of the warm-up to the end of the trace.
    stalls_ms : list of float
        Load stall in milliseconds of each request that was dispatched or that waited until its deadline.
    engines : list of dict
        Increase of ``steps``, ``filled``, ``loads`` and ``busy_ms`` of each engine, and its ``batch``.
    weights_served : int
        Loads served by the weight store in the whole run.
    cpu_seconds, megabytes : dict
        Processor time during the measurement and resident memory at its end, by process name.
    seconds, trace_seconds : float
        Length of the measurement and of the part of the trace within it.
    clairvoyant_loads : int
        Minimal number of loads for the whole trace.
    trace_requests : int
        Number of requests in the whole trace.
    """

    request_results: list[RequestResult]
    in_time_answers: int
    stalls_ms: list[float]
    engines: list[dict[str, float]]
    weights_served: int
    cpu_seconds: dict[str, float]
    megabytes: dict[str, float]
    seconds: float
    trace_seconds: float
    clairvoyant_loads: int
    trace_requests: int


def compute_percentile(numbers: Sequence[float], share: float) -> float:
    """Return a percentile by the nearest-rank method, 0 for no numbers.

    Examples
    --------
    >>> compute_percentile([4.0, 1.0, 3.0, 2.0], 50)
    2.0
    """
    if not numbers:
        return 0.0
    ordered = sorted(numbers)
    rank = -(-len(ordered) * share // 100)
    return ordered[max(0, int(rank) - 1)]


def summarize_measurement(measurement: Measurement) -> dict[str, Any]:
    """Return the metrics of one policy as a JSON-compatible dictionary."""
    answered = [result for result in measurement.request_results if result.outcome == 'answered']
    first_token_ms = [(result.token_times[0] - result.sent_at) * _MS_PER_SECOND for result in answered]
    stalls_ms = measurement.stalls_ms
    steps = sum(engine['steps'] * engine['batch'] for engine in measurement.engines)
    loads = measurement.weights_served / measurement.trace_requests
    return {
        'requests': len(measurement.request_results),
        'goodput_per_second': _round_metric(measurement.in_time_answers / measurement.trace_seconds),
        'outcomes': dict(Counter(result.outcome for result in measurement.request_results)),
        'refused_without_retry_after': sum(
            result.outcome.startswith('not_run') and not result.retry_after for result in measurement.request_results
        ),
        'load_stall_ms': _compute_percentiles(stalls_ms),
        'load_stall_share': _round_metric(sum(stall > 0 for stall in stalls_ms) / max(1, len(stalls_ms))),
        'load_stall_total_seconds': _round_metric(sum(stalls_ms) / _MS_PER_SECOND),
        'batch_efficiency': _round_metric(sum(engine['filled'] for engine in measurement.engines) / max(1, steps)),
        'first_token_ms': _compute_percentiles(first_token_ms),
        'between_tokens_ms': _compute_percentiles(list(_iterate_token_gaps_ms(answered))),
        'others_first_token_p99_ms': _round_metric(_compute_others_first_token_p99_ms(answered)),
        'weight_store_loads_per_request': _round_metric(loads),
        'loads_against_clairvoyant': _round_metric(measurement.weights_served / measurement.clairvoyant_loads),
        'cpu_cores': {
            name: _round_metric(used / measurement.seconds) for name, used in measurement.cpu_seconds.items()
        },
        'cpu_cores_total': _round_metric(sum(measurement.cpu_seconds.values()) / measurement.seconds),
        'memory_mb': {name: _round_metric(size) for name, size in measurement.megabytes.items()},
    }


def compute_ratios(policy: dict[str, Any], baseline: dict[str, Any]) -> dict[str, float | None]:
    """Return the ratio of policy to baseline for each compared metric; None for a baseline of 0."""
    pairs = {
        'load_stall_p50': (policy['load_stall_ms']['p50'], baseline['load_stall_ms']['p50']),
        'load_stall_p95': (policy['load_stall_ms']['p95'], baseline['load_stall_ms']['p95']),
        'load_stall_p99': (policy['load_stall_ms']['p99'], baseline['load_stall_ms']['p99']),
        'first_token_p95': (policy['first_token_ms']['p95'], baseline['first_token_ms']['p95']),
        'between_tokens_p95': (policy['between_tokens_ms']['p95'], baseline['between_tokens_ms']['p95']),
    }
    for name in (
        'load_stall_total_seconds',
        'load_stall_share',
        'batch_efficiency',
        'goodput_per_second',
        'weight_store_loads_per_request',
    ):
        pairs[name] = (policy[name], baseline[name])
    return {
        name: _round_metric(policy_value / baseline_value) if baseline_value else None
        for name, (policy_value, baseline_value) in pairs.items()
    }


def _iterate_token_gaps_ms(answered: Iterable[RequestResult]) -> Iterable[float]:
    for result in answered:
        for before, after in zip(result.token_times, result.token_times[1:], strict=False):
            yield (after - before) * _MS_PER_SECOND


def _compute_others_first_token_p99_ms(answered: Iterable[RequestResult]) -> float:
    others = [result for result in answered if result.arrival.caller != CALLERS[0]]
    return compute_percentile([(result.token_times[0] - result.sent_at) * _MS_PER_SECOND for result in others], 99)


def _compute_percentiles(numbers: Sequence[float]) -> dict[str, float]:
    return {f'p{share}': _round_metric(compute_percentile(numbers, share)) for share in _PERCENTILES}


def _round_metric(number: float) -> float:
    return round(number, 3)
