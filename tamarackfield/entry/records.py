"""Steps and results of the recent requests of this entry, for ``tamarackfield explain``."""

from dataclasses import dataclass, field
from typing import Any

from tamarackfield.core import SYSTEM_CLOCK, RequestError
from tamarackfield.web import HttpRequest

#: Number of requests that are kept; older ones are only in the log.
DEFAULT_CAPACITY = 2000
#: Number of steps that are kept for one request.
MAX_STEPS = 20
_MAX_TEXT_CHARACTERS = 200
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class RequestRecord:
    """One request from its arrival to its end.

    Parameters
    ----------
    request_id : str
        Value of the header ``X-Request-Id``.
    method, path : str
        Method and path as sent by the caller; the path is truncated.
    started_at : float
        Time of arrival on the monotonic clock, in seconds.
    started_unix_ms : int
        Time at which the record was made, in Unix milliseconds.
    verdict : str
        ``running``, ``answered``, ``refused`` or ``cut``.
    summary : str
        One line that describes the end of the request to an operator.
    steps : list of dict
        Steps, each with its name, the milliseconds since the arrival and further details.
    """

    request_id: str
    method: str
    path: str
    started_at: float
    started_unix_ms: int
    verdict: str = 'running'
    summary: str = 'has not ended'
    steps: list[dict[str, Any]] = field(default_factory=list)

    def add_step(self, step: str, **details: Any) -> None:
        """Add a step; drop it if the record already has `MAX_STEPS` steps."""
        if len(self.steps) < MAX_STEPS:
            elapsed_seconds = SYSTEM_CLOCK.monotonic() - self.started_at
            self.steps.append({'step': step, 'ms': round(elapsed_seconds * _MS_PER_SECOND), **details})

    def finish(self, verdict: str, summary: str) -> None:
        """Record how the request ended."""
        self.verdict = verdict
        self.summary = summary[:_MAX_TEXT_CHARACTERS]

    def finish_with_error(self, error: RequestError, verdict: str = 'refused') -> None:
        """Record the error with which the request ended."""
        self.add_step(error.step, peer=error.peer, code=error.code, outcome=error.outcome.value, status=error.status)
        peer = f' at {error.peer}' if error.peer else ''
        self.finish(verdict, f'{error.code}, {error.outcome.value}, step {error.step}{peer}: {error.message}')


class RequestRecords:
    """Records of the most recent requests by request ID.

    Parameters
    ----------
    capacity : int
        Number of requests that are kept.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Create an empty collection."""
        self.capacity = capacity
        self.by_id: dict[str, RequestRecord] = {}

    def start(self, request: HttpRequest) -> RequestRecord:
        """Add a record for a request; it replaces an earlier record with the same ID."""
        record = RequestRecord(
            request.request_id,
            request.method,
            request.path[:_MAX_TEXT_CHARACTERS],
            request.received_at,
            SYSTEM_CLOCK.unix_ms(),
        )
        self._store(record)
        return record

    def record_failure(self, request_id: str, error: RequestError) -> None:
        """Record the error of a request; add a record if the request was refused before it was fully read."""
        record = self.by_id.get(request_id)
        if record is None:
            record = RequestRecord(request_id, '', '', SYSTEM_CLOCK.monotonic(), SYSTEM_CLOCK.unix_ms())
            self._store(record)
        record.finish_with_error(error)

    def record_truncation(self, request_id: str, error: RequestError) -> None:
        """Record the error that ended an answer after it had started."""
        record = self.by_id.get(request_id)
        if record is not None:
            record.finish_with_error(error, 'cut')

    def _store(self, record: RequestRecord) -> None:
        self.by_id.pop(record.request_id, None)
        self.by_id[record.request_id] = record
        if len(self.by_id) > self.capacity:
            self.by_id.pop(next(iter(self.by_id)))
