"""Overload detection and load shedding of one process by its event-loop lag.

Load pattern: entries of uneven capacity share the callers of a zone evenly, and one of them becomes slow or
receives more work than its processor can do. Every request there is late while other entries have spare
capacity. A load balancer sees only whether an entry reports itself ready. A lagging entry sheds its
callers: it reports that it is not ready until it has recovered. The shedding period grows each time returning
callers overload it again.
"""

from dataclasses import dataclass

#: Timer lag in seconds from which a process counts as lagging: half of the shortest pause between
#: events of a stream that callers notice.
LAG_THRESHOLD_SECONDS = 0.15
#: Timer lag in seconds up to which the process counts as recovered.
RECOVERED_LAG_SECONDS = 0.05
#: Seconds of continuous lag after which callers are shed; start-up and garbage collection take less.
SUSTAINED_LAG_SECONDS = 1.0
#: Shortest and longest shedding period in seconds. A load balancer that polls once a second needs two
#: answers to remove an entry and two to add it again.
MIN_SHED_SECONDS = 4.0
MAX_SHED_SECONDS = 16.0
#: Seconds without shedding after which the next shedding period is the shortest one again.
BACKOFF_RESET_SECONDS = 30.0


@dataclass(slots=True)
class OverloadDetector:
    """Lag and load shedding of one process.

    Parameters
    ----------
    lagging_since : float
        Start of the current lag in monotonic seconds; 0 if the process does not lag.
    shed_until : float
        Earliest end of the shedding period in monotonic seconds; 0 if callers are not shed.
    shed_seconds : float
        Duration of the next shedding period.
    shed_ended_at : float
        End of the last shedding period in monotonic seconds.

    Examples
    --------
    >>> overload = OverloadDetector()
    >>> [overload.record_lag(0.4, now) for now in (10.0, 10.6, 11.2)], overload.is_shedding()
    ([False, False, True], True)
    >>> [overload.record_lag(0.0, now) for now in (14.0, 15.5)], overload.is_shedding()
    ([False, True], False)
    """

    lagging_since: float = 0.0
    shed_until: float = 0.0
    shed_seconds: float = MIN_SHED_SECONDS
    shed_ended_at: float = 0.0

    def is_shedding(self) -> bool:
        """Return whether callers should use another entry."""
        return self.shed_until > 0

    def record_lag(self, seconds: float, now: float) -> bool:
        """Record the delay of a timer; return whether shedding starts or ends."""
        if self.is_shedding():
            return self._stop_shedding_if_recovered(seconds, now)
        if seconds < LAG_THRESHOLD_SECONDS:
            self.lagging_since = 0
            return False
        self.lagging_since = self.lagging_since or now
        if now - self.lagging_since < SUSTAINED_LAG_SECONDS:
            return False
        self._start_shedding(now)
        return True

    def _start_shedding(self, now: float) -> None:
        if now > self.shed_ended_at + BACKOFF_RESET_SECONDS:
            self.shed_seconds = MIN_SHED_SECONDS
        self.shed_until = now + self.shed_seconds
        self.shed_seconds = min(MAX_SHED_SECONDS, 2 * self.shed_seconds)

    def _stop_shedding_if_recovered(self, seconds: float, now: float) -> bool:
        if now < self.shed_until or seconds > RECOVERED_LAG_SECONDS:
            return False
        self.shed_until = 0
        self.lagging_since = 0
        self.shed_ended_at = now
        return True
