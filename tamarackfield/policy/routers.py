"""Routers by their name in a bundle's ``policy.routing``."""

import random
from collections.abc import Callable

from tamarackfield.policy.affine import CostWeights, choose_by_cost
from tamarackfield.policy.routing import (
    FleetView,
    Router,
    RoutingRequest,
    TargetView,
    make_least_outstanding,
    make_resident_first,
    make_round_robin,
)


def make_affine(weights: CostWeights) -> Router:
    """Return a router that chooses the target with the least expected cost."""

    def route(request: RoutingRequest, fleet: FleetView, rng: random.Random) -> TargetView:
        return choose_by_cost(request, fleet, rng, weights)

    return route


#: Factories of routers by their name in a bundle's ``policy.routing``; the cost weights come from the bundle.
ROUTERS: dict[str, Callable[[CostWeights], Router]] = {
    'round-robin': lambda weights: make_round_robin(),
    'least-outstanding': lambda weights: make_least_outstanding(),
    'resident-first': lambda weights: make_resident_first(),
    'affine': make_affine,
}
DEFAULT_ROUTER = 'affine'
