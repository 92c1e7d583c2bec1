"""Handover of a call from a silent run to its successor: which of the two is kept, and which may answer.

Load pattern: sound targets are silent for seconds, several at once, while those that seem free refuse further
requests. A silent run is kept until its successor is sure to go on, and both never answer. A stream that goes on
at its last event may run at two targets for a short time only.
"""

import math
from dataclasses import dataclass

#: Seconds for which a stream may run at two targets once it was sent to the second one: three quarters of the 400 ms
#: that the platform allows, so that the end of the first run reaches its target in time.
MAX_OVERLAP_SECONDS = 0.3


@dataclass(slots=True)
class Succession:
    """Handover of a call from one run to the next.

    Parameters
    ----------
    first_ended : bool
        Whether the first run has ended.
    went_on : bool
        Whether the successor has begun to answer.
    overlap_ends_at : float
        Monotonic seconds at which the first run is to end although the successor has not begun to answer.

    Examples
    --------
    >>> succession = Succession()
    >>> succession.record_sent(10.0, resumes=True)
    >>> succession.must_end_first(10.1), succession.must_end_first(10.3)
    (False, True)
    >>> succession.record_refused()
    >>> succession.must_end_first(10.3)
    False
    """

    first_ended: bool = False
    went_on: bool = False
    overlap_ends_at: float = math.inf

    def record_sent(self, now: float, resumes: bool) -> None:
        """Record that the successor is sent; ``resumes`` is whether it goes on at an event of the first run."""
        if resumes:
            self.overlap_ends_at = now + MAX_OVERLAP_SECONDS

    def record_refused(self) -> None:
        """Record that the successor does not go on; another one may be found."""
        self.overlap_ends_at = math.inf

    def record_went_on(self) -> None:
        """Record that the successor begins to answer."""
        self.went_on = True

    def record_first_ended(self) -> None:
        """Record that the first run has ended."""
        self.first_ended = True

    def must_end_first(self, now: float) -> bool:
        """Return whether the first run is to end in favour of the successor."""
        return self.went_on or now >= self.overlap_ends_at

    def may_answer(self) -> bool:
        """Return whether the successor may answer the caller."""
        return self.first_ended
