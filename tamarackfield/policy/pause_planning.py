"""Planned pauses: bounds the prefill that an engine has at once, so that its running streams keep their pauses.

Load pattern: an engine prefills prompts in pieces between the decode steps of its running requests. An event of a
stream holds several tokens, so the pause between two events is one event interval of decode steps plus all prefill that
falls between them. A prompt counts as in prefill until an event interval of decode steps has passed since the end of
its prefill. All prompts that are prefilled between two events of another stream are therefore in prefill together when
the second event is sent, in whatever order and in whatever pieces the engine prefills them: the pause is at most one
event interval plus the time of all prompts that are in prefill at once. That time is bounded by the longest pause that
callers accept, less the present event interval, less a margin.

An engine that prefills small pieces between its decode steps pauses its streams for less than that. The bound therefore
applies while the longest waits that entries report are a large fraction of the accepted pause, before any is late.

The event interval is observed by entries (`WaitSampler`) and reported to the sidecar of the engine. The prefill
time of a token follows from the first events of prompts that were dispatched together while no other was in prefill, by
linear regression on their total length: the intercept takes up the network delay and the decode steps of the
first event.
"""

import math
from dataclasses import dataclass, field

#: Seconds between two reports of an entry on the event interval of an engine.
REPORT_SECONDS = 0.5
#: The event interval is the longest of one in this many waits, the shortest ones.
INTERVAL_QUANTILE = 8
#: Fewest waits for which an event interval is reported; fewer are mostly noise.
MIN_WAITS = 4
#: Most waits that are kept between two reports; bounds the memory and time of a report.
MAX_WAITS = 64
#: Shortest wait in seconds that counts as an event interval: parts of one event arrive closer together, and a decode
#: step takes at least 5 ms on engines of the served size.
MIN_INTERVAL_SECONDS = 0.003
#: Seconds for which a report on the event interval is in force: several reports, of which some may be lost.
REPORT_LIFETIME_SECONDS = 3.0
#: Weight of a report with a longer and with a shorter event interval in the smoothed one. A slower engine has to be
#: noticed before the next burst of prompts.
RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.2
#: Fraction of the longest accepted pause that is kept free for the network, the entry and an outdated event interval.
#: Planned pauses end where entries report them as noticeable.
MARGIN_FRACTION = 0.1
#: Fraction of the longest accepted pause from which a reported wait puts the plan in force. Below it the engine
#: prefills in pieces so small that there is slack. A quarter is left for the prompts before the next report.
PRESSED_FRACTION = 0.75
#: Longest time in seconds between the dispatches of prompts whose prefill is observed as one: less than the prefill
#: of a short prompt, so that the engine does not idle between them.
MAX_GROUP_SECONDS = 0.015
#: Weight of the newest group of prompts in the regression of prefill times.
SAMPLE_WEIGHT = 0.05
#: Smallest relative variance of prompt lengths for which their regression has a meaningful slope.
MIN_RELATIVE_VARIANCE = 0.04
#: Smallest fraction of the mean time to a first event that is attributed to prefill, with and without a regression;
#: bounds the effect of noise, and of an event interval that is longer than the first event took.
MIN_PREFILL_FRACTION = 0.35
MIN_PREFILL_FRACTION_WITHOUT_SLOPE = 0.5


@dataclass(frozen=True, slots=True)
class PaceReport:
    """What an entry observed of the streams of one engine since its last report.

    Parameters
    ----------
    interval, longest : float
        Event interval and longest wait between two events, in seconds.
    pause_seconds : float
        Shortest of the longest pauses that the routes of these streams accept.
    """

    interval: float
    longest: float
    pause_seconds: float


