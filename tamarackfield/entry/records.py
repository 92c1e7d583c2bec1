"""What this entry decided on its last requests, for ``tamarackfield explain``."""

from dataclasses import dataclass, field
from typing import Any

from tamarackfield.core import SYSTEM_CLOCK, RequestError
from tamarackfield.web import HttpRequest

#: Requests that are kept; older ones are in the log only.
DEFAULT_CAPACITY = 2000
#: Steps that are kept of one request.
MAX_STEPS = 20
_MAX_TEXT = 200
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class RequestRecord:
    """One request from its arrival to its end.

    Parameters
    ----------
    request_id : str
        Its ``X-Request-Id``.
    method, path : str
        As the caller sent them; the path is shortened.
    started_at : float
        Monotonic seconds.
    started_unix_ms : int
        The same instant in Unix milliseconds.
    verdict : str
        ``running``, ``answered``, ``refused`` or ``cut``.
    summary : str
        One line for an operator.
    steps : list of dict
        Each with its step and the milliseconds since the start.
    """

    request_id: str
    method: str
    path: str
    started_at: float
    started_unix_ms: int
    verdict: str = 'running'
    summary: str = 'has not ended'
    steps: list[dict[str, Any]] = field(default_factory=list)

    def note(self, step: str, **details: Any) -> None:
        """Add a step; those beyond `MAX_STEPS` are dropped."""
        if len(self.steps) < MAX_STEPS:
            since = SYSTEM_CLOCK.monotonic() - self.started_at
            self.steps.append({'step': step, 'ms': round(since * _MS_PER_SECOND), **details})

    def end(self, verdict: str, summary: str) -> None:
        """Note how the request ended."""
        self.verdict = verdict
        self.summary = summary[:_MAX_TEXT]

    def fail(self, error: RequestError, verdict: str = 'refused') -> None:
        """Note the error with which the request ended."""
        self.note(error.step, peer=error.peer, code=error.code, outcome=error.outcome.value, status=error.status)
        peer = f' at {error.peer}' if error.peer else ''
        self.end(verdict, f'{error.code}, {error.outcome.value}, step {error.step}{peer}: {error.message}')


class RequestRecords:
    """The last requests by their ids.

    Parameters
    ----------
    capacity : int
        Requests kept.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Start without requests."""
        self.capacity = capacity
        self.records: dict[str, RequestRecord] = {}

    def begin(self, request: HttpRequest) -> RequestRecord:
        """Add a request; a later one with the same id takes the place of the earlier."""
        record = RequestRecord(
            request.request_id,
            request.method,
            request.path[:_MAX_TEXT],
            request.received_at,
            SYSTEM_CLOCK.unix_ms(),
        )
        self._keep(record)
        return record

    def fail(self, request_id: str, error: RequestError) -> None:
        """Note the error of a request, which may have been refused before it was read whole."""
        record = self.records.get(request_id)
        if record is None:
            record = RequestRecord(request_id, '', '', SYSTEM_CLOCK.monotonic(), SYSTEM_CLOCK.unix_ms())
            self._keep(record)
        record.fail(error)

    def cut(self, request_id: str, error: RequestError) -> None:
        """Note the error that cut an answer short after it had begun."""
        record = self.records.get(request_id)
        if record is not None:
            record.fail(error, 'cut')

    def _keep(self, record: RequestRecord) -> None:
        self.records.pop(record.request_id, None)
        self.records[record.request_id] = record
        if len(self.records) > self.capacity:
            self.records.pop(next(iter(self.records)))
