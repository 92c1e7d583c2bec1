"""Messages to the task that owns a target's scheduler."""

import asyncio
from dataclasses import dataclass

from tamarackfield.sidecar.engine import EngineError, EngineStatus
from tamarackfield.sidecar.jobs import Job, Load, Unload


@dataclass(frozen=True, slots=True)
class JobArrived:
    """A job wants to run; its permit is resolved by the worker."""

    job: Job
    permit: asyncio.Future[None]


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job is over."""

    job_id: int


@dataclass(frozen=True, slots=True)
class OrderConfirmed:
    """The engine confirmed an order, in the incarnation that the answer names."""

    order: Load | Unload
    issued_incarnation: int
    answered_incarnation: int
    load_seconds: float


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """An order failed; unless the engine answered, nobody knows whether it takes effect."""

    order: Load | Unload
    issued_incarnation: int
    error: EngineError


@dataclass(frozen=True, slots=True)
class StatusRead:
    """A fresh status of the engine."""

    status: EngineStatus
    requested_at: float


@dataclass(frozen=True, slots=True)
class FenceClaimed:
    """The engine took in a fencing number."""

    fence: int


@dataclass(frozen=True, slots=True)
class StateInvalidated:
    """An answer of the engine does not fit what is known of it."""


Event = JobArrived | JobEnded | OrderConfirmed | OrderFailed | StatusRead | FenceClaimed | StateInvalidated
