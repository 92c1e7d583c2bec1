"""How long a connection to one address may have rested and still be used.

Load pattern: some targets forget connections after a fraction of the time that they announce, without a
word. Whatever is sent next on such a connection is reset, and a request that may run only once is lost
then, for it may have run. Each reset of a rested connection lowers the time for its address below the
one that was seen to fail; it comes back slowly, since the target may stay as it is.
"""

import math
from dataclasses import dataclass

#: Share of a rest that ended in a reset which is still trusted afterwards.
TRUSTED_SHARE = 0.5
#: Seconds in which the trusted time doubles.
DOUBLING_SECONDS = 5.0
#: Doublings after which any rest is trusted again: from milliseconds to hours.
MOST_DOUBLINGS = 20
#: Shortest rest, in seconds, that explains a reset: a connection in steady use is not idle.
LEAST_REST_SECONDS = 0.05


@dataclass(slots=True)
class TrustedRest:
    """Longest rest of a connection to one address.

    Parameters
    ----------
    seconds : float
        Trusted when it was last lowered.
    lowered_at : float
        Monotonic seconds.

    Examples
    --------
    >>> rest = TrustedRest()
    >>> rest.note_reset(0.8, now=10.0)
    True
    >>> rest.longest(10.0), rest.longest(15.0)
    (0.4, 0.8)
    """

    seconds: float = math.inf
    lowered_at: float = 0.0

    def longest(self, now: float) -> float:
        """Return the longest rest that is trusted, in seconds."""
        doublings = min(MOST_DOUBLINGS, (now - self.lowered_at) / DOUBLING_SECONDS)
        return self.seconds * 2**doublings

    def note_reset(self, rested_seconds: float, now: float) -> bool:
        """Note that a connection ended without an answer after a rest; return whether that lowers the trusted time."""
        trusted = TRUSTED_SHARE * rested_seconds
        if rested_seconds < LEAST_REST_SECONDS or trusted >= self.longest(now):
            return False
        self.seconds = trusted
        self.lowered_at = now
        return True
