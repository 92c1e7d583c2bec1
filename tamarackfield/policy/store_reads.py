"""Times of the reads by which an entry follows a store whose changes must be in force within a bound.

Load pattern: a store falls silent and comes back, for a fraction of a second or for many, at any point of a read. A
call that was under way is never answered, and all entries wait in step, since the same change ended their last
watches. The pause between two watches, the detection of a lost watch and a short call after it together stay within
the bound.
"""

from dataclasses import dataclass

#: Pause between a watch that returned changes and the next one, as a share of the bound.
PAUSE_SHARE = 0.5
#: Time within which a watch must be answered, as a share of the bound; the rest of the bound is for a short call.
SILENCE_SHARE = 0.4
#: Time, in seconds, by which the answer of a healthy store may be later than the end of a watch.
ANSWER_MARGIN_SECONDS = 0.3
#: Least time for which a watch waits, in seconds; a shorter wait would poll the store.
MIN_WAIT_SECONDS = 0.1
#: Time after which a call that is answered at once, or whose answer has begun, counts as lost, in seconds.
SHORT_SILENCE_SECONDS = 0.4
#: Shortest and longest pause before a call that was refused is repeated, in seconds.
MIN_RETRY_PAUSE_SECONDS = 0.1
MAX_RETRY_PAUSE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ReadTimes:
    """Times of the reads of a store, in seconds.

    Parameters
    ----------
    pause_seconds : float
        Pause between a watch that returned changes and the next one, which batches the changes meanwhile.
    wait_seconds : float
        Time for which a watch waits for a change.
    silence_seconds : float
        Time after which a watch without any answer counts as lost.
    """

    pause_seconds: float = 0.0
    wait_seconds: float = 1.0
    silence_seconds: float = 1.0 + ANSWER_MARGIN_SECONDS


def find_read_times(bound_seconds: float) -> ReadTimes:
    """Return the times of reads whose changes must be in force within a bound.

    Parameters
    ----------
    bound_seconds : float
        Time within which a change must be in force, in seconds, above zero.

    Examples
    --------
    >>> find_read_times(2.0)
    ReadTimes(pause_seconds=1.0, wait_seconds=0.5, silence_seconds=0.8)
    """
    silence = max(MIN_WAIT_SECONDS + ANSWER_MARGIN_SECONDS, SILENCE_SHARE * bound_seconds)
    return ReadTimes(
        pause_seconds=PAUSE_SHARE * bound_seconds,
        wait_seconds=silence - ANSWER_MARGIN_SECONDS,
        silence_seconds=silence,
    )
