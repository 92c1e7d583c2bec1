"""Applies the sizes and the policy of a bundle to a scheduler."""

from tamarackfield.bundle import Bundle, TargetEntry
from tamarackfield.policy.admission import ADMISSION_POLICIES, DEFAULT_ADMISSION
from tamarackfield.policy.queueing import DEFAULT_QUEUE_ORDER, QUEUE_ORDERS
from tamarackfield.policy.eviction import DEFAULT_EVICTION, EVICTION_POLICIES
from tamarackfield.sidecar.scheduler import Scheduler


def make_scheduler(bundle: Bundle, entry: TargetEntry) -> Scheduler:
    """Return an empty scheduler of a target, configured by the bundle."""
    eviction = EVICTION_POLICIES[DEFAULT_EVICTION]
    scheduler = Scheduler(entry.slots, entry.batch, eviction, QUEUE_ORDERS[DEFAULT_QUEUE_ORDER])
    apply_bundle_policy(scheduler, bundle, entry)
    return scheduler


def apply_bundle_policy(scheduler: Scheduler, bundle: Bundle, entry: TargetEntry) -> None:
    """Apply the sizes and the policy of a bundle; waiting and running jobs are kept."""
    policy = bundle.policy
    scheduler.slots = entry.slots
    scheduler.batch = entry.batch
    scheduler.eviction = EVICTION_POLICIES[policy.get('eviction', DEFAULT_EVICTION)]
    scheduler.queue_order = QUEUE_ORDERS[policy.get('queue', DEFAULT_QUEUE_ORDER)]
    scheduler.admission = ADMISSION_POLICIES[policy.get('admission', DEFAULT_ADMISSION)]
