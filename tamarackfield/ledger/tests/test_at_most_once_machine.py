"""State machine of the ledger and its recovery: kills, cuts, late answers, moved homes and lagging entries.

The model keeps what the targets really ran. Each home knows only its ledger and its coverage;
tries reach it by whatever bundle an entry has.
"""

from dataclasses import dataclass, field

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackfield.ledger import (
    Answer,
    Coverage,
    Ledger,
    LedgerFullError,
    Proof,
    RecordState,
    issue_key,
    request_fingerprint,
)
from tamarackfield.policy.placement import home_target

HORIZON = 100.0
CALLER = 'clinic'
NAMES = ('t1', 't2', 't3')
TARGET_SETS = st.sampled_from([frozenset(('t1',)), frozenset(('t1', 't2')), frozenset(('t2', 't3')), frozenset(NAMES)])
NAME_SETS = st.sets(st.sampled_from(NAMES), max_size=2)
CHOSEN_KEYS = st.sampled_from([f'key-{number}' for number in range(4)])
PROGRESS = st.sampled_from(['queued', 'left', 'answered', 'answered', 'lost'])
INDEXES = st.integers(min_value=0, max_value=30)
FINGERPRINT = request_fingerprint('POST', '/bookings', b'{}')


@dataclass
class Home:
    """One incarnation of a home's sidecar."""

    coverage: Coverage
    ledger: Ledger = field(default_factory=lambda: Ledger(max_records=6))


@dataclass
class Run:
    """One call under way at a target."""

    key: str
    home: Home
    left: bool = False


