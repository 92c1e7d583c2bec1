"""Reserved slot of an attempt in the batch of its target, and what the sidecar is told of the run."""

import math
from dataclasses import dataclass
from typing import Protocol

from tamarackfield.core import BOOT_CLOCK
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.policy.pause_planning import PaceReport, WaitSampler
from tamarackfield.policy.prefill import NOTICEABLE_PAUSE_FRACTION
from tamarackfield.wire.messages import Message
from tamarackfield.wire.reservations import EventPace, Started


class ReservationLink(Protocol):
    """Link to the sidecar that granted a slot, see `ManagerLink`."""

    waits: WaitSampler

    def release(self, number: int) -> None:
        """Release a slot."""

    def report_pause(self, number: int, seconds: float) -> None:
        """Report a pause."""

    def send_best_effort(self, message: Message) -> bool:
        """Send a message that may be lost."""


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """Request for a slot in the batch of a target.

    Parameters
    ----------
    label : str
        Request id of the caller, for logs.
    adapter : str
        ``model/adapter`` or ``model``.
    version : int
        Lowest acceptable version, 0 for any.
    priority : int
        0 is the most urgent.
    remaining_seconds : float
        Time until the deadline of the call, after which the slot is not needed.
    start_within_seconds : float
        Time within which the run should begin to meet the latency objective; zero or less if that has passed.
    prompt_tokens : int
        Length of the prompt in tokens.
    redirectable : bool
        Whether another target is tried if the run cannot begin here within the latency objective.
    customer : str
        Name of the customer, empty without one.
    """

    label: str
    adapter: str
    version: int
    priority: int
    remaining_seconds: float
    start_within_seconds: float
    prompt_tokens: int
    redirectable: bool
    customer: str = ''


@dataclass(slots=True)
class Reservation:
    """Slot in the batch of a target, released after the attempt.

    Parameters
    ----------
    link : ReservationLink or None
        Link to the sidecar that granted the slot; None if no slot was needed.
    number : int
        Number of the reservation on the link.
    version : int
        Version of the adapter that the target must run; 0 for any.
    longest_pause_seconds : float
        Longest pause between two events for which the answer is still on time.
    permitted : bool
        Whether a gate has admitted the attempt, should its target limit its requests.
    started : bool
        Whether the sidecar was told that the answer has begun.
    """

    link: ReservationLink | None = None
    number: int = 0
    version: int = 0
    longest_pause_seconds: float = math.inf
    permitted: bool = False
    started: bool = False

    def release(self) -> None:
        """Release the slot."""
        if self.link is not None:
            self.link.release(self.number)

    def report_started(self) -> None:
        """Report that the answer has begun; an event stream begins with its first event."""
        if self.link is not None and not self.started:
            self.started = True
            self.link.send_best_effort(Started(self.number))

    def report_wait(self, seconds: float) -> None:
        """Report the wait for a part of the answer: as a pause if it is close to the longest allowed, and as the pace.

        The wait for the first part is not between two events, and infinitely negative.
        """
        if self.link is None:
            return
        if seconds < 0:
            self.report_started()
            return
        if seconds > NOTICEABLE_PAUSE_FRACTION * self.longest_pause_seconds:
            self.link.report_pause(self.number, seconds)
        if math.isfinite(self.longest_pause_seconds):
            pace = self.link.waits.record(seconds, self.longest_pause_seconds, BOOT_CLOCK.monotonic())
            if pace is not None:
                self.link.send_best_effort(_encode_pace(pace))


def _encode_pace(pace: PaceReport) -> EventPace:
    return EventPace(
        max(1, round(pace.interval * MS_PER_SECOND)),
        max(1, round(pace.longest * MS_PER_SECOND)),
        max(1, round(pace.pause_seconds * MS_PER_SECOND)),
    )
