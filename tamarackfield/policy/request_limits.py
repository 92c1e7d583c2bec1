"""Pacing of requests to a target that states how many requests a second it takes from all entries together.

Load pattern: a target in need states a rate that is a fraction of its load, while callers keep on calling through many
entries. No entry knows what the others send, and an equal share of a low rate is less than one request in the time that
counts, so entries do not divide the rate: one gate paces the requests of all of them. Requests that no gate admits
within a moment are left to other targets or refused, the most urgent last.
"""

import operator
from collections.abc import Hashable
from dataclasses import dataclass, field

#: Time in seconds by which requests may come earlier than evenly spaced, so that a short burst is not turned away.
BURST_SECONDS = 0.5
#: Lowest rate in requests per second at which a target is called: only an answer tells that its need is over.
MIN_REQUEST_LIMIT = 0.1
#: Longest time in seconds for which a request waits for a gate; one that would wait longer is refused at once, as is
#: one that has another target to go to.
MAX_PERMIT_WAIT_SECONDS = 0.2
#: Share of the rate that a gate grants which is not the first choice: entries that cannot reach the first choice use it
#: while others still use that one.
BACKUP_GATE_SHARE = 0.25
#: Longest time in seconds between two requests of an entry that reaches no gate: so it learns when the need is over.
MAX_PROBE_INTERVAL_SECONDS = 120.0
#: Seconds after which an entry that reached no gate tries again.
GATE_RETRY_SECONDS = 1.0


class RequestPacer:
    """Spaces requests to one target evenly, with a small burst (generic cell rate algorithm [1]_).

    Parameters
    ----------
    limit : float
        Requests per second; `MIN_REQUEST_LIMIT` if it is less.
    now : float
        Monotonic seconds.

    Examples
    --------
    >>> pacer = RequestPacer(2.0, now=10.0)
    >>> pacer.due_at(10.0)
    10.5
    >>> pacer.record_sent(12.0)
    >>> pacer.due_at(12.0), pacer.due_at(12.0, ahead=1)
    (12.0, 12.5)

    References
    ----------
    .. [1] ITU-T Recommendation I.371, "Traffic control and congestion control in B-ISDN".
    """

    __slots__ = ('interval', 'limit', 'next_at')

    def __init__(self, limit: float, now: float) -> None:
        """Create a pacer that admits its first request after one interval: what was sent before is not known."""
        self.limit = limit
        self.interval = seconds_between_requests(limit)
        # Time of the next request if all were evenly spaced.
        self.next_at = now + self.interval + BURST_SECONDS

    def due_at(self, now: float, ahead: int = 0) -> float:
        """Return when a request may be sent that comes after ``ahead`` others."""
        return max(now, self.next_at + ahead * self.interval - BURST_SECONDS)

    def record_sent(self, now: float) -> None:
        """Record a request."""
        self.next_at = max(self.next_at, now) + self.interval

    def change_limit(self, limit: float, now: float) -> None:
        """Use another limit from now on; a request is due at most one interval of the new limit later."""
        self.limit = limit
        self.interval = seconds_between_requests(limit)
        self.next_at = min(self.next_at, now + self.interval + BURST_SECONDS)


def seconds_between_requests(limit: float) -> float:
    """Return the time between two requests at a rate in requests per second.

    Examples
    --------
    >>> seconds_between_requests(4.0), seconds_between_requests(0.0)
    (0.25, 10.0)
    """
    return 1 / max(limit, MIN_REQUEST_LIMIT)


@dataclass(slots=True)
class PermitRequest:
    """Request that waits at a gate until ``wait_until`` in monotonic seconds.

    ``priority`` 0 is the most urgent; ``label`` is the request id of the caller, for logs.
    """

    key: Hashable
    priority: int
    asked_at: float
    wait_until: float
    label: str = ''


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """Decision on a request: whether it may be sent now; if not, another one may after ``retry_seconds``."""

    request: PermitRequest
    granted: bool
    retry_seconds: float = 0.0


@dataclass(slots=True)
class RequestGate:
    """Gate through which all requests to one target pass.

    Parameters
    ----------
    pacer : RequestPacer
        Spaces the requests.
    waiting : list of PermitRequest
        Requests that are not decided yet.

    Examples
    --------
    >>> gate = RequestGate(RequestPacer(2.0, now=9.0))
    >>> for key, priority in (('a', 1), ('b', 0), ('c', 2)):
    ...     gate.ask(PermitRequest(key, priority, asked_at=10.0, wait_until=10.2))
    >>> [(decision.request.key, decision.granted) for decision in gate.decide(10.0)]
    [('b', True), ('a', True), ('c', False)]
    """

    pacer: RequestPacer
    waiting: list[PermitRequest] = field(default_factory=list)

    def ask(self, request: PermitRequest) -> None:
        """Add a request."""
        self.waiting.append(request)

    def decide(self, now: float) -> list[PermitDecision]:
        """Admit the requests that are due, the most urgent first, and refuse those that would wait for too long."""
        decisions: list[PermitDecision] = []
        waiting: list[PermitRequest] = []
        for request in sorted(self.waiting, key=operator.attrgetter('priority', 'asked_at')):
            due_at = self.pacer.due_at(now, len(waiting))
            if due_at <= now:
                self.pacer.record_sent(now)
                decisions.append(PermitDecision(request, granted=True))
            elif due_at > request.wait_until:
                decisions.append(PermitDecision(request, granted=False, retry_seconds=due_at - now))
            else:
                waiting.append(request)
        self.waiting = waiting
        return decisions
