"""Limits that targets state, as known to one process, and the gates through which entries send to them.

The sidecar of an engine paces the requests that it grants. A plain target has no sidecar of its own: entries choose one
of all sidecars as its gate, or one of the entries where there is none.
"""

import math
from collections.abc import Callable, Iterator

from loguru import logger

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.policy.request_limits import (
    BACKUP_GATE_SHARE,
    MAX_PERMIT_WAIT_SECONDS,
    PermitRequest,
    RequestGate,
    RequestPacer,
)
from tamarackfield.wire.request_limits import LIMIT_CODE, AskPermit, RequestLimit, decode_limit, encode_limit
from tamarackfield.wire.reservations import Declined, Granted

#: Name and start of an incarnation of a target.
Incarnation = tuple[str, int]
#: Incarnation, and whether the gate is the second choice of those that ask.
GateKey = tuple[str, int, bool]

#: Number of incarnations whose limits and gates are remembered.
MAX_REMEMBERED = 1024


class TargetLimits:
    """Known limits by incarnation of a target, the pacer of the own engine, and the gates of other targets.

    Attributes
    ----------
    limits : dict
        Requests per second by incarnation; a limit that ended has no row.
    gates : dict
        Gates by incarnation and by whether they are the second choice.
    """

    def __init__(self) -> None:
        """Create limits of no target."""
        self.limits: dict[Incarnation, float] = {}
        self.gates: dict[GateKey, RequestGate] = {}
        self.own_incarnation: Incarnation = ('', 0)
        self.own_pacer = RequestPacer(math.inf, 0)
        # Limit that the own engine stated in its latest report.
        self.reported = RequestLimit('', 0, 0)
        self.on_change: Callable[[RequestLimit], None] = _ignore_change

    def record(self, message: RequestLimit, now: float) -> None:
        """Record what an entry or the own engine says of a target."""
        incarnation = (message.target, message.started_ms)
        limit = decode_limit(message.limit_mrps)
        if limit == self.limits.get(incarnation):
            return
        logger.bind(target=message.target, before=self.limits.get(incarnation), limit=limit).info('target_limit')
        self.limits.pop(incarnation, None)
        if limit is not None:
            _remember(self.limits, incarnation, limit)
        for backup in (False, True):
            gate = self.gates.get((*incarnation, backup))
            if gate is not None and limit is not None:
                gate.pacer.change_limit(_scale(limit, backup), now)
        self.on_change(message)

    def record_report(self, reported: RequestLimit, now: float) -> None:
        """Record the limit in the latest report of the own engine; one without ends only a limit from a report."""
        previous = self.reported
        self.reported = reported
        same_incarnation = (previous.target, previous.started_ms) == (reported.target, reported.started_ms)
        if reported != previous and (reported.limit_mrps or same_incarnation):
            self.record(reported, now)

    def list_messages(self) -> list[RequestLimit]:
        """Return the messages that tell an entry of all limits."""
        return [
            RequestLimit(name, started_ms, encode_limit(limit)) for (name, started_ms), limit in self.limits.items()
        ]

    def pacer_for(self, target: str, started_ms: int, now: float) -> RequestPacer:
        """Return the pacer of the own engine; its limit is infinite while the engine states none."""
        limit = self.limits.get((target, started_ms), math.inf)
        if self.own_incarnation != (target, started_ms) or math.isinf(self.own_pacer.limit) != math.isinf(limit):
            self.own_incarnation = (target, started_ms)
            self.own_pacer = RequestPacer(limit, now)
        elif self.own_pacer.limit != limit:
            self.own_pacer.change_limit(limit, now)
        return self.own_pacer

    def ask(self, stream_number: int, message: AskPermit, now: float) -> None:
        """Queue the request of an entry; a limit that this process has not heard of is that of the request."""
        incarnation = (message.target, message.started_ms)
        limit = self.limits.get(incarnation) or decode_limit(message.limit_mrps) or 0.0
        scaled_limit = _scale(limit, message.backup)
        gate = self.gates.get((*incarnation, message.backup))
        if gate is None:
            gate = RequestGate(RequestPacer(scaled_limit, now))
            _remember(self.gates, (*incarnation, message.backup), gate)
        elif gate.pacer.limit != scaled_limit:
            gate.pacer.change_limit(scaled_limit, now)
        wait_until = now + min(message.wait_ms / MS_PER_SECOND, MAX_PERMIT_WAIT_SECONDS)
        key = (stream_number, message.request_id)
        gate.ask(PermitRequest(key, message.priority, now, wait_until, message.label))

    def decide(self, now: float) -> Iterator[tuple[int, Granted | Declined]]:
        """Yield the answers that are due, with the numbers of the streams of the entries that get them."""
        for (target, _, backup), gate in self.gates.items():
            for decision in gate.decide(now):
                stream_number, request_id = decision.request.key
                retry_ms = round(decision.retry_seconds * MS_PER_SECOND)
                bound = logger.bind(
                    request_id=decision.request.label, target=target, limit=gate.pacer.limit, backup=backup
                )
                bound.bind(granted=decision.granted, retry_ms=retry_ms).info('permit')
                answer = Granted(request_id, 0, 0) if decision.granted else Declined(request_id, LIMIT_CODE, retry_ms)
                yield stream_number, answer

    def next_due_at(self, now: float) -> float:
        """Return when the next waiting request is due, infinity if none waits."""
        return min((gate.pacer.due_at(now) for gate in self.gates.values() if gate.waiting), default=math.inf)


def _scale(limit: float, backup: bool) -> float:
    return limit * BACKUP_GATE_SHARE if backup else limit


def _remember(rows: dict, key: tuple, row: object) -> None:
    rows[key] = row
    for earliest in list(rows)[:-MAX_REMEMBERED]:
        rows.pop(earliest)


def _ignore_change(message: RequestLimit) -> None:
    logger.bind(target=message.target).debug('limit_not_reported')
