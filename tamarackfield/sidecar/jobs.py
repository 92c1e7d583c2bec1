"""Jobs and slots of a sidecar's scheduler, and the actions that it asks for."""

import enum
from dataclasses import dataclass


class SlotState(enum.Enum):
    """State of one adapter in the engine's slots."""

    LOADING = 'loading'
    RESIDENT = 'resident'
    UNLOADING = 'unloading'
    #: An order ended without an answer; only a later status of the engine tells what it did.
    UNCERTAIN = 'uncertain'


@dataclass(slots=True)
class Slot:
    """One adapter in the engine's slots; ``pins`` counts the running requests that use it.

    While the state is uncertain, only a status asked at ``settles_at`` or later counts, and one
    that shows the adapter as resident only from ``trusted_at`` on; both are monotonic seconds.
    """

    state: SlotState
    last_used: float
    pins: int = 0
    status_valid_from: float = 0.0
    resident_valid_from: float = 0.0


@dataclass(slots=True)
class Job:
    """One request in the sidecar.

    Parameters
    ----------
    job_id : int
        Grows with arrival.
    adapter : str
        Adapter reference; empty for a plain service.
    caller : str
        Who sent it.
    priority : int
        0 is the most urgent.
    arrived_at, deadline : float
        Monotonic seconds.
    started_at : float
        Monotonic seconds of dispatch; 0 while it waits.
    stalled_at : float
        When the wait for its adapter began, monotonic seconds; 0 if it was resident on arrival.
    resident_at : float
        When its adapter was found resident; 0 before.
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


def stall_seconds(job: Job, now: float) -> float:
    """Return how long a job has waited, or did wait, because its adapter was not loaded.

    Examples
    --------
    >>> stall_seconds(Job(1, 'a@1', 'clinic', 5, 2.0, 9.0, stalled_at=2.0), 5.0)
    3.0
    """
    if not job.stalled_at:
        return 0.0
    return max(0.0, (job.resident_at or job.started_at or now) - job.stalled_at)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send this job to the target now."""

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
    """End this job with outcome ``not_run``; ``stalled`` is how long it waited for its adapter, in seconds."""

    job_id: int
    code: str
    retry_after: int
    stalled_seconds: float = 0.0


Action = Dispatch | Load | Unload | Refuse
