"""Hedged requests: a second attempt beside a first one that takes longer than nearly all others [1]_.

Load pattern: a few targets of a service answer late for a moment (a pause, a full queue, a busy machine) while the
others have room. The first attempt of a call that may run again is hedged once it has taken longer than most attempts
of its route have lately. When all are late, the learnt time grows. A hedge is lent by the retry budget: only while
failures have left all of it, and paid by what later requests earn, so that a failure finds as much as without hedges.

An entry spends only what its own requests have earned, starting at nothing. Whatever the number of entries, whether
they know of each other and however often they start, all together therefore stay within the share.

References
----------
.. [1] J. Dean and L. A. Barroso, "The Tail at Scale", 2013.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from tamarackfield.policy.health import TargetHealth
from tamarackfield.policy.routing import TargetView
from tamarackfield.policy.service_routing import expected_call_cost
from tamarackfield.policy.shared_retry_budget import SharedRetryBudget

#: Quantile of the times of a route after which an attempt is hedged, as in the publication: 5 in 100 attempts.
HEDGE_QUANTILE = 0.95
#: Number of the latest attempts of a route from which it is learnt, and the number without which none is hedged.
MAX_TIMES, MIN_TIMES = 256, 40
#: Attempts after which the quantile is computed anew: sorting 256 numbers takes some 10 microseconds.
RELEARN_ATTEMPTS = 16
#: Limit of the hedges that an entry may save up, so that calm does not pay for a burst.
MAX_SAVED_HEDGES = 5.0
#: Smoothed failure ratio of a target from which its health is in doubt: one failure in the last ten requests or so.
DOUBTFUL_FAILURE_RATIO = 0.02
#: Seconds after a refusal, or a failed attempt, in which its service counts as short of room.
SHORTAGE_SECONDS = 2.0
#: Share of the places of the targets that have to be free, as far as this entry knows.
MIN_FREE_SHARE = 0.25


@dataclass(slots=True)
class RouteTimes:
    """Times of the latest attempts of one route, from sending to the head of the answer.

    Examples
    --------
    >>> times = RouteTimes()
    >>> for milliseconds in range(MIN_TIMES - 1):
    ...     times.record(milliseconds / 1000)
    >>> times.hedge_seconds
    inf
    >>> times.record(0.5)
    >>> times.hedge_seconds
    0.038
    """

    latest: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_TIMES))
    unread: int = 0
    hedge_seconds: float = math.inf

    def record(self, seconds: float) -> None:
        """Record the time of an attempt; one that was ended for its hedge took at least the time that it had."""
        self.latest.append(seconds)
        self.unread += 1
        if len(self.latest) < MIN_TIMES or (self.unread < RELEARN_ATTEMPTS and self.hedge_seconds < math.inf):
            return
        self.unread = 0
        self.hedge_seconds = sorted(self.latest)[int(HEDGE_QUANTILE * len(self.latest))]


@dataclass(slots=True)
class ServiceHedges:
    """Hedges that an entry may send to one service.

    Examples
    --------
    >>> hedges = ServiceHedges()
    >>> retries = SharedRetryBudget(0.2, 40.0, 10.0, entries=4, available=5.0)
    >>> for _ in range(19):
    ...     hedges.earn(0.05)
    >>> hedges.may_spend(retries, 1.0)
    False
    >>> hedges.earn(0.05)
    >>> hedges.may_spend(retries, 1.0)
    True
    >>> hedges.record_shortage(1.0)
    >>> hedges.may_spend(retries, 2.0), hedges.may_spend(retries, 4.0)
    (False, True)
    """

    available: float = 0.0
    short_until: float = 0.0

    def earn(self, share: float) -> None:
        """Add what one request earns."""
        self.available = min(MAX_SAVED_HEDGES, self.available + share)

    def spend(self) -> None:
        """Subtract one hedge."""
        self.available -= 1

    def record_shortage(self, now: float) -> None:
        """Record a refusal or a failure of a target."""
        self.short_until = now + SHORTAGE_SECONDS

    def may_spend(self, retries: SharedRetryBudget, now: float) -> bool:
        """Return whether one more hedge is allowed, and failures have left all of the retry budget."""
        # Twenty times 0.05 is a little less than 1.
        return self.available + _ROUNDING >= 1 and now >= self.short_until and retries.can_lend(now)


#: Error of a sum of shares that counts as a whole hedge.
_ROUNDING = 1e-6


def is_healthy(health: TargetHealth) -> bool:
    """Return whether nothing puts the health of a target in doubt."""
    return health.failure_ratio < DOUBTFUL_FAILURE_RATIO and not health.ejected_until


def has_room(views: list[TargetView]) -> bool:
    """Return whether enough places of some targets are free.

    Examples
    --------
    >>> has_room([TargetView('t1', 'a', batch=4, running=4), TargetView('t2', 'a', batch=4, outstanding=1)])
    True
    >>> has_room([TargetView('t1', 'a', batch=4, running=4), TargetView('t2', 'a', batch=4, running=3)])
    False
    """
    places = sum(view.batch for view in views)
    return sum(_count_free(view) for view in views) >= MIN_FREE_SHARE * places


def is_sooner(candidate: TargetView, first: TargetView, elapsed_seconds: float, zone: str) -> bool:
    """Return whether a target has a free place and is expected to answer before another one that is late.

    An attempt that has taken longer than nearly all others is expected to take as long again.

    Examples
    --------
    >>> first, like = TargetView('t1', 'a', service_seconds=0.1), TargetView('t2', 'a', service_seconds=0.15)
    >>> slow = TargetView('t3', 'a', service_seconds=0.5)
    >>> is_sooner(like, first, 0.2, 'a'), is_sooner(slow, first, 0.2, 'a')
    (True, False)
    """
    is_faster = expected_call_cost(candidate, zone) <= expected_call_cost(first, zone) + elapsed_seconds
    return is_faster and _count_free(candidate) > 0 and not candidate.queued


def _count_free(view: TargetView) -> int:
    return max(0, view.batch - max(view.outstanding, view.running + view.queued))
