"""Routing that keeps each adapter on few targets and fills batches: the least expected cost wins.

Load pattern: thousands of adapters of skewed popularity. A few of them get more requests than one
target can run, or longer prompts than it can read between the tokens of the streams that it runs;
most get a request now and then, and are best kept where they are.

The candidates of a request are the targets that hold or load its adapter and the first few of its
ring order. More of the ring is looked at only while every candidate so far is under pressure.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from tamarackfield.policy.routing import FleetView, RoutingRequest, TargetView

#: Targets of the ring order that are looked at first.
FIRST_CANDIDATES = 2
#: Expected cost in seconds, beyond the run itself, above which more of the ring is looked at.
PRESSURE_SECONDS = 1.0
#: Most targets that one choice looks at.
MAX_CANDIDATES = 16
#: Cost in seconds of each step along the ring, so that equal targets do not all load one adapter.
RANK_SECONDS = 0.1
#: Costs of holders within this share of the least are near-ties, drawn at random.
TIE_SHARE = 0.05
#: Share of a load's time that one already under way still takes.
LOADING_SHARE = 0.5
#: Cost in seconds of crossing to another availability zone.
ZONE_SECONDS = 0.003
#: Age of a report, in seconds, at which its queue counts half.
REPORT_HALF_LIFE = 2.0


@dataclass(frozen=True, slots=True)
class Weights:
    """How much a deployment minds load stalls and half-empty batches, from its bundle."""

    load_stalls: float = 1.0
    batch_efficiency: float = 1.0


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected seconds at one target; ``pressure`` is the cost beyond the run itself."""

    target: TargetView
    cost: float
    pressure: float


def estimate(request: RoutingRequest, target: TargetView, rank: int, weights: Weights) -> Estimate:
    """Estimate what running a request at a target costs.

    Parameters
    ----------
    request : RoutingRequest
        What is to be placed.
    target : TargetView
        As last reported.
    rank : int
        Place in the ring order of the adapter.
    weights : Weights
        Of the deployment.

    Returns
    -------
    Estimate
        In seconds.

    Examples
    --------
    >>> request = RoutingRequest('a@1', 'z', 10.0, 20.0)
    >>> idle = TargetView('t', 'z', batch=8, reported_at=10.0, residents=frozenset(('a@1',)))
    >>> estimate(request, idle, 0, Weights()).pressure
    0.0
    """
    pending = expected_requests(target, request.now)
    waiting = max(0.0, pending + 1 - target.batch) / target.batch * target.service_seconds
    stall = expected_stall(request.adapter, target)
    crossing = 0.0 if request.zone == target.zone else ZONE_SECONDS
    reading = expected_reading(target, request.now)
    pressure = waiting + reading + stall * (1 + weights.load_stalls)
    if stall:
        pressure += RANK_SECONDS * rank
    room = 1 - min(1.0, pending / target.batch)
    emptiness = weights.batch_efficiency * room * target.service_seconds / target.batch
    run = request.prompt_tokens * target.token_seconds + target.service_seconds
    return Estimate(target, pressure + run + crossing + emptiness, pressure)


def expected_requests(target: TargetView, now: float) -> float:
    """Return the requests at a target: those reported, fading with the report's age, and this entry's since."""
    age = max(0.0, now - target.reported_at)
    reported = (target.running + target.queued) * 0.5 ** (age / REPORT_HALF_LIFE)
    return max(float(target.outstanding), reported + target.unreported)


def expected_reading(target: TargetView, now: float) -> float:
    """Return the seconds in which a target reads the prompts before the next one.

    Examples
    --------
    >>> target = TargetView('t', 'z', reported_at=10.0, prompt_seconds=0.5, token_seconds=0.001, unreported_tokens=200)
    >>> expected_reading(target, 10.25)
    0.45
    """
    reported = max(0.0, target.prompt_seconds - max(0.0, now - target.reported_at))
    return reported + target.unreported_tokens * target.token_seconds


def expected_stall(adapter: str, target: TargetView) -> float:
    """Return the seconds that a request would wait for its adapter."""
    if not adapter or adapter in target.residents:
        return 0.0
    if adapter in target.loading:
        return target.load_seconds * LOADING_SHARE
    before = len(target.loading)
    blocked = target.service_seconds if target.pinned >= target.slots else 0.0
    return target.load_seconds * (1 + before) + blocked


def choose_by_cost(request: RoutingRequest, fleet: FleetView, rng: random.Random, weights: Weights) -> TargetView:
    """Choose the target with the least expected cost.

    Parameters
    ----------
    request : RoutingRequest
        What is to be placed.
    fleet : FleetView
        Looks up holders and the ring order.
    rng : random.Random
        Draws among near-ties.
    weights : Weights
        Of the deployment.

    Returns
    -------
    TargetView
        One that may be used now.
    """
    holders = [estimate(request, target, 0, weights) for target in fleet.holders(request.adapter)]
    seen = {item.target.name for item in holders}
    ring = _ring_estimates(request, fleet.ring_order(request.adapter), seen, weights)
    others = _look_on(holders, ring)
    best = min((*holders, *others), key=lambda item: item.cost)
    ties = [item for item in holders if item.cost <= best.cost * (1 + TIE_SHARE)]
    return rng.choice(ties).target if len(ties) > 1 else best.target


def _ring_estimates(
    request: RoutingRequest,
    order: Iterable[TargetView],
    seen: set[str],
    weights: Weights,
) -> Iterator[Estimate]:
    for rank, target in enumerate(order):
        if target.name not in seen:
            yield estimate(request, target, rank, weights)


def _look_on(holders: list[Estimate], ring: Iterator[Estimate]) -> list[Estimate]:
    looked_at: list[Estimate] = []
    least = min((item.pressure for item in holders), default=PRESSURE_SECONDS)
    for item in ring:
        looked_at.append(item)
        least = min(least, item.pressure)
        enough = len(looked_at) >= FIRST_CANDIDATES and least < PRESSURE_SECONDS
        if enough or len(looked_at) + len(holders) >= MAX_CANDIDATES:
            break
    return looked_at
