"""Chooses the few processes of a zone that watch the configuration service, without coordination.

A watcher sends beats, which flood the zone. A process that hears too few live watchers
volunteers after a time that follows from the rendezvous hash of its name; a watcher that hears
enough better ones resigns. Volunteers wait for a moment before their first call, so that those
who volunteered at once have settled which of them go on.
"""

import xxhash

from tamarackfield.wire.spreading import WatchBeat

#: Watchers wanted in each zone.
WATCHERS = 2
#: Seconds between two beats of a watcher.
BEAT_INTERVAL = 0.5
#: Seconds without a beat after which a watcher counts as gone.
BEAT_TIMEOUT = 1.5
#: Longest time before a process volunteers, in seconds.
VOLUNTEER_SPREAD = 0.6
#: Seconds from volunteering to the first call.
SETTLE_SECONDS = 0.2
#: Seconds without a step after which this process was paused.
PAUSE_SECONDS = 1.0
#: Former watchers whose last beat is remembered.
MAX_FORMER_WATCHERS = 16
_HASH_BITS = 64


def watch_score(zone: str, watcher: str) -> float:
    """Return the rank of a process in its zone, between 0 and 1; the highest watch."""
    return xxhash.xxh64_intdigest(f'{zone}|{watcher}'.encode()) / (1 << _HASH_BITS)


class WatchElection:
    """State of one process's view of the watchers in its zone; times are monotonic seconds.

    Parameters
    ----------
    zone : str
        Availability zone of this process.
    watcher : str
        Unique name of this process: its instance and incarnation.
    """

    def __init__(self, zone: str, watcher: str) -> None:
        """Start without having heard of anyone."""
        self.zone = zone
        self.watcher = watcher
        self.score = watch_score(zone, watcher)
        self.sequences: dict[str, int] = {}
        self.expires_at: dict[str, float] = {}
        self.sequence = 0
        self.beat_at = 0.0
        self.stepped_at = 0.0
        self.volunteer_at = 0.0
        self.settled_at = 0.0
        self.rest_until = 0.0
        self.volunteered = False

    def may_call(self, now: float) -> bool:
        """Tell whether this process may call the configuration service."""
        return self.volunteered and now >= self.settled_at

    def hear(self, beat: WatchBeat, now: float) -> bool:
        """Take in a beat and tell whether it is new, so that it is passed on."""
        if beat.zone != self.zone or beat.watcher == self.watcher:
            return False
        if beat.sequence <= self.sequences.get(beat.watcher, 0):
            return False
        self.sequences[beat.watcher] = beat.sequence
        self.expires_at[beat.watcher] = now + BEAT_TIMEOUT
        return True

    def step(self, now: float) -> WatchBeat | None:
        """Volunteer, go on or resign, and return the beat to send, if one is due."""
        if now - self.stepped_at > PAUSE_SECONDS:
            self.volunteered = False
            self.volunteer_at = now + BEAT_TIMEOUT + self._delay() if self.stepped_at else 0.0
        self.stepped_at = now
        self._forget(now)
        if self.volunteered and self._outranked():
            self.volunteered = False
            self.volunteer_at = 0.0
        if not self.volunteered:
            self._consider(now)
        return self._beat(now) if self.volunteered and now >= self.beat_at else None

    def rest(self, until: float) -> None:
        """Resign and leave the watch to others until then."""
        self.volunteered = False
        self.volunteer_at = 0.0
        self.rest_until = until

    def _outranked(self) -> bool:
        better = [watcher for watcher in self.expires_at if watch_score(self.zone, watcher) > self.score]
        return len(better) >= WATCHERS

    def _consider(self, now: float) -> None:
        if len(self.expires_at) >= WATCHERS or now < self.rest_until:
            self.volunteer_at = 0.0
        elif not self.volunteer_at:
            self.volunteer_at = now + self._delay()
        elif now >= self.volunteer_at:
            self.volunteered = True
            self.volunteer_at = 0.0
            self.beat_at = now
            self.settled_at = now + SETTLE_SECONDS

    def _delay(self) -> float:
        return (1 - self.score) * VOLUNTEER_SPREAD

    def _beat(self, now: float) -> WatchBeat:
        self.sequence += 1
        self.beat_at = now + BEAT_INTERVAL
        return WatchBeat(self.zone, self.watcher, self.sequence)

    def _forget(self, now: float) -> None:
        self.expires_at = {watcher: expiry for watcher, expiry in self.expires_at.items() if expiry > now}
        if len(self.sequences) > len(self.expires_at) + MAX_FORMER_WATCHERS:
            self.sequences = {watcher: self.sequences[watcher] for watcher in self.expires_at}
