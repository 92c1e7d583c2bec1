"""Routing of calls to plain services, which use no adapters.

Load pattern: short calls to a few targets with low concurrency limits and differing speed, some of
which become slow or hang. An entry knows only its own requests. It extends a target's smoothed
call time by its outstanding requests relative to the target's concurrency limit, and draws among near-ties
so that several entries do not all choose the same target.
"""

import random
from collections.abc import Sequence

from tamarackfield.policy.routing import TargetView

#: Cost in seconds of a call to another availability zone: its round trip and the price of the traffic.
CROSS_ZONE_SECONDS = 0.01
#: Targets whose cost exceeds the least by at most this fraction are near-ties.
NEAR_TIE_FRACTION = 0.2
#: Weight of the newest duration in the smoothed one.
SMOOTHING = 0.2


def expected_call_cost(target: TargetView, zone: str) -> float:
    """Return the expected duration of a call at a target in seconds, plus the cost of crossing zones.

    Examples
    --------
    >>> expected_call_cost(TargetView('t', 'a', batch=4, outstanding=4, service_seconds=0.1), 'a')
    0.2
    """
    zone_cost = 0.0 if target.zone == zone else CROSS_ZONE_SECONDS
    return target.service_seconds * (1 + target.outstanding / target.batch) + zone_cost


def choose_service_target(targets: Sequence[TargetView], zone: str, rng: random.Random) -> TargetView:
    """Return a target whose cost is the least or nearly so.

    Parameters
    ----------
    targets : sequence of TargetView
        Candidates, at least one.
    zone : str
        Availability zone of this process.
    rng : random.Random
        Random source for the choice among near-ties.
    """
    costs = [expected_call_cost(target, zone) for target in targets]
    near_tie_limit = min(costs) * (1 + NEAR_TIE_FRACTION)
    return rng.choice([target for target, cost in zip(targets, costs, strict=True) if cost <= near_tie_limit])


def update_service_time(target: TargetView, seconds: float) -> None:
    """Update the smoothed service time of a target with the duration of one call."""
    target.service_seconds += SMOOTHING * (seconds - target.service_seconds)
