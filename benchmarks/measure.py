"""Helpers shared by the benchmarks: processor time and memory of processes, and linear fits."""

import time
from dataclasses import dataclass

import numpy
import psutil

_BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of one process at one time.

    Parameters
    ----------
    cpu_seconds : float
        User and system processor time since the start of the process.
    resident_mb : float
        Resident memory in MB.
    read_at : float
        Time of the reading in monotonic seconds.
    """

    cpu_seconds: float
    resident_mb: float
    read_at: float


def read_usage(pid: int) -> Usage:
    """Return the current resource usage of a process.

    Raises
    ------
    psutil.NoSuchProcess
        If no process has this id.
    """
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Usage(times.user + times.system, process.memory_info().rss / _BYTES_PER_MB, time.monotonic())


def compute_cpu_share(before: Usage, after: Usage) -> float:
    """Return the mean share of one core used between two readings."""
    return (after.cpu_seconds - before.cpu_seconds) / (after.read_at - before.read_at)


def fit_line(points: list[tuple[float, float]]) -> dict[str, float]:
    """Fit a straight line to points by least squares.

    Parameters
    ----------
    points : list of pairs
        Abscissa and ordinate of each point, with at least two different abscissas.

    Returns
    -------
    dict
        ``slope``, ``intercept`` and ``residual``, the largest absolute residual.

    Examples
    --------
    >>> {name: round(part, 6) for name, part in fit_line([(0, 1), (1, 3), (2, 5)]).items()}
    {'slope': 2.0, 'intercept': 1.0, 'residual': 0.0}
    """
    abscissas = numpy.array([point[0] for point in points], dtype=float)
    ordinates = numpy.array([point[1] for point in points], dtype=float)
    slope, intercept = numpy.polyfit(abscissas, ordinates, 1)
    residual = numpy.abs(ordinates - slope * abscissas - intercept).max()
    return {'slope': float(slope), 'intercept': float(intercept), 'residual': float(residual)}
