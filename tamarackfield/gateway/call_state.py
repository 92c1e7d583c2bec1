"""Progress of one call: attempts, known outcome and position in its answer."""

import asyncio
from dataclasses import dataclass, field

from tamarackfield.core.outcome import Outcome
from tamarackfield.core.time_limits import TimeLimit
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.exchange import Answered
from tamarackfield.gateway.model import Call, Customer, Route
from tamarackfield.web.answer_room import HeldAnswer
from tamarackfield.web.connection import TargetConnection

#: Number of times that sidecars may leave one call to other targets; its next reservation waits for its turn.
MAX_REDIRECTS = 2


@dataclass(slots=True)
class CallState:
    """State of one call.

    Parameters
    ----------
    call : Call
        Request of the caller.
    route : Route
        Route that matches the request.
    service : str
        Service drawn from the split of the route, the same for every attempt.
    configuration_version : int
        Version of the configuration under which the call is handled.
    customer : Customer or None
        Customer as of that version; None if the call has none.
    sent_to : set of str
        Names of the targets to which it was sent.
    send_count : int
        Number of times that it was sent.
    runs : list of Target
        Targets of the attempts in progress, which bytes of the call may have reached, the earliest first.
    may_have_run : bool
        Whether an attempt ended without proof that it did not run.
    failure : Answered or None
        Error answer of a target, sent to the caller unless a further attempt succeeds.
    head_sent : bool
        Whether the head of an answer was sent to the caller.
    last_event : int
        Number of the last event that the caller has received.
    not_run_targets : set of str
        Names of the targets that did not run it in an earlier attempt; a second such attempt excludes them.
    excluded_targets : set of str
        Names of the targets that receive no further attempt.
    redirected_from : set of str
        Names of the targets whose sidecars left the call to other targets; they are avoided while it may be redirected.
    redirects_left : int
        Number of times that sidecars may still leave the call to other targets.
    room_refusals : int
        Number of sidecars that expected no room for the call in time.
    notes : list of str
        Descriptions of the attempts, for the log.
    retry_seconds : float
        Longest retry delay that a sidecar stated.
    target_name : str
        Name of the target of the last attempt.
    waited_seconds : float
        Time spent waiting for batch reservations.
    first_event_at, last_event_at : float
        Monotonic seconds at which the first and the latest event of a stream were sent to the caller.
    longest_pause_seconds : float
        Longest time between two consecutive events sent to the caller.
    answer_framing : str
        How the end of the latest answer's body is marked; empty without an answer.
    answer_end : str
        How the latest answer ended.
    partial_event_bytes : int
        Bytes after the last complete event of the latest stream.
    used_connections : list of TargetConnection
        Connections on which the call was sent.
    broke_off_unproven : bool
        Whether the last run broke off before it had shown that the request does not crash its target.
    end_check : Future or None
        Done once it was found out whether the target of the last run, which broke off, has ended; None if its sidecar
        finds that out.
    held_answers : list of HeldAnswer
        What is held of the answers of its targets, released at the end of the call.
    limit : TimeLimit or None
        Limit of its time while it is served; None once a whole answer is being sent, which is delivered also if late.
    is_probe : bool
        Whether it is sent although it is in quarantine, to find out whether targets crash on it.
    """

    call: Call
    route: Route
    service: str
    configuration_version: int
    customer: Customer | None = None
    sent_to: set[str] = field(default_factory=set)
    send_count: int = 0
    runs: list[Target] = field(default_factory=list)
    may_have_run: bool = False
    failure: Answered | None = None
    head_sent: bool = False
    last_event: int = 0
    not_run_targets: set[str] = field(default_factory=set)
    excluded_targets: set[str] = field(default_factory=set)
    redirected_from: set[str] = field(default_factory=set)
    redirects_left: int = MAX_REDIRECTS
    room_refusals: int = 0
    notes: list[str] = field(default_factory=list)
    retry_seconds: float = 0.0
    target_name: str = ''
    waited_seconds: float = 0.0
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause_seconds: float = 0.0
    answer_framing: str = ''
    answer_end: str = ''
    partial_event_bytes: int = 0
    used_connections: list[TargetConnection] = field(default_factory=list)
    held_answers: list[HeldAnswer] = field(default_factory=list)
    limit: TimeLimit | None = None
    broke_off_unproven: bool = False
    end_check: asyncio.Future[None] | None = None
    is_probe: bool = False

    @property
    def in_flight(self) -> Target | None:
        """Target of the earliest attempt in progress."""
        return self.runs[0] if self.runs else None

    def hold_answer(self) -> HeldAnswer:
        """Return what is held of the answer of one attempt, which is released at the end of the call."""
        held = HeldAnswer(self.call.request_id)
        self.held_answers.append(held)
        return held

    def adapter_key(self) -> str:
        """Return ``model/adapter`` or ``model``; empty for a plain service."""
        call = self.call
        return f'{call.model}/{call.adapter}' if call.adapter else call.model

    def priority(self) -> int:
        """Return the priority of the call, 0 is the most urgent; that of its customer precedes that of its route."""
        if self.customer is None or self.customer.priority is None:
            return self.route.priority
        return self.customer.priority

    def allows(self, target: Target) -> bool:
        """Return whether a further attempt may be sent to a target.

        Examples
        --------
        >>> from tamarackfield.gateway.tests.samples import make_call, make_route, make_target_state
        >>> call_state = CallState(make_call(), make_route(max_targets=1), 'plain', 1)
        >>> call_state.sent_to.add('t1')
        >>> call_state.allows(make_target_state('t1')), call_state.allows(make_target_state('t2'))
        (True, False)
        """
        name = target.record.name
        if any(target is run for run in self.runs):
            return False
        if name in self.excluded_targets or (name in self.redirected_from and self.may_be_redirected()):
            return False
        return name in self.sent_to or len(self.sent_to) < self.route.max_targets

    def may_reach_another(self, target: Target) -> bool:
        """Return whether the limit of targets lets the call go to another one than this."""
        others = self.sent_to - self.excluded_targets - {target.record.name}
        return bool(others) or len(self.sent_to) < self.route.max_targets

    def may_be_redirected(self) -> bool:
        """Return whether a sidecar may leave the call to other targets once more."""
        return self.redirects_left > 0

    def outcome(self) -> Outcome:
        """Return the known outcome of the call."""
        if self.in_flight is not None or self.may_have_run:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def is_unsent(self) -> bool:
        """Return whether no attempt has run or is in progress."""
        return self.outcome() is Outcome.NOT_RUN and not self.head_sent

    def record_event(self, now: float) -> None:
        """Record that events of a stream are sent to the caller."""
        if self.first_event_at:
            self.longest_pause_seconds = max(self.longest_pause_seconds, now - self.last_event_at)
        else:
            self.first_event_at = now
        self.last_event_at = now

    def has_events(self) -> bool:
        """Return whether the caller has received an event of the stream, in this call or before it."""
        return bool(self.first_event_at or self.last_event)

    def advance_to_event(self, number: int) -> bool:
        """Record an event of a resumable stream; return whether the caller does not have it yet.

        Events without a number, 0, are always new.
        """
        is_new = number > self.last_event or not number
        self.last_event = max(number, self.last_event)
        return is_new

    def record_answer_end(self, framing: str, end: str) -> None:
        """Record how the end of an answer was marked, and how it ended."""
        self.answer_framing = framing
        self.answer_end = end

    def record_sent(self, target: Target) -> None:
        """Record that bytes of the call may reach a target from now on."""
        self.sent_to.add(target.record.name)
        self.send_count += 1
        self.target_name = target.record.name
        self.runs.append(target)

    def record_not_run(self, target: Target, retry_allowed: bool) -> None:
        """Record that an attempt did not run; ``retry_allowed`` is whether the target may be tried once more."""
        self._end_run(target)
        if not retry_allowed or target.record.name in self.not_run_targets:
            self.excluded_targets.add(target.record.name)
        self.not_run_targets.add(target.record.name)

    def record_redirect(self, target: Target) -> None:
        """Record that the sidecar of a target left the call to other targets."""
        self._end_run(target)
        self.redirected_from.add(target.record.name)
        self.redirects_left -= 1

    def stop_redirects(self) -> None:
        """Let the next reservation wait for its turn, also at a target that left the call to others."""
        self.redirects_left = 0

    def record_maybe_ran(self, target: Target) -> None:
        """Record that an attempt ended and may have run."""
        self._end_run(target)
        self.may_have_run = True
        self.excluded_targets.add(target.record.name)
        self.not_run_targets.discard(target.record.name)

    def record_abandoned(self, target: Target) -> None:
        """Record that an attempt was ended because another run goes on; its target may be tried once more."""
        was_sent = self._end_run(target)
        self.may_have_run = self.may_have_run or was_sent

    def record_answered(self, target: Target) -> None:
        """Record that an attempt ended with an answer for the caller."""
        self._end_run(target)
        self.target_name = target.record.name

    def forget_refusals(self) -> None:
        """Let targets be tried again that did not run the call; a run has been silent for some time since."""
        self.excluded_targets -= self.not_run_targets
        self.not_run_targets.clear()

    def _end_run(self, target: Target) -> bool:
        """Remove a target from those of the attempts in progress; return whether it was one of them."""
        count = len(self.runs)
        self.runs = [run for run in self.runs if run is not target]
        return len(self.runs) < count
