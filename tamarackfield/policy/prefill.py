"""Prefill pacing: limits the prompt tokens that one engine has to prefill at a time.

Load pattern: many requests become ready for one engine at once, when an adapter finishes loading or batch
slots become free. An engine prefills prompts between the decode steps of its running requests, so a burst
of prompts pauses every stream of the engine until all of them are prefilled. Prompts are dispatched no faster
than the engine prefills them, with a small backlog so that it is never idle. An engine that is slow,
or runs many streams, needs more time between prompts: each pause that is close to what callers notice lowers the
share of its time for prefill, which then recovers slowly. While the event interval of its streams is known, what may
be in prefill at once is planned instead, before any stream pauses (`pause_planning`).

References
----------
.. [1] D.-M. Chiu and R. Jain, "Analysis of the increase and decrease algorithms for congestion avoidance in
   computer networks", Computer Networks and ISDN Systems 17, 1989.
"""

import math
from dataclasses import dataclass, field

from tamarackfield.policy.pause_planning import PausePlanner, PromptGroup

#: Largest prefill backlog of an engine in seconds; half of the shortest pause between events that
#: callers notice.
MAX_PREFILL_BACKLOG_SECONDS = 0.15
#: Prefill time of a token in seconds before the first observation; engines of the served size prefill 20
#: to 40 tokens per millisecond.
INITIAL_TOKEN_SECONDS = 0.00004
#: Weight of the newest prefill in the smoothed time.
SMOOTHING = 0.2
#: Shortest prompt, in tokens, that updates the prefill time of a token.
MIN_SAMPLE_TOKENS = 200
#: Fraction of the longest pause between two events in a latency objective from which a pause lowers the prefill share,
#: so that the next ones stay below the objective.
NOTICEABLE_PAUSE_FRACTION = 0.9
#: Factor by which a noticeable pause lowers the prefill share, and the smallest share. Multiplicative decrease with
#: additive increase lets several senders converge to their fair shares of a bottleneck [1]_.
SHARE_DECREASE_FACTOR = 0.85
MIN_SHARE = 0.3
#: Increase of the prefill share in each second without a noticeable pause.
SHARE_INCREASE_PER_SECOND = 0.05
#: Seconds in which further pauses are attributed to the same burst of prompts: the length of a pause.
PAUSE_COALESCING_SECONDS = 0.3
#: Seconds of prefill that may be dispatched at once while the share is limited: the longest interval between two
#: decisions on queued requests.
MAX_BURST_SECONDS = 0.05
#: Seconds after which a prompt counts as prefilled although no first event was reported.
PREFILL_TIMEOUT_SECONDS = 2.0


@dataclass(slots=True)
class InFlightPrompt:
    """A dispatched prompt whose prefill has not ended.

    Parameters
    ----------
    tokens : int
        Length of the prompt.
    dispatched_at : float
        Dispatch time in monotonic seconds.
    alone : bool
        Whether no other prompt was in prefill at that time.
    counted_until : float
        Monotonic seconds until which it counts as in prefill although its first event has arrived; infinite before.
    """

    tokens: int
    dispatched_at: float
    alone: bool
    counted_until: float = math.inf


