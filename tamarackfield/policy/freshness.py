"""Proof that the configuration in force is recent enough to decide by its API keys.

A key that the store's configuration no longer has must not run requests that are sent later than a bound after the
change. An entry learns of the change only if it is in contact with the store, so it lets a key run requests only while
it can prove that its configuration was current within the bound. The proof is a point in time on the entry's own clock:
every change that the store had acknowledged by then is in force.
"""

import enum
import math
from dataclasses import dataclass

#: Part of the bound that is kept in reserve for clocks that run at different rates and for rounded ages.
MARGIN_SHARE = 0.02
#: Upper bound of the round trips in the margin, as a share of the bound; a call during which the process stood still
#: looks like a slow store.
MAX_ROUND_TRIP_SHARE = 0.1
#: Weight that the longest round trip keeps with each further answer; 20 answers after a slow one it counts a tenth.
ROUND_TRIP_DECAY = 0.9
#: Seconds after a new era of the store in which a round of questions without any answer does not confirm it. Longer
#: than most partitions; an entry whose peers have all ended for good serves again afterwards.
CONFIRM_SECONDS = 10.0
#: Age of the proof from which peers are asked, as a share of the bound: while the store answers, later than two watches
#: and a pause between them, so that an entry in contact with it asks nobody; and while it does not answer.
ASK_SHARE = 0.7
ASK_SHARE_WITHOUT_STORE = 0.2
#: Seconds between two checks of the store beside the watch; a stream of unknown keys costs one call a second.
CHECK_INTERVAL_SECONDS = 1.0


class KeyVerdict(enum.Enum):
    """What is known of an API key."""

    ACCEPTED = 'accepted'
    UNKNOWN = 'unknown'
    UNPROVEN = 'unproven'
    DOUBTFUL = 'doubtful'


@dataclass(slots=True)
class FreshnessProof:
    """Point in time as of which the configuration in force is known to be current; times in monotonic seconds.

    Parameters
    ----------
    required : bool
        Whether a known key needs the proof.
    revoke_seconds : float
        Time after the removal of a key from which no request with it may run.
    apply_seconds : float
        Time within which a changed configuration must be in force.
    proven_at : float
        Every change acknowledged by then is in force.
    confirmed_era : int or None
        Era of the store up to which peers were asked for changes that the store may have lost; None before the first.
    held_era : int or None
        Later era that the store stated in its last answers; None if there is none.
    held_at : float
        As `proven_at`, by the answers of that era; it counts once the era is confirmed.
    held_since : float
        Time of the first answer of that era.
    round_trip_seconds : float
        Longest recent round trip of a call of the store.

    Examples
    --------
    >>> proof = FreshnessProof(required=True, revoke_seconds=5.0, apply_seconds=3.0)
    >>> proof.record_store(100.0, era=1, now=100.0)
    >>> proof.is_proven(101.0)
    False
    >>> proof.record_round(1, answered=True, now=101.0)
    >>> proof.is_proven(101.0), proof.is_proven(104.8), proof.is_proven(105.0)
    (True, True, False)
    """

    required: bool = False
    revoke_seconds: float = math.inf
    apply_seconds: float = math.inf
    proven_at: float = -math.inf
    confirmed_era: int | None = None
    held_era: int | None = None
    held_at: float = -math.inf
    held_since: float = 0.0
    round_trip_seconds: float = 0.0

    def record_round_trip(self, seconds: float) -> None:
        """Record the round trip of a call of the store."""
        self.round_trip_seconds = max(seconds, ROUND_TRIP_DECAY * self.round_trip_seconds)

    def record_store(self, sent_at: float, era: int, now: float) -> None:
        """Record that an answer of the store is in force; the call was sent at a given time.

        A store that came back from an older copy may lack acknowledged changes, so answers of a new era do not count
        before peers were asked for these.
        """
        if era == self.confirmed_era:
            self.proven_at = max(self.proven_at, sent_at)
            return
        if era != self.held_era:
            self.held_era = era
            self.held_at = sent_at
            self.held_since = now
        self.held_at = max(self.held_at, sent_at)

    def record_peer(self, asked_at: float, age_seconds: float) -> None:
        """Record the statement of a peer, asked at a given time, whose configuration is not newer, on its own proof."""
        self.proven_at = max(self.proven_at, asked_at - age_seconds)

    def record_round(self, era: int | None, answered: bool, now: float) -> None:
        """Record that peers were asked since the store stated an era; ``answered`` is whether any of them did.

        The first era of a process is confirmed without an answer, so that a site can start with a single entry.
        """
        if era is None or era != self.held_era:
            return
        if answered or self.confirmed_era is None or now > self.held_since + CONFIRM_SECONDS:
            self.confirmed_era = era
            self.held_era = None
            self.proven_at = max(self.proven_at, self.held_at)

    def is_proven(self, now: float) -> bool:
        """Return whether a key of the configuration in force may run requests now."""
        return not self.required or self.age_seconds(now) <= self._limit_age(self.revoke_seconds)

    def needs_peers(self, store_answers: bool, now: float) -> bool:
        """Return whether peers are to be asked: the proof may expire before the store renews it."""
        if self.held_era is not None:
            return True
        share = ASK_SHARE if store_answers else ASK_SHARE_WITHOUT_STORE
        return self.required and self.age_seconds(now) > share * self.revoke_seconds

    def age_seconds(self, now: float) -> float:
        """Return the age of the proof; infinite without one."""
        return now - self.proven_at

    def judge(self, is_known: bool, received_at: float, store_answers: bool, now: float) -> KeyVerdict:
        """Return what is known of a key.

        Parameters
        ----------
        is_known : bool
            Whether the configuration in force has it.
        received_at : float
            Time at which the request with the key arrived.
        store_answers : bool
            Whether the store answers this entry.
        now : float
            Present time.
        """
        if is_known:
            return KeyVerdict.ACCEPTED if self.is_proven(now) else KeyVerdict.UNPROVEN
        if self.proven_at >= received_at:
            return KeyVerdict.UNKNOWN
        # A key that was added later than the proof need not be in force yet.
        if store_answers and self.age_seconds(now) <= self._limit_age(self.apply_seconds):
            return KeyVerdict.UNKNOWN
        return KeyVerdict.DOUBTFUL

    def _limit_age(self, bound_seconds: float) -> float:
        """Return the oldest age of a proof that keeps a bound.

        A change that the store has acknowledged may be visible to calls a round trip later.
        """
        round_trip_seconds = min(self.round_trip_seconds, MAX_ROUND_TRIP_SHARE * bound_seconds)
        return (1 - MARGIN_SHARE) * bound_seconds - round_trip_seconds
