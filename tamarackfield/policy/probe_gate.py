"""Probes of a quarantine: single requests that are sent although engines crash on their prompts."""

#: Share of the requests of an entry that a quarantine may refuse, and time in seconds for which it may have seen no
#: sound run, before single requests are sent as probes: if engines crash on nearly all prompts, the cause need not be
#: the prompts, and refusing all of them would never show its end.
MAX_REFUSED_SHARE = 0.5
MAX_SECONDS_WITHOUT_PROOF = 5.0
#: Weight of the newest request in the share that is refused.
REFUSED_SHARE_SMOOTHING = 0.005
#: Seconds between two probes of one entry: shortest, and longest after further crashes.
MIN_PROBE_INTERVAL_SECONDS, MAX_PROBE_INTERVAL_SECONDS = 2.0, 600.0


class ProbeGate:
    """Decides which requests in quarantine are sent all the same, while nearly all requests are in quarantine.

    Parameters
    ----------
    now : float
        Monotonic seconds.

    Examples
    --------
    >>> gate = ProbeGate(0.0)
    >>> [second for second in range(160) if gate.admit_probe(float(second))]
    [138, 141, 146, 155]
    """

    def __init__(self, now: float) -> None:
        """Create a gate that has refused nothing."""
        self.refused_share = 0.0
        self.proven_at = now
        self.next_probe_at = 0.0
        self.interval_seconds = MIN_PROBE_INTERVAL_SECONDS

    def record_proof(self, now: float) -> None:
        """Record that a run showed that engines work."""
        self.proven_at = now
        self.interval_seconds = MIN_PROBE_INTERVAL_SECONDS

    def record_sent(self) -> None:
        """Record a request that is not in quarantine."""
        self.refused_share -= REFUSED_SHARE_SMOOTHING * self.refused_share

    def admit_probe(self, now: float) -> bool:
        """Record a request in quarantine; return whether it is sent as a probe."""
        self.refused_share += REFUSED_SHARE_SMOOTHING * (1 - self.refused_share)
        due_at = max(self.next_probe_at, self.proven_at + MAX_SECONDS_WITHOUT_PROOF)
        if self.refused_share <= MAX_REFUSED_SHARE or now <= due_at:
            return False
        self.next_probe_at = now + self.interval_seconds
        self.interval_seconds = min(2 * self.interval_seconds, MAX_PROBE_INTERVAL_SECONDS)
        return True
