"""Admission control: refuses at once requests that cannot end before their deadline."""

import math
from collections.abc import Callable
from dataclasses import dataclass

#: Multiple of the smoothed service time that must fit between a request's start and its deadline.
REQUIRED_SERVICE_TIMES = 2.0


@dataclass(frozen=True, slots=True)
class Backlog:
    """Load of a target when a request arrives.

    Parameters
    ----------
    running, batch : int
        Number of running requests, and the most that can run at once.
    ahead : int
        Number of queued requests that will run before this one.
    loads_ahead : int
        Number of adapter loads until the request's adapter is resident, its own included; 0 if it is resident.
    concurrent_loads : int
        Largest number of loads in progress at once.
    service_seconds, load_seconds : float
        Smoothed duration of a request and of a load.
    """

    running: int
    batch: int
    ahead: int
    loads_ahead: int
    concurrent_loads: int
    service_seconds: float
    load_seconds: float


def expected_wait_seconds(backlog: Backlog) -> float:
    """Return the seconds until a request can be dispatched.

    Examples
    --------
    >>> expected_wait_seconds(Backlog(8, 8, 7, 0, 2, 0.5, 0.25))
    0.5
    >>> expected_wait_seconds(Backlog(0, 8, 0, 3, 2, 0.5, 0.25))
    0.5
    """
    excess_requests = max(0, backlog.running + backlog.ahead + 1 - backlog.batch)
    queue_seconds = excess_requests / backlog.batch * backlog.service_seconds
    load_wait_seconds = math.ceil(backlog.loads_ahead / backlog.concurrent_loads) * backlog.load_seconds
    return max(queue_seconds, load_wait_seconds)


def admit_all(backlog: Backlog, remaining_seconds: float) -> int:
    """Admit every request; a late one is refused at its deadline."""
    return 0


def admit_before_deadline(backlog: Backlog, remaining_seconds: float) -> int:
    """Refuse a request that is expected to end after its deadline, unless it can start now.

    The run is assumed to take `REQUIRED_SERVICE_TIMES` smoothed service times.

    Parameters
    ----------
    backlog : Backlog
        Load of the target.
    remaining_seconds : float
        Seconds until the deadline.

    Returns
    -------
    int
        0 to admit the request, otherwise the seconds until the backlog is expected to be short enough.

    Examples
    --------
    >>> busy = Backlog(8, 8, 80, 0, 2, 0.5, 0.25)
    >>> admit_before_deadline(busy, 10.0), admit_before_deadline(busy, 2.0)
    (0, 5)
    """
    wait_seconds = expected_wait_seconds(backlog)
    excess_seconds = wait_seconds + backlog.service_seconds * REQUIRED_SERVICE_TIMES - remaining_seconds
    if wait_seconds <= 0 or excess_seconds <= 0:
        return 0
    return math.ceil(excess_seconds)


def dispatch_always(remaining_seconds: float, service_seconds: float, others: int) -> bool:
    """Dispatch every request that reaches the head of the queue."""
    return True


def dispatch_in_time(remaining_seconds: float, service_seconds: float, others: int) -> bool:
    """Return whether a request at the head of the queue should start.

    It starts if it is likely to end before its deadline, or if no other request waits.

    Parameters
    ----------
    remaining_seconds : float
        Seconds until the deadline of the request.
    service_seconds : float
        Smoothed duration of a request.
    others : int
        Number of other queued requests.

    Examples
    --------
    >>> dispatch_in_time(0.2, 0.5, 3), dispatch_in_time(0.2, 0.5, 0), dispatch_in_time(2.0, 0.5, 3)
    (False, True, True)
    """
    return not others or remaining_seconds >= service_seconds


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Admission policy: decisions on arrival and at dispatch.

    ``on_arrival`` returns the seconds until a retry, or 0 to admit. ``on_dispatch`` returns whether a request at the
    head of the queue starts.
    """

    on_arrival: Callable[[Backlog, float], int] = admit_all
    on_dispatch: Callable[[float, float, int], bool] = dispatch_always


#: Admission policies by their name in a bundle's ``policy.admission``.
ADMISSION_POLICIES = {'all': AdmissionPolicy(), 'deadline': AdmissionPolicy(admit_before_deadline, dispatch_in_time)}
DEFAULT_ADMISSION = 'deadline'
