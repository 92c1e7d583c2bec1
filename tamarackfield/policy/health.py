"""Judges targets by the results of requests, never by what they say of themselves.

Load pattern: a few targets fail, hang or reset a part of their requests while their health checks
are good; callers of one availability zone may see it while others do not. A target that fails is
left out for a while, then tried with one request at a time. At most a share of the targets of a
service is left out, so that a fault of all of them does not end the service.
"""

from collections.abc import Sequence
from dataclasses import dataclass

#: Weight of the newest result in the smoothed share of failures.
SMOOTHING = 0.25
#: Smoothed share of failures from which a target is left out; above the few errors in a hundred
#: that sound targets answer.
FAILING_SHARE = 0.5
#: Seconds for which a failing target is left out at first.
FIRST_BREAK_SECONDS = 1.0
#: Longest time in seconds for which a target is left out.
LONGEST_BREAK_SECONDS = 8.0
#: Largest share of the targets of a service that is left out.
MAX_SHARE_OUT = 0.5


@dataclass(slots=True)
class TargetHealth:
    """What this process saw of one target.

    Parameters
    ----------
    failing : float
        Smoothed share of failed requests.
    out_until : float
        Monotonic seconds before which it is left out.
    break_seconds : float
        Length of the next break.
    probing : bool
        Whether a single request tries it at the moment.

    Examples
    --------
    >>> health = TargetHealth()
    >>> for _ in range(3):
    ...     left_out = health.record(False, now=10.0)
    >>> health.is_out(10.5), health.is_out(11.5)
    (True, False)
    """

    failing: float = 0.0
    out_until: float = 0.0
    break_seconds: float = FIRST_BREAK_SECONDS
    probing: bool = False

    def record(self, succeeded: bool, now: float) -> bool:
        """Take in the result of one request; return whether the target is left out from now on.

        Parameters
        ----------
        succeeded : bool
            Whether an answer of the target arrived.
        now : float
            Monotonic seconds.
        """
        self.probing = False
        failed = 0.0 if succeeded else 1.0
        self.failing += SMOOTHING * (failed - self.failing)
        if succeeded:
            self._recover(now)
            return False
        if self.failing < FAILING_SHARE and not self.out_until:
            return False
        if now < self.out_until:
            return False
        self.out_until = now + self.break_seconds
        self.break_seconds = min(LONGEST_BREAK_SECONDS, 2 * self.break_seconds)
        return True

    def is_out(self, now: float) -> bool:
        """Tell whether it gets no request now; after its break it gets one at a time."""
        return now < self.out_until or (self.out_until > 0 and self.probing)

    def start(self) -> None:
        """Note that a request goes to it."""
        if self.out_until:
            self.probing = True

    def cancel(self) -> None:
        """Note that a request ended without a result."""
        self.probing = False

    def _recover(self, now: float) -> None:
        if self.out_until and now >= self.out_until:
            self.out_until = 0.0
            self.failing = 0.0
            self.break_seconds = FIRST_BREAK_SECONDS


def keep_enough(states: Sequence[TargetHealth], now: float) -> list[int]:
    """Return the indexes of the targets that may be used.

    Parameters
    ----------
    states : sequence of TargetHealth
        One for each target of a service.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of int
        In their order; those left out come back, the soundest first, where too many are out.

    Examples
    --------
    >>> broken = TargetHealth(failing=0.9, out_until=5.0)
    >>> keep_enough([TargetHealth(), broken], 1.0)
    [0]
    >>> keep_enough([broken, broken, TargetHealth(failing=0.7, out_until=5.0)], 1.0)
    [2, 0]
    """
    usable = [index for index, state in enumerate(states) if not state.is_out(now)]
    most_out = int(len(states) * MAX_SHARE_OUT)
    out = sorted(
        (index for index in range(len(states)) if index not in usable), key=lambda index: states[index].failing
    )
    return usable + out[: max(0, len(out) - most_out)]
