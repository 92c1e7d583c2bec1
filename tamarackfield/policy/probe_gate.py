"""Probes of a quarantine: single requests that are sent although engines crash on their prompts.

Load pattern: nearly all requests are in quarantine, at all entries alike. One probe is enough for all of them: the
crash that it causes is known everywhere before further entries send theirs, and ends all probes
(`Quarantine.is_confirmed`). A whole request that was condemned wrongly may be all that callers send; it is
probed in the same way, once.
"""

import math
import random
from collections.abc import Hashable

#: Share of the requests of an entry that a quarantine may refuse, and time in seconds for which it may have seen no
#: sound run, before single requests are sent as probes: if engines crash on nearly all prompts, the cause need not be
#: the prompts, and refusing all of them would never show its end.
MAX_REFUSED_SHARE = 0.5
MAX_SECONDS_WITHOUT_PROOF = 5.0
#: Weight of the newest request in the share that is refused.
REFUSED_SHARE_SMOOTHING = 0.005
#: Mean time in seconds between the first probes of two entries, several times that in which a crash is known to all.
FIRST_PROBE_SECONDS = 1.0
#: Seconds between two probes of one entry: shortest, and longest after further crashes.
MIN_PROBE_INTERVAL_SECONDS, MAX_PROBE_INTERVAL_SECONDS = 2.0, 600.0
#: Seconds in quarantine after which a whole request is sent once more, in case that it was condemned wrongly.
REQUEST_PROBE_SECONDS = 60.0
#: Limit of the requests whose next probe is remembered.
MAX_REMEMBERED_REQUESTS = 256


class ProbeGate:
    """Decides which requests in quarantine are sent all the same, while nearly all requests are in quarantine.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    rng : random.Random
        Random source of the times of first probes.

    Examples
    --------
    >>> gate = ProbeGate(0.0, random.Random(1))
    >>> [second for second in range(160) if gate.admit_probe(float(second))]
    [138, 140, 144, 152]
    """

    def __init__(self, now: float, rng: random.Random) -> None:
        """Create a gate that has refused nothing."""
        self.rng = rng
        self.refused_share = 0.0
        self.proven_at = now
        self.next_probe_at = 0.0
        self.interval_seconds = MIN_PROBE_INTERVAL_SECONDS

    def record_proof(self, now: float) -> None:
        """Record that a run showed that engines work."""
        self.proven_at = now
        self.next_probe_at = 0.0
        self.interval_seconds = MIN_PROBE_INTERVAL_SECONDS

    def record_sent(self) -> None:
        """Record a request that is not in quarantine."""
        self.refused_share -= REFUSED_SHARE_SMOOTHING * self.refused_share

    def admit_probe(self, now: float, entries: int = 0) -> bool:
        """Record a request in quarantine; return whether it is sent as a probe.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        entries : int
            Number of entries that may send probes; their first ones are spread over time.
        """
        self.refused_share += REFUSED_SHARE_SMOOTHING * (1 - self.refused_share)
        if self.refused_share <= MAX_REFUSED_SHARE or now <= self.proven_at + MAX_SECONDS_WITHOUT_PROOF:
            return False
        if not self.next_probe_at:
            self.next_probe_at = now + self.rng.uniform(0, entries * FIRST_PROBE_SECONDS)
        if now < self.next_probe_at:
            return False
        self.next_probe_at = now + self.interval_seconds
        self.interval_seconds = min(2 * self.interval_seconds, MAX_PROBE_INTERVAL_SECONDS)
        return True


class RequestProbes:
    """Decides which requests in quarantine as a whole are sent once more: each once by an entry, at its own time.

    Parameters
    ----------
    rng : random.Random
        Source of the times of probes.

    Examples
    --------
    >>> probes = RequestProbes(random.Random(1))
    >>> [second for second in range(200) if probes.admit(('request,1',), 0.0, float(second), entries=5)]
    [61]
    """

    def __init__(self, rng: random.Random) -> None:
        """Know of no request."""
        self.rng = rng
        self.due_at: dict[Hashable, float] = {}

    def admit(self, request: Hashable, found_at: float, now: float, entries: int) -> bool:
        """Return whether a request is sent as a probe now.

        Parameters
        ----------
        request : hashable
            What identifies the request.
        found_at, now : float
            Monotonic seconds since which it is kept back, and now.
        entries : int
            Number of entries that may send probes.
        """
        if request not in self.due_at:
            while len(self.due_at) >= MAX_REMEMBERED_REQUESTS:
                self.due_at.pop(next(iter(self.due_at)))
            self.due_at[request] = found_at + REQUEST_PROBE_SECONDS + self.rng.uniform(0, entries * FIRST_PROBE_SECONDS)
        if now < self.due_at[request]:
            return False
        self.due_at[request] = math.inf
        return True