@dataclass(slots=True)
class PrefillPacer:
    """Prefill backlog and prefill rate of one engine.

    Parameters
    ----------
    in_flight : dict
        Dispatched prompts by the key of their request.
    token_seconds : float
        Smoothed prefill time of a token, including the network delay to the engine and its first decode step.
    share : float
        Share of the engine's time that prefill may use, when it was last lowered.
    share_lowered_at : float
        Monotonic seconds at which the share was last lowered.
    share_used_until : float
        Monotonic seconds until which the dispatched prompts use the prefill share.
    planner : PausePlanner
        Plan of the pauses of the engine's streams.
    group : PromptGroup
        Prompts that were dispatched together when last no other was in prefill.

    Examples
    --------
    >>> pacer = PrefillPacer()
    >>> pacer.can_dispatch(10_000, now=5.0)
    True
    >>> pacer.record_dispatch(1, 10_000, now=5.0)
    >>> pacer.can_dispatch(100, now=5.0)
    False
    >>> pacer.record_prefill_end(1, now=5.4)
    >>> pacer.can_dispatch(100, now=5.4)
    True
    """

    in_flight: dict[object, InFlightPrompt] = field(default_factory=dict)
    token_seconds: float = INITIAL_TOKEN_SECONDS
    share: float = 1.0
    share_lowered_at: float = 0.0
    share_used_until: float = 0.0
    planner: PausePlanner = field(default_factory=PausePlanner)
    group: PromptGroup = field(default_factory=lambda: PromptGroup(0.0, valid=False))

    def can_dispatch(self, tokens: int, now: float) -> bool:
        """Return whether one more prompt may be dispatched.

        A prompt of any length may be dispatched if no other is in flight; while the share is limited, not before
        `next_dispatch_at`.
        """
        self._drop_ended(now)
        if self.current_share(now) < 1 and now < self.next_dispatch_at():
            return False
        if not self.planner.is_in_force(now):
            return not self._pending_tokens() or self.prefill_seconds(tokens) <= MAX_PREFILL_BACKLOG_SECONDS
        return not self.in_flight or self._has_room(tokens)

    def record_dispatch(self, key: object, tokens: int, now: float) -> None:
        """Record that a prompt is dispatched."""
        if not self.in_flight:
            self.group = PromptGroup(now)
        self.group.add(key, tokens, now)
        for prompt in self.in_flight.values():
            # Decode steps stand still for the prefill of further prompts.
            prompt.counted_until += tokens * self.pure_token_seconds(now)
        self.in_flight[key] = InFlightPrompt(tokens, now, not self.in_flight)
        seconds = tokens * self.pure_token_seconds(now) / self.current_share(now)
        self.share_used_until = max(now, self.share_used_until) + seconds

    def next_dispatch_at(self) -> float:
        """Return the time in monotonic seconds from which a limited prefill share allows another prompt."""
        return self.share_used_until - MAX_BURST_SECONDS

    def next_room_at(self) -> float:
        """Return the time in monotonic seconds at which the next prompt stops to count, infinite without one."""
        return min((prompt.counted_until for prompt in self.in_flight.values()), default=math.inf)

    def current_share(self, now: float) -> float:
        """Return the prefill share, including its increase since it was last lowered."""
        return min(1.0, self.share + SHARE_INCREASE_PER_SECOND * max(0.0, now - self.share_lowered_at))

    def pure_token_seconds(self, now: float) -> float:
        """Return the prefill time of a token, without the delay of its prompt's first event if that is known."""
        return self.planner.token_seconds() if self.planner.is_in_force(now) else self.token_seconds

    def effective_token_seconds(self, now: float) -> float:
        """Return the prefill time of one more token, including the time that is reserved for decode."""
        seconds = self.pure_token_seconds(now) / self.current_share(now)
        if not self.planner.is_in_force(now):
            return seconds
        # Prompts that are in prefill together make room for the next ones after their prefill and an event interval.
        planner = self.planner
        tokens = max(planner.times.tokens, planner.room_seconds() / planner.token_seconds())
        return max(seconds, planner.token_seconds() + planner.interval / tokens)

    def record_pause(self, now: float) -> bool:
        """Record a noticeable pause of a stream; return whether that lowers the prefill share.

        A pause is not attributed to prompts if none was in prefill shortly before.
        """
        idle = not self.in_flight and now > self.share_used_until + PAUSE_COALESCING_SECONDS
        if idle or now < self.share_lowered_at + PAUSE_COALESCING_SECONDS:
            return False
        self.share = max(MIN_SHARE, SHARE_DECREASE_FACTOR * self.current_share(now))
        self.share_lowered_at = now
        return True

    def record_prefill_end(self, key: object, now: float) -> None:
        """Record that the first event of a prompt arrived."""
        prompt = self.in_flight.get(key)
        if prompt is None or prompt.counted_until < math.inf:
            return
        seconds = now - prompt.dispatched_at
        known = self.planner.is_known(now)
        if prompt.alone and prompt.tokens >= MIN_SAMPLE_TOKENS:
            self.token_seconds += SMOOTHING * (seconds / prompt.tokens - self.token_seconds)
        if self.group.end(key) and known and self.group.tokens >= MIN_SAMPLE_TOKENS:
            self.planner.times.record(self.group.tokens, now - self.group.dispatched_at, self.planner.interval)
        prompt.counted_until = now
        if known:
            prompt.counted_until += self.planner.interval + self._pending_tokens() * self.pure_token_seconds(now)
        self._drop_ended(now)

    def prefill_seconds(self, further_tokens: int = 0) -> float:
        """Return the expected time until the first events of the dispatched prompts and of further tokens."""
        return (self._pending_tokens() + further_tokens) * self.token_seconds

    def expected_wait_seconds(self, now: float, further_tokens: int = 0) -> float:
        """Return the time after which the dispatched prompts and further tokens are prefilled, decode included."""
        return (self._pending_tokens() + further_tokens) * self.effective_token_seconds(now)

    def forget_engine(self) -> None:
        """Forget the prompts and the pace of an engine's previous incarnation."""
        self.in_flight.clear()
        self.planner = PausePlanner()

    def record_cancellation(self, key: object) -> None:
        """Record that a request ended, which ends its prefill."""
        prompt = self.in_flight.get(key)
        if prompt is not None and prompt.counted_until == math.inf:
            self.group.valid = False
        self.in_flight.pop(key, None)

    def _has_room(self, tokens: int) -> bool:
        """Return whether a prompt fits into the planned room, and into the backlog that the engine needs."""
        if self.prefill_seconds(tokens) > MAX_PREFILL_BACKLOG_SECONDS:
            return False
        counted = sum(prompt.tokens for prompt in self.in_flight.values())
        return (counted + tokens) * self.planner.token_seconds() <= self.planner.room_seconds()

    def _pending_tokens(self) -> int:
        """Return the length of the dispatched prompts whose first event has not arrived."""
        return sum(prompt.tokens for prompt in self.in_flight.values() if prompt.counted_until == math.inf)

    def _drop_ended(self, now: float) -> None:
        ended = [
            key
            for key, prompt in self.in_flight.items()
            if now >= prompt.counted_until or now - prompt.dispatched_at > PREFILL_TIMEOUT_SECONDS
        ]
        for key in ended:
            self.in_flight.pop(key)
