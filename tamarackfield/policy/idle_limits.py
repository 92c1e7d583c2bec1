"""Adaptive idle time-outs: how long a connection to one address may be idle and still be reused.

Load pattern: some targets drop idle connections after a fraction of the time that they announce, without
closing them. The next request on such a connection is reset. A request that must not run twice is then
lost, because it may have run. Each reset of an idle connection lowers the limit for its address below the
idle time that failed. The limit recovers slowly, because the target may still drop connections early.
"""

import math
from dataclasses import dataclass

#: Fraction of the idle time before a reset that is still considered safe.
SAFE_FRACTION = 0.5
#: Seconds in which the idle limit doubles.
DOUBLING_SECONDS = 5.0
#: Number of doublings after which the limit stops growing: enough to go from milliseconds to hours.
MAX_DOUBLINGS = 20
#: Shortest idle time, in seconds, to which a reset is attributed; a connection in steady use is not idle.
MIN_IDLE_SECONDS = 0.05


@dataclass(slots=True)
class IdleLimit:
    """Longest safe idle time of connections to one address.

    Parameters
    ----------
    seconds : float
        Limit in seconds when it was last lowered; infinite before the first reset.
    lowered_at : float
        Time of the last decrease in monotonic seconds.

    Examples
    --------
    >>> limit = IdleLimit()
    >>> limit.record_reset(0.8, now=10.0)
    True
    >>> limit.current_seconds(10.0), limit.current_seconds(15.0)
    (0.4, 0.8)
    """

    seconds: float = math.inf
    lowered_at: float = 0.0

    def current_seconds(self, now: float) -> float:
        """Return the longest safe idle time in seconds."""
        doublings = min(MAX_DOUBLINGS, (now - self.lowered_at) / DOUBLING_SECONDS)
        return self.seconds * 2**doublings

    def record_reset(self, idle_seconds: float, now: float) -> bool:
        """Record that a connection ended without an answer after an idle time; return whether the limit decreases."""
        safe_seconds = SAFE_FRACTION * idle_seconds
        if idle_seconds < MIN_IDLE_SECONDS or safe_seconds >= self.current_seconds(now):
            return False
        self.seconds = safe_seconds
        self.lowered_at = now
        return True
