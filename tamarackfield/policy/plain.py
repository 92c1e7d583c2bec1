"""Choice of a target of a plain service.

Load pattern: short calls to a few targets with few places each, of differing speed, some of which
turn slow or hang. An entry sees only its own requests: it weighs those that have not ended by the
time that the target took for earlier ones, and draws among near-ties so that several entries do
not choose alike.
"""

import random
from collections.abc import Sequence

from tamarackfield.policy.routing import TargetView

#: Cost in seconds of crossing to another availability zone: its round trip and the price of the bytes.
ZONE_SECONDS = 0.01
#: Costs within this share of the least are near-ties.
TIE_SHARE = 0.2
#: Weight of the newest time in the smoothed one.
SMOOTHING = 0.2


def plain_cost(target: TargetView, zone: str) -> float:
    """Return the seconds that a call is expected to take at a target.

    Examples
    --------
    >>> plain_cost(TargetView('t', 'a', batch=4, outstanding=4, service_seconds=0.1), 'a')
    0.2
    """
    crossing = 0.0 if target.zone == zone else ZONE_SECONDS
    return target.service_seconds * (1 + target.outstanding / target.batch) + crossing


def choose_plain(targets: Sequence[TargetView], zone: str, rng: random.Random) -> TargetView:
    """Return a target with about the least cost.

    Parameters
    ----------
    targets : sequence of TargetView
        At least one.
    zone : str
        Availability zone of the caller of this function.
    rng : random.Random
        Draws among near-ties.
    """
    costs = [plain_cost(target, zone) for target in targets]
    bound = min(costs) * (1 + TIE_SHARE)
    return rng.choice([target for target, cost in zip(targets, costs, strict=True) if cost <= bound])


def smooth_time(target: TargetView, seconds: float) -> None:
    """Take the time of one answer into the smoothed time of a target."""
    target.service_seconds += SMOOTHING * (seconds - target.service_seconds)
