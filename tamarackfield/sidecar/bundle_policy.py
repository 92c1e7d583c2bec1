"""Applies the limits (slots and batch) and the policy of a bundle to a scheduler."""

from tamarackfield.bundle import Bundle, TargetEntry
from tamarackfield.policy.admission import ADMISSION_POLICIES, DEFAULT_ADMISSION
from tamarackfield.policy.queueing import DEFAULT_QUEUE_ORDER, QUEUE_ORDERS
from tamarackfield.policy.eviction import DEFAULT_EVICTION, EVICTION_POLICIES
from tamarackfield.sidecar.scheduler import Scheduler


def make_scheduler(bundle: Bundle, target_entry: TargetEntry) -> Scheduler:
    """Return an empty scheduler of a target, configured by the bundle."""
    eviction = EVICTION_POLICIES[DEFAULT_EVICTION]
    scheduler = Scheduler(target_entry.slots, target_entry.batch, eviction, QUEUE_ORDERS[DEFAULT_QUEUE_ORDER])
    apply_bundle_policy(scheduler, bundle, target_entry)
    return scheduler


def apply_bundle_policy(scheduler: Scheduler, bundle: Bundle, target_entry: TargetEntry) -> None:
    """Apply the limits and the policy of a bundle; waiting and running jobs are kept."""
    policy = bundle.policy
    scheduler.slots = target_entry.slots
    scheduler.batch = target_entry.batch
    scheduler.eviction = EVICTION_POLICIES[policy.get('eviction', DEFAULT_EVICTION)]
    scheduler.queue_order = QUEUE_ORDERS[policy.get('queue', DEFAULT_QUEUE_ORDER)]
    scheduler.admission = ADMISSION_POLICIES[policy.get('admission', DEFAULT_ADMISSION)]
