"""A request on which targets crash is found as a whole; sound ones that run beside it are not refused."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

import pytest

from tamarackfield.policy.fingerprints import PREFIX
from tamarackfield.policy.crashes import Crash, SuspectRun, make_crash
from tamarackfield.policy.culprits import find_culprits
from tamarackfield.policy.quarantine import MAX_CRASHES, REQUEST_PROOF_SECONDS, Quarantine
from tamarackfield.policy.ring import Ring

#: Crashes by one request from which it is known, and number of its requests that may reach targets after that.
MAX_CRASHES_BY_REQUEST, MAX_LATE_RUNS = 3, 3
#: Time from the third crash after which every entry knows of it, in seconds.
CONTACT_SECONDS = 3.0
BAD, SOUND, OTHER = (f'{PREFIX}{name}' for name in ('bad', 'sound', 'other'))


def make_report(number, requests, suspected=()):
    """Return the report of a crash amid some requests."""
    return Crash(f't{number}', 1, 0, frozenset(requests), suspected=frozenset(suspected))


def test_request_that_was_sent_under_suspicion_and_crashed_again_is_a_culprit():
    crashes = [make_report(1, (BAD, SOUND)), make_report(2, (BAD,), (BAD,))]
    assert [culprit.parts for culprit in find_culprits(crashes, Counter())] == [frozenset((BAD,))]


def test_sound_request_that_was_repeated_beside_the_crashing_one_is_not_refused():
    quarantine = Quarantine()
    for number in (1, 2):
        quarantine.record_crash(make_report(number, (BAD, SOUND), (BAD, SOUND)), 0.0)
    assert quarantine.find_culprit((BAD,)) is None
    assert quarantine.find_culprit((SOUND,)) is None
    quarantine.record_crash(make_report(3, (BAD,), (BAD,)), 0.0)
    assert quarantine.find_culprit((BAD,)) is not None
    assert quarantine.find_culprit((SOUND,)) is None


def test_one_of_the_requests_that_share_three_crashes_is_refused_and_a_wrong_one_is_released():
    quarantine = Quarantine()
    for number in (1, 2, 3):
        quarantine.record_crash(make_report(number, (BAD, SOUND), (BAD, SOUND)), 0.0)
    assert len(quarantine.culprits) == 1
    quarantine.record_crash(make_report(4, (BAD,), (BAD,)), 0.0)
    assert [culprit.parts for culprit in quarantine.culprits] == [frozenset((BAD,))]


def test_prompt_part_of_a_crashing_request_is_not_refused_in_other_requests():
    quarantine = Quarantine()
    for number in (1, 2):
        quarantine.record_crash(make_report(number, (BAD, 'p'), (BAD, 'p')), 0.0)
    assert quarantine.find_culprit((BAD, 'p')) is not None
    assert quarantine.find_culprit((SOUND, 'p')) is None


def test_prompt_part_that_crashes_targets_in_a_repeated_request_is_found_in_further_ones():
    quarantine = Quarantine()
    for number, request in enumerate((BAD, BAD, SOUND)):
        quarantine.record_crash(make_report(number, (request, 'p'), ('p',)), 0.0)
    assert quarantine.find_culprit((OTHER, 'p')) is not None


def test_request_of_a_run_that_lasted_is_not_suspected():
    crash = make_crash('t1', 1, 0, [SuspectRun(frozenset((SOUND,)), wrote_seconds=1.0), SuspectRun(frozenset((BAD,)))])
    assert crash.suspects() == {BAD}


def test_request_that_has_run_before_is_not_refused_after_crashes_of_all_targets():
    quarantine = Quarantine()
    quarantine.record_proof((SOUND,), 0.0)
    for number in range(5):
        quarantine.record_crash(make_report(number, (SOUND,), (SOUND,)), 10.0 + number)
    assert quarantine.find_culprit((SOUND,)) is None


def test_crashes_under_new_requests_each_time_keep_the_evidence_bounded():
    quarantine = Quarantine()
    for number in range(2 * MAX_CRASHES):
        request = f'{PREFIX}{number}'
        quarantine.record_crash(make_report(number, (request,)), float(number))
        quarantine.record_proof((f'{PREFIX}sound{number}',), float(number))
    assert len(quarantine.crashes) <= MAX_CRASHES
    assert len(quarantine.proven_at) <= REQUEST_PROOF_SECONDS
    assert not quarantine.culprits


def test_request_is_found_after_many_others_and_many_others_displace_none():
    quarantine = Quarantine()
    for number in range(MAX_CRASHES):
        request = f'{PREFIX}{number}'
        for incarnation in range(2):
            report = make_report(f'{number}-{incarnation}', (request,), (request,))
            quarantine.record_crash(report, float(number))
        assert quarantine.find_culprit((request,)) is not None
    for later in range(MAX_CRASHES):
        quarantine.record_crash(make_report(f'new{later}', (f'{PREFIX}new{later}',)), float(MAX_CRASHES + later))
    assert quarantine.find_culprit((request,)) is not None
    assert len(quarantine.crashes) <= MAX_CRASHES


@dataclass(frozen=True)
class Request:
    """One request of a caller; ``attempts_left`` is how often its entry may still send it.

    ``is_suspected`` is whether its entry has seen a run of it break off with a target.
    """

    fingerprint: str
    attempts_left: int = 2
    is_retry: bool = False
    is_suspected: bool = False


class PlainService:
    """Drawn history of a small service: one request crashes its targets among sound ones, some of them popular.

    Each crash is known everywhere after the same time. A run that breaks off is sent once more at once by its entry,
    and once more by its caller.

    Parameters
    ----------
    seed : int
        Equal seeds give equal histories.
    targets : int
        Number of targets.
    bad_interval : float
        Seconds between two arrivals of the crashing request, 0 for none.
    other_crashes : float
        Seconds between two crashes of another cause, 0 for none.
    """

    sound_per_second = 20.0
    popular_share = 0.3
    run_seconds = 0.1
    all_crash_share = 0.2
    restart_seconds = 3.0
    report_seconds = 0.1
    client_seconds = 0.2

    def __init__(self, seed, targets=3, bad_interval=0.4, other_crashes=0.0):
        self.rng = random.Random(seed)
        self.names = [f't{number}' for number in range(targets)]
        self.incarnations = dict.fromkeys(self.names, 1)
        self.down_until = dict.fromkeys(self.names, 0.0)
        self.runs = {name: {} for name in self.names}
        self.ring = Ring(dict.fromkeys(self.names, 1.0))
        self.bad_interval = bad_interval
        self.other_crashes = other_crashes
        self.quarantine = Quarantine()
        self.events = []
        self.numbers = itertools.count()
        self.crashes_by_bad = []
        self.bad_runs = []
        self.refused_sound = 0
        self.sent_sound = 0

    def at(self, time, action, *arguments):
        """Schedule an action."""
        heapq.heappush(self.events, (time, next(self.numbers), action, arguments))

    def play(self, seconds):
        """Play the history."""
        self.at(0.0, self.arrive)
        if self.bad_interval:
            self.at(5.0, self.arrive_bad)
        if self.other_crashes:
            self.at(self.rng.expovariate(1 / self.other_crashes), self.crash_any)
        while self.events[0][0] < seconds:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def arrive(self, now):
        """Draw a sound request and send it."""
        self.at(now + self.rng.expovariate(self.sound_per_second), self.arrive)
        name = 'popular' if self.rng.random() < self.popular_share else next(self.numbers)
        self.sent_sound += 1
        self.send(now, Request(f'{PREFIX}{name}'))

    def arrive_bad(self, now):
        """Send the crashing request."""
        self.at(now + self.rng.expovariate(1 / self.bad_interval), self.arrive_bad)
        self.send(now, Request(BAD))

    def send(self, now, request):
        """Send a request to a target that is up, unless it is in quarantine."""
        fingerprint = request.fingerprint
        if self.quarantine.find_culprit((fingerprint,)) is not None:
            self.refused_sound += fingerprint != BAD
            return
        live = [name for name in self.names if self.down_until[name] <= now]
        if not live:
            return
        isolated = self.quarantine.find_isolated_part((fingerprint,))
        names = self.ring.order(isolated) if isolated else (self.rng.choice(live),)
        target = next(name for name in names if name in live)
        number = next(self.numbers)
        is_suspected = request.is_suspected or fingerprint in self.quarantine.suspects
        self.runs[target][number] = (request, frozenset((fingerprint,) if is_suspected else ()))
        if fingerprint == BAD:
            self.bad_runs.append(now)
            self.at(now + self.run_seconds * 0.9, self.crash, target, self.incarnations[target], True)
        else:
            self.at(now + self.run_seconds, self.end, target, number, request)

    def end(self, now, target, number, request):
        """End a run, if its target lives."""
        if self.runs[target].pop(number, None) is not None:
            self.quarantine.record_proof((request.fingerprint,), now)

    def crash_any(self, now):
        """Crash one target, or all of them, for no reason of its requests."""
        self.at(now + self.rng.expovariate(1 / self.other_crashes), self.crash_any)
        every = self.rng.random() < self.all_crash_share
        for name in self.names if every else (self.rng.choice(self.names),):
            if self.down_until[name] <= now:
                self.crash(now, name, self.incarnations[name], by_bad=False)

    def crash(self, now, target, incarnation, by_bad):
        """Crash one target: the runs break off, and are sent once more."""
        if self.incarnations[target] != incarnation:
            return
        broken = list(self.runs[target].values())
        report = make_crash(
            target,
            incarnation,
            0,
            [
                SuspectRun(frozenset((run.fingerprint,)), has_begun=False, suspected=suspected)
                for run, suspected in broken
            ],
        )
        self.incarnations[target] += 1
        self.down_until[target] = now + self.restart_seconds
        self.runs[target].clear()
        if by_bad:
            self.crashes_by_bad.append(now)
        self.at(now + self.report_seconds, self.hear, report)
        for request, _ in broken:
            if request.attempts_left > 1:
                self.at(now + 0.003, self.send, Request(request.fingerprint, 1, request.is_retry, is_suspected=True))
            elif not request.is_retry:
                self.at(now + self.client_seconds, self.send, Request(request.fingerprint, 2, is_retry=True))

    def hear(self, now, report):
        """Let all entries hear of a crash."""
        self.quarantine.record_crash(report, now)

    def count_late_runs(self):
        """Return how often the crashing request reached targets after every entry could know of its third crash."""
        known_at = [at + CONTACT_SECONDS for at in self.crashes_by_bad[MAX_CRASHES_BY_REQUEST - 1 :]][:1]
        return sum(at > known_at[0] for at in self.bad_runs) if known_at else 0


@pytest.mark.parametrize('targets', [3, 4, 6])
def test_request_that_crashes_targets_is_kept_back_and_sound_ones_are_served(targets):
    refused, sent, crashes = 0, 0, []
    for seed in range(100):
        service = PlainService(seed, targets)
        service.play(60)
        assert service.count_late_runs() <= MAX_LATE_RUNS
        assert {culprit.parts for culprit in service.quarantine.culprits} == {frozenset((BAD,))}
        refused += service.refused_sound
        sent += service.sent_sound
        crashes.append(len(service.crashes_by_bad))
    assert refused <= sent / 1000
    assert sorted(crashes)[len(crashes) // 2] <= MAX_CRASHES_BY_REQUEST


def test_crashes_of_other_causes_put_no_sound_request_in_quarantine():
    refused, sent = 0, 0
    for seed in range(100):
        service = PlainService(seed, bad_interval=0, other_crashes=3.0)
        service.play(60)
        refused += service.refused_sound
        sent += service.sent_sound
    assert refused <= sent / 1000


def test_request_that_crashes_targets_is_found_beside_crashes_of_other_causes():
    refused, sent = 0, 0
    for seed in range(100):
        service = PlainService(seed, 4, other_crashes=5.0)
        service.play(60)
        assert service.count_late_runs() <= MAX_LATE_RUNS
        refused += service.refused_sound
        sent += service.sent_sound
    assert refused <= sent / 1000
