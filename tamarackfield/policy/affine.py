"""Routing by least expected cost (``affine`` in a bundle), which keeps each adapter on few targets and fills batches.

Load pattern: thousands of adapters of skewed popularity. A few adapters receive more requests than
one target can run, or longer prompts than it can prefill between the tokens of its running streams.
Most adapters receive a request now and then, and are best served where they are resident.

The candidates for a request are the targets on which its adapter is resident or loading or from which it was
evicted lately, and the first few targets of its ring order. Further targets of the ring are examined only while all
candidates so far are under pressure.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from tamarackfield.policy.routing import FleetView, RoutingRequest, TargetView

#: Number of targets of the ring order that are always examined.
MIN_RING_CANDIDATES = 2
#: Least pressure (see `CostEstimate`) of the candidates so far, in seconds, from which further targets of the ring are
#: examined.
PRESSURE_THRESHOLD_SECONDS = 1.0
#: Largest number of targets that one choice examines.
MAX_CANDIDATES = 16
#: Cost in seconds of each step along the ring, so that equal targets do not all load the same adapter.
RANK_PENALTY_SECONDS = 0.1
#: Cost in seconds of loading an adapter at a target that limits its requests: other targets can serve it more often.
LIMITED_HOME_PENALTY_SECONDS = 1.0
#: Targets with the adapter resident or loading whose cost exceeds the least by at most this fraction are near-ties; one
#: is drawn at random.
NEAR_TIE_FRACTION = 0.05
#: Fraction of an adapter load's duration that a load in progress is expected to still take.
REMAINING_LOAD_FRACTION = 0.5
#: Duration of the load of an adapter that was evicted lately, as a fraction of a load from the weight store.
RELOAD_FRACTION = 0.1
#: Cost in seconds of a call to another availability zone.
CROSS_ZONE_SECONDS = 0.003
#: Age in seconds up to which a report counts fully; a target whose load changes reports more often.
REPORT_VALID_SECONDS = 2.0
#: Further age in seconds in which the weight of an overdue report halves.
REPORT_HALF_LIFE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class CostWeights:
    """Weights of load stalls and of partly filled batches in the cost of a target, from the deployment's bundle."""

    load_stalls: float = 1.0
    batch_efficiency: float = 1.0


@dataclass(frozen=True, slots=True)
class CostEstimate:
    """Expected cost in seconds at one target.

    ``pressure`` is the part of the cost for waiting: queue, prefill of earlier prompts and adapter load, with
    the weight and the ring penalty of a load. It excludes the run itself, the call to another availability zone and the
    partly filled batch.
    """

    target: TargetView
    cost: float
    pressure: float


def estimate_cost(request: RoutingRequest, target: TargetView, rank: int, weights: CostWeights) -> CostEstimate:
    """Estimate the cost of running a request at a target.

    Parameters
    ----------
    request : RoutingRequest
        Request to be routed.
    target : TargetView
        Target as last reported.
    rank : int
        Position of the target in the ring order of the adapter.
    weights : CostWeights
        Cost weights of the deployment.

    Returns
    -------
    CostEstimate
        Costs in seconds.

    Examples
    --------
    >>> request = RoutingRequest('a@1', 'z', 10.0, 20.0)
    >>> idle = TargetView('t', 'z', batch=8, reported_at=10.0, residents=frozenset(('a@1',)))
    >>> estimate_cost(request, idle, 0, CostWeights()).pressure
    0.0
    """
    pending = expected_requests(target, request.now)
    queue_wait = max(0.0, pending + 1 - target.batch) / target.batch * target.service_seconds
    stall = expected_load_stall(request.adapter, target)
    zone_cost = 0.0 if request.zone == target.zone else CROSS_ZONE_SECONDS
    prefill_wait = expected_prefill_wait(target, request.now)
    limit_wait = target.request_seconds * (target.queued + target.unreported)
    pressure = max(queue_wait, limit_wait) + prefill_wait + stall * (1 + weights.load_stalls)
    if stall:
        pressure += RANK_PENALTY_SECONDS * rank + LIMITED_HOME_PENALTY_SECONDS * bool(target.request_seconds)
    free_fraction = 1 - min(1.0, pending / target.batch)
    underfill_cost = weights.batch_efficiency * free_fraction * target.service_seconds / target.batch
    run_seconds = request.prompt_tokens * target.token_seconds + target.service_seconds
    return CostEstimate(target, pressure + run_seconds + zone_cost + underfill_cost, pressure)


