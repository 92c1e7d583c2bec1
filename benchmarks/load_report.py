"""Figures of one run, and the ratios between two."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from benchmarks.load_client import Result
from benchmarks.traces import CALLERS

_MS_PER_SECOND = 1000
_PERCENTILES = (50, 95, 99)


@dataclass(slots=True)
class Measured:
    """Everything that was seen of one side after its warm-up.

    Parameters
    ----------
    exchanges : list of Result
        Requests sent after the warm-up.
    finished : int
        Whole answers, in time, that ended between the end of the warm-up and that of the trace.
    stalls_ms : list of float
        Load stall of each request that was dispatched, or that waited until its deadline.
    engines : list of dict
        Growth of each engine's ``steps``, ``filled``, ``loads`` and ``busy_ms``; its ``batch``.
    weights_served : int
        Loads that the weight store served, in the whole run.
    cpu_seconds, megabytes : dict
        By process, over the time of measurement.
    seconds, trace_seconds : float
        Length of the measurement and of the trace within it.
    clairvoyant : int
        Fewest loads that the whole trace needs.
    requests : int
        Of the whole trace.
    """

    exchanges: list[Result]
    finished: int
    stalls_ms: list[float]
    engines: list[dict[str, float]]
    weights_served: int
    cpu_seconds: dict[str, float]
    megabytes: dict[str, float]
    seconds: float
    trace_seconds: float
    clairvoyant: int
    requests: int


def percentile(numbers: Sequence[float], share: float) -> float:
    """Return a percentile by the nearest rank, 0 for no numbers.

    Examples
    --------
    >>> percentile([4.0, 1.0, 3.0, 2.0], 50)
    2.0
    """
    if not numbers:
        return 0.0
    ordered = sorted(numbers)
    rank = -(-len(ordered) * share // 100)
    return ordered[max(0, int(rank) - 1)]


def summarize(measured: Measured) -> dict[str, Any]:
    """Return the figures of one side, ready for JSON."""
    answered = [result for result in measured.exchanges if result.outcome == 'answered']
    first = [(result.token_times[0] - result.sent_at) * _MS_PER_SECOND for result in answered]
    stalls = measured.stalls_ms
    steps = sum(engine['steps'] * engine['batch'] for engine in measured.engines)
    loads = measured.weights_served / measured.requests
    return {
        'requests': len(measured.exchanges),
        'goodput_per_second': _round(measured.finished / measured.trace_seconds),
        'outcomes': dict(Counter(result.outcome for result in measured.exchanges)),
        'refused_without_retry_after': sum(
            result.outcome.startswith('not_run') and not result.retry_after for result in measured.exchanges
        ),
        'load_stall_ms': _percentiles(stalls),
        'load_stall_share': _round(sum(stall > 0 for stall in stalls) / max(1, len(stalls))),
        'load_stall_total_seconds': _round(sum(stalls) / _MS_PER_SECOND),
        'batch_efficiency': _round(sum(engine['filled'] for engine in measured.engines) / max(1, steps)),
        'first_token_ms': _percentiles(first),
        'between_tokens_ms': _percentiles(list(_gaps(answered))),
        'others_first_token_p99_ms': _round(_first_of_others(answered)),
        'weight_store_loads_per_request': _round(loads),
        'loads_against_clairvoyant': _round(measured.weights_served / measured.clairvoyant),
        'cpu_cores': {name: _round(used / measured.seconds) for name, used in measured.cpu_seconds.items()},
        'cpu_cores_total': _round(sum(measured.cpu_seconds.values()) / measured.seconds),
        'memory_mb': {name: _round(size) for name, size in measured.megabytes.items()},
    }


def ratios(policy: dict[str, Any], baseline: dict[str, Any]) -> dict[str, float | None]:
    """Return policy divided by baseline for the figures that are compared; None for a baseline of 0."""
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
    return {name: _round(mine / other) if other else None for name, (mine, other) in pairs.items()}


def _gaps(answered: Iterable[Result]) -> Iterable[float]:
    for result in answered:
        for before, after in zip(result.token_times, result.token_times[1:], strict=False):
            yield (after - before) * _MS_PER_SECOND


def _first_of_others(answered: Iterable[Result]) -> float:
    others = [result for result in answered if result.arrival.caller != CALLERS[0]]
    return percentile([(result.token_times[0] - result.sent_at) * _MS_PER_SECOND for result in others], 99)


def _percentiles(numbers: Sequence[float]) -> dict[str, float]:
    return {f'p{share}': _round(percentile(numbers, share)) for share in _PERCENTILES}


def _round(number: float) -> float:
    return round(number, 3)
