"""Decision functions over small states, without I/O or asyncio; callers pass in the clock and the random source.

Only names that both entries (`tamarackfield.entry`) and gateways (`tamarackfield.gateway`) use are exported here. The
others are imported from their modules, so that a process does not load decisions that it never takes.
"""

from tamarackfield.policy.affine import CostWeights
from tamarackfield.policy.ring import Ring
from tamarackfield.policy.routing import FleetView, RoutingRequest, TargetView

__all__ = [
    'CostWeights',
    'FleetView',
    'Ring',
    'RoutingRequest',
    'TargetView',
]
