"""Decisions as pure functions over small states: no I/O, no asyncio; clock and random source are passed in.

Names that only one edge needs are imported from their modules, so that a process loads no decision of the other.
"""

from tamarackfield.policy.affine import Weights
from tamarackfield.policy.ring import Ring
from tamarackfield.policy.routing import FleetView, RoutingRequest, TargetView

__all__ = [
    'FleetView',
    'Ring',
    'RoutingRequest',
    'TargetView',
    'Weights',
]