def expected_requests(target: TargetView, now: float) -> float:
    """Return the expected number of requests at a target.

    As many requests begin as end while a target is busy, so the reported number counts fully until the next report is
    overdue, and decays from then on. Requests that this entry sent since the report are added.
    """
    overdue = max(0.0, now - target.reported_at - REPORT_VALID_SECONDS)
    reported = (target.running + target.queued) * 0.5 ** (overdue / REPORT_HALF_LIFE_SECONDS)
    return max(float(target.outstanding), reported + target.unreported)


def expected_prefill_wait(target: TargetView, now: float) -> float:
    """Return the seconds until a target has prefilled the prompts ahead of a new one.

    Examples
    --------
    >>> target = TargetView('t', 'z', reported_at=10.0, prompt_seconds=0.5, token_seconds=0.001, unreported_tokens=200)
    >>> expected_prefill_wait(target, 10.25)
    0.45
    """
    reported = max(0.0, target.prompt_seconds - max(0.0, now - target.reported_at))
    return reported + target.unreported_tokens * target.token_seconds


def expected_load_stall(adapter: str, target: TargetView) -> float:
    """Return the seconds that a request would wait for its adapter to load.

    Loads ahead of it take turns in groups of as many as the engine runs at once. If every slot is pinned, the load
    also waits for a request to end.

    Examples
    --------
    >>> engine = TargetView('t', 'z', slots=8, load_seconds=0.5, concurrent_loads=4, loading=frozenset('abcd'))
    >>> expected_load_stall('x', engine), expected_load_stall('a', engine)
    (1.0, 0.25)
    """
    if not adapter or adapter in target.residents:
        return 0.0
    if adapter in target.loading:
        return target.load_seconds * REMAINING_LOAD_FRACTION
    blocked_seconds = target.service_seconds if target.pinned >= target.slots else 0.0
    if adapter in target.recent:
        return target.load_seconds * RELOAD_FRACTION + blocked_seconds
    turns = 1 + len(target.loading) // target.concurrent_loads
    return target.load_seconds * turns + blocked_seconds


def choose_by_cost(request: RoutingRequest, fleet: FleetView, rng: random.Random, weights: CostWeights) -> TargetView:
    """Choose the target with the least expected cost.

    Parameters
    ----------
    request : RoutingRequest
        Request to be routed.
    fleet : FleetView
        Source of the holders and of the ring order.
    rng : random.Random
        Random source for the choice among near-ties.
    weights : CostWeights
        Cost weights of the deployment.

    Returns
    -------
    TargetView
        A usable target.
    """
    holders = [estimate_cost(request, target, 0, weights) for target in fleet.holders(request.adapter)]
    holder_names = {item.target.name for item in holders}
    ring_iterator = _ring_estimates(request, fleet.ring_order(request.adapter), holder_names, weights)
    ring_estimates = _examine_ring(holders, ring_iterator)
    best = min((*holders, *ring_estimates), key=lambda item: item.cost)
    ties = [item for item in holders if item.cost <= best.cost * (1 + NEAR_TIE_FRACTION)]
    return rng.choice(ties).target if len(ties) > 1 else best.target


def _ring_estimates(
    request: RoutingRequest,
    order: Iterable[TargetView],
    holder_names: set[str],
    weights: CostWeights,
) -> Iterator[CostEstimate]:
    for rank, target in enumerate(order):
        if target.name not in holder_names:
            yield estimate_cost(request, target, rank, weights)


def _examine_ring(holders: list[CostEstimate], ring_iterator: Iterator[CostEstimate]) -> list[CostEstimate]:
    examined: list[CostEstimate] = []
    least_pressure = min((item.pressure for item in holders), default=PRESSURE_THRESHOLD_SECONDS)
    for item in ring_iterator:
        examined.append(item)
        least_pressure = min(least_pressure, item.pressure)
        has_enough = len(examined) >= MIN_RING_CANDIDATES and least_pressure < PRESSURE_THRESHOLD_SECONDS
        if has_enough or len(examined) + len(holders) >= MAX_CANDIDATES:
            break
    return examined
