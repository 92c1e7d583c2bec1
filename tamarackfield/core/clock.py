"""Clocks and deadlines: monotonic seconds inside a process, Unix milliseconds between processes."""

import time
from collections.abc import Callable
from dataclasses import dataclass

#: Milliseconds in a second.
MS_PER_SECOND = 1000
#: Nanoseconds in a second.
NS_PER_SECOND = 1_000_000_000


def _read_unix_ms() -> int:
    return int(time.time() * MS_PER_SECOND)


@dataclass(frozen=True, slots=True)
class Clock:
    """Source of time, injected so that tests can control it.

    Parameters
    ----------
    monotonic : callable
        Returns seconds on a clock that never decreases.
    unix_ms : callable
        Returns Unix milliseconds; the wall clock may be stepped by an operator.
    """

    monotonic: Callable[[], float] = time.monotonic
    unix_ms: Callable[[], int] = _read_unix_ms


SYSTEM_CLOCK = Clock()


def _read_boot_time_seconds() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


#: Clock whose ``monotonic`` includes the time for which the machine was suspended.
BOOT_CLOCK = Clock(monotonic=_read_boot_time_seconds)


def deadline_from_unix_ms(unix_ms: int, clock: Clock = SYSTEM_CLOCK) -> float:
    """Convert a deadline received from another process.

    Parameters
    ----------
    unix_ms : int
        Deadline in Unix milliseconds, on the wall clock of this process.
    clock : Clock
        Source of both times.

    Returns
    -------
    float
        The same instant on the monotonic clock, in seconds.

    Examples
    --------
    >>> deadline_from_unix_ms(5_500, Clock(lambda: 100.0, lambda: 5_000))
    100.5
    """
    return clock.monotonic() + (unix_ms - clock.unix_ms()) / MS_PER_SECOND


def unix_ms_from_deadline(deadline: float, clock: Clock = SYSTEM_CLOCK) -> int:
    """Convert a monotonic deadline to the form sent to other processes.

    Parameters
    ----------
    deadline : float
        Deadline in seconds on the monotonic clock.
    clock : Clock
        Source of both times.

    Returns
    -------
    int
        The same instant in Unix milliseconds.

    Examples
    --------
    >>> unix_ms_from_deadline(100.5, Clock(lambda: 100.0, lambda: 5_000))
    5500
    """
    return clock.unix_ms() + round((deadline - clock.monotonic()) * MS_PER_SECOND)
