"""Decisions as pure functions over small states: no I/O, no asyncio; clock and random source are passed in."""

from tamarackfield.policy.admission import ADMISSIONS, Admission, Backlog
from tamarackfield.policy.affine import Weights
from tamarackfield.policy.placement import home_target, rendezvous_order
from tamarackfield.policy.queueing import QUEUE_ORDERS, Waiting
from tamarackfield.policy.retries import RetryBudget
from tamarackfield.policy.ring import Ring
from tamarackfield.policy.routers import ROUTERS
from tamarackfield.policy.routing import FleetView, Router, RoutingRequest, TargetView
from tamarackfield.policy.slots import EVICTIONS, SlotUse

__all__ = [
    'ADMISSIONS',
    'EVICTIONS',
    'QUEUE_ORDERS',
    'ROUTERS',
    'Admission',
    'Backlog',
    'FleetView',
    'RetryBudget',
    'Ring',
    'Router',
    'RoutingRequest',
    'SlotUse',
    'TargetView',
    'Waiting',
    'Weights',
    'home_target',
    'rendezvous_order',
]