class AtMostOnceMachine(RuleBasedStateMachine):
    """Drives three homes as the sidecars do."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.incarnations = 0
        self.bundles = [frozenset(NAMES)]
        self.homes = {}
        self.ran = {}
        self.first_tried = {}
        self.generations = {}
        self.runs = []
        self.issued = []
        for name in NAMES:
            self.start(name, len(self.bundles))
        self.now += HORIZON

    def start(self, name, number):
        self.incarnations += 1
        coverage = Coverage(name, self.incarnations, self.now, HORIZON)
        coverage.apply_targets(self.bundles[number - 1], number, self.now)
        self.homes[name] = Home(coverage)

    @rule(seconds=st.sampled_from([0.0, 1.0, HORIZON / 2, HORIZON + 1]))
    def pass_time(self, seconds):
        """Let time pass; no home lags behind the bundle for as long as the horizon."""
        if seconds > 1:
            for name in NAMES:
                self.catch_up(name)
        self.now += seconds

    @rule(members=TARGET_SETS, reached=NAME_SETS)
    def publish(self, members, reached):
        """Put a bundle into force at some homes; the others lag."""
        self.bundles.append(members)
        for name in reached:
            self.catch_up(name)

    @rule(name=st.sampled_from(NAMES))
    def catch_up(self, name):
        """Put the newest bundle into force at a home that may have missed some."""
        coverage = self.homes[name].coverage
        if coverage.bundle_number < len(self.bundles):
            coverage.apply_targets(self.bundles[-1], len(self.bundles), self.now)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name):
        """Restart a home; the calls that it has sent go on at the target."""
        old = self.homes[name]
        self.runs = [run for run in self.runs if run.home is not old or run.left]
        self.start(name, len(self.bundles))

    @rule(name=st.sampled_from(NAMES))
    def issue(self, name):
        coverage = self.homes[name].coverage
        self.issued.append(str(issue_key(name, coverage.incarnation, coverage.uptime_ms(self.now))))

    @rule(key=CHOSEN_KEYS, lag=st.integers(0, 2), cut=NAME_SETS, progress=PROGRESS)
    def try_chosen(self, key, lag, cut, progress):
        """Try a caller's key by the bundle of an entry that lags, while some earlier homes are away."""
        key = self.renewed(key)
        self.first_tried.setdefault(key, self.now)
        targets = self.bundles[max(0, len(self.bundles) - 1 - lag)]
        self.submit(home_target(f'{CALLER}|{key}', targets), key, cut, progress)

    def renewed(self, key):
        """Return a new key in place of one that was first tried a horizon ago."""
        generation = self.generations.setdefault(key, 0)
        if self.now - self.first_tried.get(f'{key}-{generation}', self.now) >= HORIZON:
            self.generations[key] = generation + 1
        return f'{key}-{self.generations[key]}'

    @rule(index=INDEXES, progress=PROGRESS)
    def try_issued(self, index, progress):
        """Try an issued key, at any age."""
        if self.issued:
            key = self.issued[index % len(self.issued)]
            self.submit(key.split(':')[1], key, set(), progress)

    def submit(self, name, key, cut, progress):
        home = self.homes[name]
        scoped_key = f'{CALLER}|{key}'
        if home.ledger.find_record(scoped_key, self.now) is not None or not self.is_proved(home, key, scoped_key, cut):
            return
        try:
            home.ledger.admit(scoped_key, FINGERPRINT, self.now + HORIZON, self.now)
        except LedgerFullError:
            self.refuse(key)
            return
        run = Run(key, home)
        self.runs.append(run)
        if progress != 'queued':
            self.leave(run)
        if progress in {'answered', 'lost'}:
            self.finish(run, lost=progress == 'lost')

    def is_proved(self, home, key, scoped_key, cut):
        proof_result = home.coverage.classify_key(CALLER, key, self.now)
        if proof_result.proof is Proof.NEVER_RAN:
            return True
        if proof_result.proof is not Proof.EARLIER_HOME or not proof_result.earlier_homes:
            return False
        holder = f'{home.coverage.target}:{home.coverage.incarnation}'
        given = [name not in cut and self.ask(name, scoped_key, holder) for name in proof_result.earlier_homes]
        return all(given)

    def ask(self, name, scoped_key, holder):
        home = self.homes[name]
        if not home.coverage.can_hand_over(scoped_key, self.now):
            return False
        return home.ledger.hand_over(scoped_key, holder, self.now + HORIZON, self.now)

    def refuse(self, key):
        """Answer ``not_run``."""
        assert key not in self.ran

    @rule(index=INDEXES)
    def dispatch(self, index):
        waiting = [run for run in self.runs if not run.left]
        if not waiting:
            return
        self.leave(waiting[index % len(waiting)])

    def leave(self, run):
        """Send the call to the target, which runs it."""
        run.home.ledger.mark_dispatched(f'{CALLER}|{run.key}')
        run.left = True
        self.ran[run.key] = self.ran.get(run.key, 0) + 1

    @rule(index=INDEXES)
    def withdraw(self, index):
        """Refuse a call that still waits in the queue."""
        waiting = [run for run in self.runs if not run.left]
        if waiting:
            run = waiting[index % len(waiting)]
            self.runs.remove(run)
            run.home.ledger.withdraw(f'{CALLER}|{run.key}')
            self.refuse(run.key)

    @rule(index=INDEXES, lost=st.booleans())
    def end(self, index, lost):
        """Let an answer come back, however late, or break off."""
        left = [run for run in self.runs if run.left]
        if not left:
            return
        self.finish(left[index % len(left)], lost=lost)

    def finish(self, run, *, lost):
        self.runs.remove(run)
        scoped_key = f'{CALLER}|{run.key}'
        if self.homes[run.home.coverage.target] is not run.home:
            return
        if lost:
            run.home.ledger.mark_lost(scoped_key)
        else:
            run.home.ledger.store_answer(scoped_key, Answer(200, [], b'{}'))

    @invariant()
    def no_key_runs_twice(self):
        assert all(count == 1 for count in self.ran.values()), self.ran

    @invariant()
    def ledgers_are_bounded(self):
        for home in self.homes.values():
            assert len(home.ledger.records) <= home.ledger.max_records
            sizes = sum(len(key.encode()) for key in home.ledger.records)
            assert home.ledger.key_bytes == sizes
            kept = [record.answer for record in home.ledger.records.values() if record.answer is not None]
            assert home.ledger.answer_bytes == sum(len(answer.body) for answer in kept)
            for record in home.ledger.records.values():
                assert record.state is not RecordState.ANSWERED or record.answer is not None


AtMostOnceMachine.TestCase.settings = hypothesis.settings(max_examples=400, stateful_step_count=40)
TestAtMostOnceMachine = AtMostOnceMachine.TestCase
