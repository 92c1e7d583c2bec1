"""Refusal at once of requests that cannot end before their deadline."""

import math
from collections.abc import Callable
from dataclasses import dataclass

#: Times of a request, in its smoothed time, that must fit between its start and its deadline.
SERVICE_MARGIN = 2.0


@dataclass(frozen=True, slots=True)
class Backlog:
    """What a request finds on arrival at a target.

    Parameters
    ----------
    running, batch : int
        Requests that run, and that may run at once.
    ahead : int
        Waiting requests that will run before it.
    loads_ahead : int
        Loads to be done before its adapter is resident, its own among them; 0 if it is resident.
    concurrent_loads : int
        Loads that may be under way at once.
    service_seconds, load_seconds : float
        Smoothed time of a request and of a load.
    """

    running: int
    batch: int
    ahead: int
    loads_ahead: int
    concurrent_loads: int
    service_seconds: float
    load_seconds: float


def expected_wait(backlog: Backlog) -> float:
    """Return the seconds until a request can be dispatched.

    Examples
    --------
    >>> expected_wait(Backlog(8, 8, 7, 0, 2, 0.5, 0.25))
    0.5
    >>> expected_wait(Backlog(0, 8, 0, 3, 2, 0.5, 0.25))
    0.5
    """
    in_excess = max(0, backlog.running + backlog.ahead + 1 - backlog.batch)
    queue = in_excess / backlog.batch * backlog.service_seconds
    loads = math.ceil(backlog.loads_ahead / backlog.concurrent_loads) * backlog.load_seconds
    return max(queue, loads)


def admit_all(backlog: Backlog, remaining: float) -> int:
    """Admit everything; what is late is refused at its deadline."""
    return 0


def admit_in_time(backlog: Backlog, remaining: float) -> int:
    """Refuse what is expected to end after its deadline; nothing is refused that can start now.

    Parameters
    ----------
    backlog : Backlog
        At the target.
    remaining : float
        Seconds until the deadline.

    Returns
    -------
    int
        0 to admit, else the seconds after which the backlog is expected to have shrunk enough.

    Examples
    --------
    >>> busy = Backlog(8, 8, 80, 0, 2, 0.5, 0.25)
    >>> admit_in_time(busy, 10.0), admit_in_time(busy, 2.0)
    (0, 5)
    """
    wait = expected_wait(backlog)
    excess = wait + backlog.service_seconds * SERVICE_MARGIN - remaining
    if wait <= 0 or excess <= 0:
        return 0
    return math.ceil(excess)


def start_always(remaining: float, service_seconds: float, others: int) -> bool:
    """Start every request whose turn has come."""
    return True


def start_in_time(remaining: float, service_seconds: float, others: int) -> bool:
    """Tell whether a request whose turn has come is likely to end in time; with no other waiting it starts.

    Examples
    --------
    >>> start_in_time(0.2, 0.5, 3), start_in_time(0.2, 0.5, 0), start_in_time(2.0, 0.5, 3)
    (False, True, True)
    """
    return not others or remaining >= service_seconds


@dataclass(frozen=True, slots=True)
class Admission:
    """Decision on arrival, as seconds until a new try or 0, and decision when a request's turn has come."""

    on_arrival: Callable[[Backlog, float], int] = admit_all
    on_dispatch: Callable[[float, float, int], bool] = start_always


#: Admissions by the name used in a bundle's ``policy.admission``.
ADMISSIONS = {'all': Admission(), 'deadline': Admission(admit_in_time, start_in_time)}
DEFAULT_ADMISSION = 'deadline'