@dataclass(slots=True)
class WaitSampler:
    """Waits between the events of one engine's streams at one entry, since the last report.

    Parameters
    ----------
    waits : list of float
        Waits in seconds, at most `MAX_WAITS`.
    longest : float
        Longest wait in seconds.
    pause_seconds : float
        Shortest of the longest pauses that the routes of these streams accept.
    due_at : float
        Monotonic seconds from which the next report may be sent.

    Examples
    --------
    >>> sampler = WaitSampler()
    >>> [sampler.record(seconds, 0.3, now=7.0) for seconds in (0.04, 0.05, 0.2, 0.06)][-1]
    PaceReport(interval=0.04, longest=0.2, pause_seconds=0.3)
    """

    waits: list[float] = field(default_factory=list)
    longest: float = 0.0
    pause_seconds: float = math.inf
    due_at: float = 0.0

    def record(self, seconds: float, pause_seconds: float, now: float) -> PaceReport | None:
        """Record a wait; return the report if one is due."""
        if seconds < MIN_INTERVAL_SECONDS:
            return None
        self.pause_seconds = min(self.pause_seconds, pause_seconds)
        self.longest = max(self.longest, seconds)
        if len(self.waits) < MAX_WAITS:
            self.waits.append(seconds)
        if now < self.due_at or len(self.waits) < MIN_WAITS:
            return None
        # A low quantile, as the other waits include the prefill of further requests.
        report = PaceReport(sorted(self.waits)[len(self.waits) // INTERVAL_QUANTILE], self.longest, self.pause_seconds)
        self.waits.clear()
        self.longest = 0.0
        self.pause_seconds = math.inf
        self.due_at = now + REPORT_SECONDS
        return report


@dataclass(slots=True)
class PromptGroup:
    """Prompts that were dispatched together while no other was in prefill, as one observation of the prefill time.

    Parameters
    ----------
    dispatched_at : float
        Dispatch time of the first one in monotonic seconds.
    tokens : int
        Total length.
    pending : set
        Keys of those whose first event has not arrived.
    closed : bool
        Whether a first event has arrived.
    valid : bool
        Whether the prefill of no other prompt is part of the time to their first events.
    """

    dispatched_at: float
    tokens: int = 0
    pending: set[object] = field(default_factory=set)
    closed: bool = False
    valid: bool = True

    def add(self, key: object, tokens: int, now: float) -> None:
        """Record the dispatch of a further prompt; one that comes too late makes the observation invalid."""
        if self.closed or now > self.dispatched_at + MAX_GROUP_SECONDS:
            self.valid = self.valid and self.closed and not self.pending
            return
        self.pending.add(key)
        self.tokens += tokens

    def end(self, key: object) -> bool:
        """Record the first event of a prompt; return whether that completes a valid observation."""
        self.closed = True
        is_last = self.pending == {key}
        self.pending.discard(key)
        return is_last and self.valid


@dataclass(slots=True)
class PrefillTimes:
    """Prefill time of a token: exponentially weighted regression of the times to first events on prompt lengths.

    Parameters
    ----------
    tokens, seconds, interval : float
        Mean length of the groups, mean time from dispatch to last first event, and mean event interval at that time.
    variance, covariance : float
        Variance of the lengths, and their covariance with the times.

    Examples
    --------
    >>> times = PrefillTimes()
    >>> for tokens in 30 * (800, 2400):
    ...     times.record(tokens, 0.05 + 0.00002 * tokens, interval=0.04)
    >>> round(times.token_seconds(), 7)
    2e-05
    """

    tokens: float = 0.0
    seconds: float = 0.0
    interval: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def record(self, tokens: int, seconds: float, interval: float) -> None:
        """Record the time from the dispatch of a group of prompts to the last of their first events."""
        weight = SAMPLE_WEIGHT if self.tokens else 1.0
        token_difference = tokens - self.tokens
        second_difference = seconds - self.seconds
        self.variance = (1 - weight) * (self.variance + weight * token_difference * token_difference)
        self.covariance = (1 - weight) * (self.covariance + weight * token_difference * second_difference)
        self.tokens += weight * token_difference
        self.seconds += weight * second_difference
        self.interval += weight * (interval - self.interval)

    def token_seconds(self) -> float:
        """Return the prefill time of a token, 0 before the first observation."""
        if not self.tokens:
            return 0.0
        mean = self.seconds / self.tokens
        if self.variance < MIN_RELATIVE_VARIANCE * self.tokens * self.tokens:
            return max(mean - self.interval / self.tokens, MIN_PREFILL_FRACTION_WITHOUT_SLOPE * mean)
        return min(mean, max(self.covariance / self.variance, MIN_PREFILL_FRACTION * mean))


@dataclass(slots=True)
class PausePlanner:  # noqa: WPS230 the state of one engine
    """Room for prefill between two events of the streams that run on one engine.

    Parameters
    ----------
    interval : float
        Smoothed event interval in seconds, 0 before the first report.
    pause_seconds : float
        Shortest of the longest pauses that the streams accept.
    pause_in_force_until, known_until : float
        Monotonic seconds until which that pause, and the event interval, are in force.
    pressed_until : float
        Monotonic seconds until which the room bounds the prompts.
    times : PrefillTimes
        Prefill times of the engine.

    Examples
    --------
    >>> planner = PausePlanner()
    >>> planner.record_report(PaceReport(interval=0.05, longest=0.2, pause_seconds=0.3), now=9.0)
    >>> planner.is_known(10.0), planner.is_known(13.0)
    (True, False)
    >>> round(planner.room_seconds(), 2)
    0.22
    """

    interval: float = 0.0
    pause_seconds: float = 0.0
    pause_in_force_until: float = 0.0
    known_until: float = 0.0
    pressed_until: float = 0.0
    times: PrefillTimes = field(default_factory=PrefillTimes)

    def record_report(self, report: PaceReport, now: float) -> None:
        """Record the report of an entry."""
        interval = report.interval
        if self.is_known(now):
            weight = RISE_WEIGHT if interval > self.interval else FALL_WEIGHT
            self.interval += weight * (interval - self.interval)
        else:
            self.interval = interval
        if report.pause_seconds <= self.pause_seconds or now >= self.pause_in_force_until:
            self.pause_seconds = report.pause_seconds
            self.pause_in_force_until = now + REPORT_LIFETIME_SECONDS
        self.known_until = now + REPORT_LIFETIME_SECONDS
        if report.longest > PRESSED_FRACTION * self.pause_seconds:
            self.pressed_until = now + REPORT_LIFETIME_SECONDS

    def is_known(self, now: float) -> bool:
        """Return whether streams ran lately whose event interval is known."""
        return now < self.known_until

    def is_in_force(self, now: float) -> bool:
        """Return whether the room bounds the prompts: waits were long lately, and the prefill time is known."""
        return now < self.pressed_until and self.is_known(now) and self.times.tokens > 0

    def room_seconds(self) -> float:
        """Return the prefill time that fits between two events in any case, 0 if none does."""
        return max(0.0, (1 - MARGIN_FRACTION) * self.pause_seconds - self.interval)

    def token_seconds(self) -> float:
        """Return the prefill time of a token at the present pace, 0 before the first observation.

        First events are observed less often than event intervals, so that a slower engine shows in its
        event intervals first. A fuller batch has the same effect, which errs on the side of less prefill.
        """
        slowdown = max(1.0, self.interval / self.times.interval) if self.times.interval else 1.0
        return slowdown * self.times.token_seconds()
