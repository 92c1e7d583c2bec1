"""Outlier ejection of targets by the results of requests, independent of the targets' own health reports.

Load pattern: a few targets fail, hang or reset some of their requests while their health checks
pass; callers of one availability zone may be affected while others are not. A failing target is
ejected for a while and then probed with one request at a time. At most a fraction of the targets of a
service is ejected, so that a fault of all targets does not stop the service.
"""

from collections.abc import Sequence
from dataclasses import dataclass

#: Weight of the newest result in the smoothed failure ratio.
SMOOTHING = 0.25
#: Smoothed failure ratio at which a target is ejected; above the few errors per hundred requests
#: of sound targets.
EJECTION_FAILURE_RATIO = 0.5
#: Duration in seconds of a target's first ejection.
INITIAL_EJECTION_SECONDS = 1.0
#: Longest duration of an ejection in seconds.
MAX_EJECTION_SECONDS = 8.0
#: Largest fraction of the targets of a service that is ejected.
MAX_EJECTED_FRACTION = 0.5


@dataclass(slots=True)
class TargetHealth:
    """Health of one target as this process observes it.

    Parameters
    ----------
    failure_ratio : float
        Smoothed ratio of failed requests.
    ejected_until : float
        End of the last ejection in monotonic seconds; 0 if there was none, or once a later request succeeded.
    ejection_seconds : float
        Duration of the next ejection.
    probing : bool
        Whether a probe request is in progress.

    Examples
    --------
    >>> health = TargetHealth()
    >>> for _ in range(3):
    ...     ejected = health.record_result(False, now=10.0)
    >>> health.is_ejected(10.5), health.is_ejected(11.5)
    (True, False)
    """

    failure_ratio: float = 0.0
    ejected_until: float = 0.0
    ejection_seconds: float = INITIAL_EJECTION_SECONDS
    probing: bool = False

    def record_result(self, succeeded: bool, now: float) -> bool:
        """Record the result of one request; return whether it starts an ejection.

        Parameters
        ----------
        succeeded : bool
            Whether the target answered.
        now : float
            Monotonic seconds.
        """
        self.probing = False
        failed = 0.0 if succeeded else 1.0
        self.failure_ratio += SMOOTHING * (failed - self.failure_ratio)
        if succeeded:
            self._end_ejection(now)
            return False
        if self.failure_ratio < EJECTION_FAILURE_RATIO and not self.ejected_until:
            return False
        if now < self.ejected_until:
            return False
        self.ejected_until = now + self.ejection_seconds
        self.ejection_seconds = min(MAX_EJECTION_SECONDS, 2 * self.ejection_seconds)
        return True

    def is_ejected(self, now: float) -> bool:
        """Return whether the target gets no request now; after its ejection it gets one probe at a time."""
        return now < self.ejected_until or (self.ejected_until > 0 and self.probing)

    def record_request(self) -> None:
        """Record that a request is sent to the target."""
        if self.ejected_until:
            self.probing = True

    def record_cancellation(self) -> None:
        """Record that a request ended without a result."""
        self.probing = False

    def _end_ejection(self, now: float) -> None:
        if self.ejected_until and now >= self.ejected_until:
            self.ejected_until = 0.0
            self.failure_ratio = 0.0
            self.ejection_seconds = INITIAL_EJECTION_SECONDS


def select_usable(states: Sequence[TargetHealth], now: float) -> list[int]:
    """Return the indexes of the usable targets.

    Parameters
    ----------
    states : sequence of TargetHealth
        Health of each target of a service.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of int
        Targets that are not ejected, in the order of ``states``. If too many are ejected, those with the lowest
        failure ratio follow.

    Examples
    --------
    >>> broken = TargetHealth(failure_ratio=0.9, ejected_until=5.0)
    >>> select_usable([TargetHealth(), broken], 1.0)
    [0]
    >>> select_usable([broken, broken, TargetHealth(failure_ratio=0.7, ejected_until=5.0)], 1.0)
    [2, 0]
    """
    usable = [index for index, state in enumerate(states) if not state.is_ejected(now)]
    max_ejected = int(len(states) * MAX_EJECTED_FRACTION)
    ejected = sorted(
        (index for index in range(len(states)) if index not in usable), key=lambda index: states[index].failure_ratio
    )
    return usable + ejected[: max(0, len(ejected) - max_ejected)]
