"""Probes of a quarantine: single requests that are sent to find out whether targets crash on what was condemned.

Load pattern: a sound request that many callers send alike, or a sound part that many prompts share, is in flight at
most crashes of other causes, and is condemned for them at all entries at the same time. One probe shows whether that
was right; it must come soon, and entries that are not known to each other must not each send one.

An entry that has such a request claims the next probe, and refuses the request. The claim spreads with the evidence of
the crashes. Once it has had the time to reach all, those who claimed have turns in the order of rendezvous; the first
that gets a further request in its turn sends it. It says so before, in the same way, and between two turns is the time
that this takes.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from tamarackfield.policy.crashes import MAX_PROBES, ProbeMark
from tamarackfield.policy.ring import order_by_rendezvous

#: Mean time in seconds between the claims of two entries; a claim suppresses the later ones that it reaches in time.
CLAIM_SPREAD_SECONDS = 0.04
#: Seconds in which two claims that were made without knowing of each other are known to all: twice what a mark takes,
#: which is 0.1 to 0.3 s with sidecars.
CLAIM_SETTLE_SECONDS = 0.8
#: What is added for each entry without sidecars: marks reached the last of 68 entries in up to 2.9 s.
SETTLE_SECONDS_PER_ENTRY = 0.08
#: Seconds of a turn: a request that many callers send comes to each entry about once a second.
TURN_SECONDS = 2.0
#: Turns after the latest claim in which no other entry claims: each claim changes the order of the turns.
CLAIM_TURNS = 3
#: Seconds after a probe from which the next one may follow if its result was lost or not clear.
PROBE_INTERVAL_SECONDS = 6.0
#: The same after a crash that confirmed the verdict, in case that it had some other cause.
CONFIRMED_INTERVAL_SECONDS = 60.0
#: Age in seconds of a run of another request up to which it shows that the service itself works.
CONTROL_SECONDS = 3.0
#: Seconds in which a probe waits for such a run: in a crash loop of all targets, a probe crashes whatever it asks for.
MAX_CONTROL_WAIT_SECONDS = 15.0
#: Limit of the claims whose times are remembered.
MAX_REMEMBERED = 1024


class ProbeStep(Enum):
    """What an entry does with a request in quarantine."""

    REFUSE = 'refuse'
    CLAIM = 'claim'
    SEND = 'send'


@dataclass(frozen=True, slots=True)
class ProbeCase:
    """What is known of a culprit when one of its requests comes.

    Parameters
    ----------
    parts : frozenset of str
        Parts of the culprit.
    found_at : float
        Monotonic seconds at which this process found it.
    marks : frozenset of ProbeMark
        Claims and sent probes that are known.
    crashed : int
        Number of probes that crashed their targets.
    is_confirmed : bool
        Whether one of these crashes confirmed the verdict.
    control_at : float
        Monotonic seconds of the latest sound run of another request of the service.
    entries : int
        Number of entries, whose claims are spread over time.
    has_sidecars : bool
        Whether sidecars spread the claims.
    """

    parts: frozenset[str]
    found_at: float
    marks: frozenset[ProbeMark]
    crashed: int = 0
    is_confirmed: bool = False
    control_at: float = 0.0
    entries: int = 1
    has_sidecars: bool = True

    def settle_seconds(self) -> float:
        """Return the seconds in which claims are known to all entries."""
        if self.has_sidecars:
            return CLAIM_SETTLE_SECONDS
        return CLAIM_SETTLE_SECONDS + self.entries * SETTLE_SECONDS_PER_ENTRY

    def turn_seconds(self) -> float:
        """Return the seconds from one turn to the next."""
        return TURN_SECONDS + self.settle_seconds()


class ProbeGate:
    """Decides which requests in quarantine are sent as probes by one entry.

    Parameters
    ----------
    entry : str
        Name of the entry, different from all others.
    rng : random.Random
        Source of the times of claims.

    Examples
    --------
    >>> gate, case = ProbeGate('e1', random.Random(1)), ProbeCase(frozenset('p'), 0.0, frozenset())
    >>> [gate.decide(case, now)[0].value for now in (15.0, 15.1)]
    ['refuse', 'claim']
    >>> case = ProbeCase(frozenset('p'), 0.0, frozenset((ProbeMark(frozenset('p'), 0, 'e1'),)), control_at=14.5)
    >>> [gate.decide(case, now)[0].value for now in (15.2, 16.1)]
    ['refuse', 'send']
    """

    def __init__(self, entry: str, rng: random.Random) -> None:
        """Create a gate that knows of no claims."""
        self.entry = entry
        self.rng = rng
        # Monotonic seconds at which each mark was first seen, and at which this entry claims a probe.
        self.seen_at: dict[ProbeMark, float] = {}
        self.claims_at: dict[ProbeMark, float] = {}

    def decide(self, case: ProbeCase, now: float) -> tuple[ProbeStep, ProbeMark]:
        """Return what is done with a request, and the mark that tells other entries of it."""
        number, ready_at = self._find_next(case, now)
        mark = ProbeMark(case.parts, number, self.entry)
        # Fewer crashes than probes: the request does not crash its targets each time, so that it costs few.
        is_used_up = number >= MAX_PROBES and case.crashed
        is_controlled = case.control_at >= max(case.found_at, now - CONTROL_SECONDS)
        if is_used_up or now < ready_at or not (is_controlled or now >= ready_at + MAX_CONTROL_WAIT_SECONDS):
            return ProbeStep.REFUSE, mark
        claims = [each for each in case.marks if not each.sent and each.number == number]
        own = next((each for each in claims if each.entry == self.entry), None)
        if own is None:
            return self._decide_claim(case, claims, mark, now), mark
        names = order_by_rendezvous('+'.join(sorted(case.parts)), {each.entry for each in claims})
        turn, since = divmod(
            now - min(self.seen_at[each] for each in claims) - case.settle_seconds(), case.turn_seconds()
        )
        # A single one needs no time between its turns.
        is_turn = names[int(turn) % len(names)] == self.entry and (since < TURN_SECONDS or len(names) == 1)
        if turn < 0 or not is_turn:
            return ProbeStep.REFUSE, mark
        return ProbeStep.SEND, ProbeMark(case.parts, number, self.entry, sent=True)

    def _find_next(self, case: ProbeCase, now: float) -> tuple[int, float]:
        """Return the number of the next probe, and the monotonic seconds from which it may be sent."""
        for mark in case.marks:
            self.seen_at.setdefault(mark, now)
        _keep_latest(self.seen_at)
        sent = [mark for mark in case.marks if mark.sent]
        if not sent:
            return 0, case.found_at
        interval_seconds = CONFIRMED_INTERVAL_SECONDS if case.is_confirmed else PROBE_INTERVAL_SECONDS
        return len(sent), max(self.seen_at[mark] for mark in sent) + interval_seconds

    def _decide_claim(self, case: ProbeCase, others: Iterable[ProbeMark], mark: ProbeMark, now: float) -> ProbeStep:
        if mark not in self.claims_at:
            self.claims_at[mark] = now + self.rng.uniform(0, case.entries * CLAIM_SPREAD_SECONDS)
            _keep_latest(self.claims_at)
        taken_until = max((self.seen_at[other] + CLAIM_TURNS * case.turn_seconds() for other in others), default=0.0)
        return ProbeStep.CLAIM if now >= max(self.claims_at[mark], taken_until) else ProbeStep.REFUSE


def _keep_latest(times: dict[ProbeMark, float]) -> None:
    while len(times) > MAX_REMEMBERED:
        times.pop(next(iter(times)))
