"""Leaderless election of the few processes of a zone that watch the configuration service.

Watchers send heartbeats (`WatchBeat`), which are flooded through the zone. A process that receives
heartbeats from too few watchers becomes a candidate after a delay that decreases with its rank, the
rendezvous hash of its name; a candidate or watcher resigns when enough higher-ranked ones are alive.
A candidate becomes a watcher after a settling time, so that the lower-ranked of simultaneous
candidates resign before their first call.
"""

import xxhash

from tamarackfield.wire.dissemination import WatchBeat

#: Desired number of watchers in each zone.
WATCHERS_PER_ZONE = 2
#: Interval between two heartbeats of a candidate or watcher.
HEARTBEAT_INTERVAL_SECONDS = 0.5
#: Time without a heartbeat after which a watcher is considered dead.
HEARTBEAT_TIMEOUT_SECONDS = 1.5
#: Delay before the process of the lowest possible rank becomes a candidate; that of the highest has none.
MAX_CANDIDACY_DELAY_SECONDS = 0.6
#: Settling time from the start of the candidacy to the first call.
SETTLE_SECONDS = 0.2
#: Time between two steps above which this process must have been paused, so that its view is stale.
PAUSE_THRESHOLD_SECONDS = 1.0
#: Dead watchers whose last sequence number is kept, so that delayed heartbeats are recognized as old.
MAX_FORMER_WATCHERS = 16
_HASH_BITS = 64


def compute_watch_rank(zone: str, watcher: str) -> float:
    """Return the rank of a process in its zone, between 0 and 1; the highest-ranked processes watch."""
    return xxhash.xxh64_intdigest(f'{zone}|{watcher}'.encode()) / (1 << _HASH_BITS)


class WatchElection:
    """View of one process of the watchers in its zone; times are monotonic seconds.

    ``is_candidate`` is true for a candidate and remains true when it becomes a watcher.

    Parameters
    ----------
    zone : str
        Availability zone of this process.
    watcher : str
        Unique name of this process, made of its instance and incarnation.
    """

    def __init__(self, zone: str, watcher: str) -> None:
        """Initialize without known watchers."""
        self.zone = zone
        self.watcher = watcher
        self.rank = compute_watch_rank(zone, watcher)
        self.sequences: dict[str, int] = {}
        self.expires_at: dict[str, float] = {}
        self.sequence = 0
        self.next_heartbeat_at = 0.0
        self.last_step_at = 0.0
        self.candidacy_at = 0.0
        self.settled_at = 0.0
        self.suspended_until = 0.0
        self.is_candidate = False

    def may_call(self, now: float) -> bool:
        """Return whether this process is a watcher, which may call the configuration service."""
        return self.is_candidate and now >= self.settled_at

    def receive_heartbeat(self, heartbeat: WatchBeat, now: float) -> bool:
        """Process a heartbeat and return whether it is new, so that the caller forwards it."""
        if heartbeat.zone != self.zone or heartbeat.watcher == self.watcher:
            return False
        if heartbeat.sequence <= self.sequences.get(heartbeat.watcher, 0):
            return False
        self.sequences[heartbeat.watcher] = heartbeat.sequence
        self.expires_at[heartbeat.watcher] = now + HEARTBEAT_TIMEOUT_SECONDS
        return True

    def run_step(self, now: float) -> WatchBeat | None:
        """Become a candidate, continue or resign; return the heartbeat to send if one is due.

        After a pause the process resigns and waits for at least one heartbeat time-out, so that it
        first receives the heartbeats of the watchers that replaced it.
        """
        if now - self.last_step_at > PAUSE_THRESHOLD_SECONDS:
            self.is_candidate = False
            self.candidacy_at = (
                now + HEARTBEAT_TIMEOUT_SECONDS + self._compute_candidacy_delay() if self.last_step_at else 0.0
            )
        self.last_step_at = now
        self._expire_watchers(now)
        if self.is_candidate and self._is_outranked():
            self.is_candidate = False
            self.candidacy_at = 0.0
        if not self.is_candidate:
            self._update_candidacy(now)
        return self._make_heartbeat(now) if self.is_candidate and now >= self.next_heartbeat_at else None

    def suspend(self, until: float) -> None:
        """Resign and do not become a candidate again before a time."""
        self.is_candidate = False
        self.candidacy_at = 0.0
        self.suspended_until = until

    def _is_outranked(self) -> bool:
        higher_ranked = [watcher for watcher in self.expires_at if compute_watch_rank(self.zone, watcher) > self.rank]
        return len(higher_ranked) >= WATCHERS_PER_ZONE

    def _update_candidacy(self, now: float) -> None:
        if len(self.expires_at) >= WATCHERS_PER_ZONE or now < self.suspended_until:
            self.candidacy_at = 0.0
        elif not self.candidacy_at:
            self.candidacy_at = now + self._compute_candidacy_delay()
        elif now >= self.candidacy_at:
            self.is_candidate = True
            self.candidacy_at = 0.0
            self.next_heartbeat_at = now
            self.settled_at = now + SETTLE_SECONDS

    def _compute_candidacy_delay(self) -> float:
        return (1 - self.rank) * MAX_CANDIDACY_DELAY_SECONDS

    def _make_heartbeat(self, now: float) -> WatchBeat:
        self.sequence += 1
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_SECONDS
        return WatchBeat(self.zone, self.watcher, self.sequence)

    def _expire_watchers(self, now: float) -> None:
        self.expires_at = {watcher: expiry for watcher, expiry in self.expires_at.items() if expiry > now}
        if len(self.sequences) > len(self.expires_at) + MAX_FORMER_WATCHERS:
            self.sequences = {watcher: self.sequences[watcher] for watcher in self.expires_at}
