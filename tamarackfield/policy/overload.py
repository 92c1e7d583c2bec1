"""Whether this process keeps up with its callers.

Load pattern: entries of uneven size share the callers of a zone evenly, and one of them turns slow, or gets
more than its processor can carry. Every request there is late while entries beside it have room. A balancer
sees only whether an entry says that it is ready; an entry that lags says no until it has caught up, and longer
each time that the callers who come back make it lag again.
"""

from dataclasses import dataclass

#: Lag of a timer, in seconds, from which a process does not keep up: half of the longest pause between events
#: of a stream that callers notice.
LAGGING_SECONDS = 0.15
#: Lag below which it has caught up.
CAUGHT_UP_SECONDS = 0.05
#: Seconds of lag without a break after which callers are shed; starting up or collecting garbage takes less.
SUSTAINED_SECONDS = 1.0
#: Shortest and longest time in seconds for which callers are shed; a balancer that asks once a second needs two
#: answers to take an entry out, and two to take it back.
FIRST_SHED_SECONDS = 4.0
LONGEST_SHED_SECONDS = 16.0
#: Seconds without shedding after which the next one is a short one again.
FORGIVEN_SECONDS = 30.0


@dataclass(slots=True)
class Overload:
    """Lag of one process.

    Parameters
    ----------
    lagging_since : float
        Monotonic seconds; 0 while it keeps up.
    shed_until : float
        Monotonic seconds up to which callers are shed at least; 0 while they are not.
    shed_seconds : float
        Length of the next shedding.
    ended_at : float
        Monotonic seconds at which the last shedding ended.

    Examples
    --------
    >>> overload = Overload()
    >>> [overload.note_lag(0.4, now) for now in (10.0, 10.6, 11.2)], overload.is_shedding()
    ([False, False, True], True)
    >>> [overload.note_lag(0.0, now) for now in (14.0, 15.5)], overload.is_shedding()
    ([False, True], False)
    """

    lagging_since: float = 0.0
    shed_until: float = 0.0
    shed_seconds: float = FIRST_SHED_SECONDS
    ended_at: float = 0.0

    def is_shedding(self) -> bool:
        """Tell whether callers should go elsewhere."""
        return self.shed_until > 0

    def note_lag(self, seconds: float, now: float) -> bool:
        """Take in by how much a timer was late; return whether that begins or ends a shedding."""
        if self.is_shedding():
            return self._may_end(seconds, now)
        if seconds < LAGGING_SECONDS:
            self.lagging_since = 0
            return False
        self.lagging_since = self.lagging_since or now
        if now - self.lagging_since < SUSTAINED_SECONDS:
            return False
        self._begin(now)
        return True

    def _begin(self, now: float) -> None:
        if now > self.ended_at + FORGIVEN_SECONDS:
            self.shed_seconds = FIRST_SHED_SECONDS
        self.shed_until = now + self.shed_seconds
        self.shed_seconds = min(LONGEST_SHED_SECONDS, 2 * self.shed_seconds)

    def _may_end(self, seconds: float, now: float) -> bool:
        if now < self.shed_until or seconds > CAUGHT_UP_SECONDS:
            return False
        self.shed_until = 0
        self.lagging_since = 0
        self.ended_at = now
        return True
