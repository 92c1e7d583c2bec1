"""Events for the task that owns the scheduler of a target."""

import asyncio
from dataclasses import dataclass

from tamarackfield.sidecar.engine import EngineError, EngineStatus
from tamarackfield.sidecar.jobs import Job, Load, Unload


@dataclass(frozen=True, slots=True)
class JobArrived:
    """A job arrived; the worker resolves its permit when the job may be dispatched."""

    job: Job
    permit: asyncio.Future[None]


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job ended, before or after its dispatch."""

    job_id: int


@dataclass(frozen=True, slots=True)
class OrderConfirmed:
    """The engine confirmed an order ``order_seconds`` after it was sent.

    ``issued_incarnation`` is the known engine incarnation when the order was sent,
    ``answered_incarnation`` the one in the answer.
    """

    order: Load | Unload
    issued_incarnation: int
    answered_incarnation: int
    order_seconds: float


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """An order failed; if the engine did not answer (see `EngineError`), the order may still take effect."""

    order: Load | Unload
    issued_incarnation: int
    error: EngineError


@dataclass(frozen=True, slots=True)
class StatusRead:
    """A status of the engine, requested at ``requested_at`` in monotonic seconds."""

    status: EngineStatus
    requested_at: float


@dataclass(frozen=True, slots=True)
class FenceClaimed:
    """The engine confirmed the claim with a fencing number."""

    fence: int


@dataclass(frozen=True, slots=True)
class StateInvalidated:
    """An answer or a failed exchange shows that the last status of the engine may be stale."""


Event = JobArrived | JobEnded | OrderConfirmed | OrderFailed | StatusRead | FenceClaimed | StateInvalidated
