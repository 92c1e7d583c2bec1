"""How many prompt tokens one engine is given to read at the same time.

Load pattern: many requests become ready for one engine at once, when an adapter arrives or places
become free. An engine reads prompts between the tokens of the requests that it runs, so a heap of
prompts makes every stream of the engine pause for as long as the heap takes to read. Prompts are
handed over no faster than the engine reads them, a little ahead so that it never waits for one. An
engine that is slow, or runs many streams, has to be left more time between prompts: each pause that
callers nearly notice lowers the share of its time that it reads, which then grows again slowly.

References
----------
.. [1] D.-M. Chiu and R. Jain, "Analysis of the increase and decrease algorithms for congestion avoidance in
   computer networks", Computer Networks and ISDN Systems 17, 1989.
"""

from dataclasses import dataclass, field

#: Seconds of reading that an engine is given ahead; half of the shortest pause between events that
#: callers notice.
AHEAD_SECONDS = 0.15
#: Seconds that reading a token takes until it was seen; engines of the size that is served read 20
#: to 40 tokens in a millisecond.
FIRST_TOKEN_SECONDS = 0.00004
#: Weight of the newest reading in the smoothed time.
SMOOTHING = 0.2
#: Least prompt, in tokens, from which the time of a token is learned.
LEAST_TOKENS = 200
#: Pause in seconds between two events of a stream that callers nearly notice: nine tenths of the shortest one
#: that their objectives name.
NOTICED_SECONDS = 0.27
#: Factor by which a noticed pause lowers the share of time for reading, and the least such share. Down by a
#: factor and up in steps is how several senders find their part of a bottleneck [1]_.
LOWERED = 0.85
LEAST_SHARE = 0.3
#: Share of time for reading that comes back in each second without a noticed pause.
REGAINED_PER_SECOND = 0.05
#: Seconds in which further pauses belong to the same heap of prompts: the length of a pause.
SAME_HEAP_SECONDS = 0.3
#: Seconds of reading that may be handed over at once while the share is limited: the interval at which waiting
#: requests are looked at.
BURST_SECONDS = 0.05
#: Seconds after which a prompt counts as read although no first event was told.
LONGEST_SECONDS = 2.0


@dataclass(slots=True)
class Prompt:
    """A prompt that was handed over.

    Parameters
    ----------
    tokens : int
        Its length.
    given_at : float
        Monotonic seconds.
    alone : bool
        Whether no other prompt was being read then.
    """

    tokens: int
    given_at: float
    alone: bool


@dataclass(slots=True)
class PromptPacing:
    """Prompts that one engine is reading.

    Parameters
    ----------
    reading : dict
        By the key of their request.
    token_seconds : float
        Smoothed time of one token, the way to the engine and its first step included.
    share : float
        Share of the engine's time in which it may read prompts.
    share_at : float
        Monotonic seconds at which the share was last changed.
    paid_at : float
        Monotonic seconds at which what was handed over has taken its share of time.

    Examples
    --------
    >>> pacing = PromptPacing()
    >>> pacing.may_give(10_000, now=5.0)
    True
    >>> pacing.give(1, 10_000, now=5.0)
    >>> pacing.may_give(100, now=5.0)
    False
    >>> pacing.finish(1, now=5.4)
    >>> pacing.may_give(100, now=5.4)
    True
    """

    reading: dict[object, Prompt] = field(default_factory=dict)
    token_seconds: float = FIRST_TOKEN_SECONDS
    share: float = 1.0
    share_at: float = 0.0
    paid_at: float = 0.0

    def may_give(self, tokens: int, now: float) -> bool:
        """Tell whether one more prompt may be handed over; one alone may unless reading is limited."""
        self._forget_old(now)
        if self.current_share(now) < 1 and now < self.next_at():
            return False
        return not self.reading or self.seconds_to_read(tokens) <= AHEAD_SECONDS

    def give(self, key: object, tokens: int, now: float) -> None:
        """Note that a prompt was handed over."""
        self.reading[key] = Prompt(tokens, now, not self.reading)
        self.paid_at = max(now, self.paid_at) + tokens * self.token_seconds / self.current_share(now)

    def next_at(self) -> float:
        """Return the monotonic seconds at which time alone lets another prompt be handed over."""
        return self.paid_at - BURST_SECONDS

    def current_share(self, now: float) -> float:
        """Return the share of time for reading, with what came back since it was lowered."""
        return min(1.0, self.share + REGAINED_PER_SECOND * max(0.0, now - self.share_at))

    def paced_token_seconds(self, now: float) -> float:
        """Return the time in which one more token is read, with the time that is left to streams."""
        return self.token_seconds / self.current_share(now)

    def note_pause(self, now: float) -> bool:
        """Note that a stream paused for as long as its caller nearly notices; return whether that lowers the share.

        A pause is not put down to prompts if none was read shortly before.
        """
        idle = not self.reading and now > self.paid_at + SAME_HEAP_SECONDS
        if idle or now < self.share_at + SAME_HEAP_SECONDS:
            return False
        self.share = max(LEAST_SHARE, LOWERED * self.current_share(now))
        self.share_at = now
        return True

    def finish(self, key: object, now: float) -> None:
        """Note that a prompt was read."""
        prompt = self.reading.pop(key, None)
        if prompt is not None and prompt.alone and prompt.tokens >= LEAST_TOKENS:
            seconds = (now - prompt.given_at) / prompt.tokens
            self.token_seconds += SMOOTHING * (seconds - self.token_seconds)

    def seconds_to_read(self, further_tokens: int = 0) -> float:
        """Return the time in which the prompts that were handed over, and further tokens, are read."""
        return (sum(prompt.tokens for prompt in self.reading.values()) + further_tokens) * self.token_seconds

    def drop(self, key: object) -> None:
        """Note that a request ended before its prompt was read."""
        self.reading.pop(key, None)

    def _forget_old(self, now: float) -> None:
        old = [key for key, prompt in self.reading.items() if now - prompt.given_at > LONGEST_SECONDS]
        for key in old:
            self.reading.pop(key)
