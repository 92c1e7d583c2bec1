"""What is known of one call on its way: where it was sent, and how far its answer got."""

from dataclasses import dataclass, field

from tamarackfield.core.outcome import Outcome
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.exchange import Answered
from tamarackfield.gateway.model import Call, Route


@dataclass(slots=True)
class Journey:
    """State of one call.

    Parameters
    ----------
    call : Call
        The request.
    route : Route
        That it takes.
    service : str
        Drawn from the route's split, the same for every attempt.
    version : int
        Of the configuration by which it is handled.
    sent_to : set of str
        Names of the targets that it was sent to.
    arrivals : int
        Times that it was sent.
    in_flight : Target or None
        Where an attempt is under way, bytes of which may have arrived.
    in_doubt : bool
        Whether an attempt ended that may have run.
    failure : Answered or None
        A target's own failure, kept for the caller while another target is tried.
    started : bool
        Whether the caller has the head of an answer.
    last_event : int
        Last event that the caller has.
    repeated : set of str
        Names of the targets that did not run it once.
    avoided : set of str
        Names of the targets that it does not go to again.
    notes : list of str
        One for each attempt, for the log.
    retry_seconds : float
        Longest time to come back that a sidecar named.
    target_name : str
        Target of the last attempt.
    waited_seconds : float
        Time spent waiting for places in batches.
    first_event_at, event_at : float
        Monotonic seconds at which the caller was sent the first event of a stream, and the last one so far.
    longest_pause : float
        Longest time in seconds between two events that the caller was sent.
    """

    call: Call
    route: Route
    service: str
    version: int
    sent_to: set[str] = field(default_factory=set)
    arrivals: int = 0
    in_flight: Target | None = None
    in_doubt: bool = False
    failure: Answered | None = None
    started: bool = False
    last_event: int = 0
    repeated: set[str] = field(default_factory=set)
    avoided: set[str] = field(default_factory=set)
    notes: list[str] = field(default_factory=list)
    retry_seconds: float = 0.0
    target_name: str = ''
    waited_seconds: float = 0.0
    first_event_at: float = 0.0
    event_at: float = 0.0
    longest_pause: float = 0.0

    def adapter_key(self) -> str:
        """Return ``model/adapter`` or ``model``; empty for a plain service."""
        call = self.call
        return f'{call.model}/{call.adapter}' if call.adapter else call.model

    def allows(self, target: Target) -> bool:
        """Tell whether one more attempt may go to a target.

        Examples
        --------
        >>> from tamarackfield.gateway.tests.samples import make_call, make_route, make_target_state
        >>> journey = Journey(make_call(), make_route(max_targets=1), 'plain', 1)
        >>> journey.sent_to.add('t1')
        >>> journey.allows(make_target_state('t1')), journey.allows(make_target_state('t2'))
        (True, False)
        """
        name = target.record.name
        if name in self.avoided:
            return False
        return name in self.sent_to or len(self.sent_to) < self.route.max_targets

    def outcome(self) -> Outcome:
        """Return what is known of the run."""
        if self.in_flight is not None or self.in_doubt:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def note_event(self, now: float) -> None:
        """Note that the caller is sent a part of a stream."""
        if self.first_event_at:
            self.longest_pause = max(self.longest_pause, now - self.event_at)
        else:
            self.first_event_at = now
        self.event_at = now

    def note_sent(self, target: Target) -> None:
        """Note that bytes of the call may reach a target from now on."""
        self.sent_to.add(target.record.name)
        self.arrivals += 1
        self.target_name = target.record.name
        self.in_flight = target

    def note_not_run(self, target: Target, again: bool) -> None:
        """Note that an attempt did not run; ``again`` tells whether the target may be tried once more."""
        self.in_flight = None
        if not again or target.record.name in self.repeated:
            self.avoided.add(target.record.name)
        self.repeated.add(target.record.name)

    def note_in_doubt(self, target: Target) -> None:
        """Note that an attempt ended that may have run."""
        self.in_flight = None
        self.in_doubt = True
        self.avoided.add(target.record.name)
