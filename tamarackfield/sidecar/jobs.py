"""Jobs and adapter slots of a scheduler, and the actions that it returns."""

import enum
from dataclasses import dataclass


class SlotState(enum.Enum):
    """State of one adapter in a slot of the engine."""

    LOADING = 'loading'
    RESIDENT = 'resident'
    UNLOADING = 'unloading'
    #: An order ended without a conclusive answer; only a later status of the engine shows its effect.
    UNCERTAIN = 'uncertain'


@dataclass(slots=True)
class Slot:
    """Slot of one adapter in the engine; ``pins`` counts the running requests that use the adapter.

    While the state is uncertain, a status is used only if it was requested at ``status_valid_from``
    or later, and one that shows the adapter as resident only from ``resident_valid_from`` on. All
    times are monotonic seconds.
    """

    state: SlotState
    last_used: float
    pins: int = 0
    status_valid_from: float = 0.0
    resident_valid_from: float = 0.0


@dataclass(slots=True)
class Job:
    """One request in the scheduler.

    Parameters
    ----------
    job_id : int
        Sequence number of arrival in this process.
    adapter : str
        Adapter reference; empty for a plain service.
    caller : str
        Name of the caller.
    priority : int
        Priority; 0 is the most urgent.
    arrived_at, deadline : float
        Times of arrival and deadline, in monotonic seconds.
    started_at : float
        Time of dispatch, in monotonic seconds; 0 while the job waits.
    stalled_at : float
        Start of the wait for the adapter, in monotonic seconds; 0 if the adapter was resident on arrival.
    resident_at : float
        Time at which the adapter became resident, in monotonic seconds; 0 before.
    """

    job_id: int
    adapter: str
    caller: str
    priority: int
    arrived_at: float
    deadline: float
    started_at: float = 0.0
    stalled_at: float = 0.0
    resident_at: float = 0.0


def compute_stall_seconds(job: Job, now: float) -> float:
    """Return the seconds for which a job has waited, or did wait, because its adapter was not loaded.

    Examples
    --------
    >>> compute_stall_seconds(Job(1, 'a@1', 'clinic', 5, 2.0, 9.0, stalled_at=2.0), 5.0)
    3.0
    """
    if not job.stalled_at:
        return 0.0
    return max(0.0, (job.resident_at or job.started_at or now) - job.stalled_at)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Dispatch a job to the target."""

    job_id: int


@dataclass(frozen=True, slots=True)
class Load:
    """Order the engine to load an adapter."""

    adapter: str


@dataclass(frozen=True, slots=True)
class Unload:
    """Order the engine to unload an adapter."""

    adapter: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a job with outcome ``not_run``.

    ``retry_after`` is sent to the caller, in seconds; ``stalled_seconds`` is the wait for the adapter.
    """

    job_id: int
    code: str
    retry_after: int
    stalled_seconds: float = 0.0


Action = Dispatch | Load | Unload | Refuse
