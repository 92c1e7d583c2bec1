"""State machine that fails if a key runs twice, or if a key that ran is answered with ``not_run``.

The failures are restarts of sidecars, network partitions, late answers, changes of the targets and
entries with stale bundles. The model records what each target executed. Each home target has only
its ledger and its coverage; attempts are routed by the bundle that the entry has.
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

HORIZON_SECONDS = 100.0
CALLER = 'clinic'
NAMES = ('t1', 't2', 't3')
TARGET_SETS = st.sampled_from([frozenset(('t1',)), frozenset(('t1', 't2')), frozenset(('t2', 't3')), frozenset(NAMES)])
NAME_SETS = st.sets(st.sampled_from(NAMES), max_size=2)
CHOSEN_KEYS = st.sampled_from([f'key-{number}' for number in range(4)])
#: Progress of a call within one step; 'left' is dispatched and its answer is pending.
PROGRESS = st.sampled_from(['queued', 'left', 'answered', 'answered', 'lost'])
INDEXES = st.integers(min_value=0, max_value=30)
FINGERPRINT = request_fingerprint('POST', '/bookings', b'{}')


@dataclass
class Home:
    """One incarnation of the sidecar of a home target."""

    coverage: Coverage
    ledger: Ledger = field(default_factory=lambda: Ledger(max_records=6))


@dataclass
class Run:
    """One call that is queued or in progress at a target."""

    key: str
    home: Home
    dispatched: bool = False


class AtMostOnceMachine(RuleBasedStateMachine):
    """Drives the ledgers of three home targets as their sidecars do."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.incarnations = 0
        self.bundles = [frozenset(NAMES)]
        self.homes = {}
        self.run_counts = {}
        self.first_sent_at = {}
        self.generations = {}
        self.pending_runs = []
        self.issued = []
        for name in NAMES:
            self.start_home(name, len(self.bundles))
        self.now += HORIZON_SECONDS

    def start_home(self, name, number):
        self.incarnations += 1
        coverage = Coverage(name, self.incarnations, self.now, HORIZON_SECONDS)
        coverage.apply_targets(self.bundles[number - 1], number, self.now)
        self.homes[name] = Home(coverage)

    @rule(seconds=st.sampled_from([0.0, 1.0, HORIZON_SECONDS / 2, HORIZON_SECONDS + 1]))
    def pass_time(self, seconds):
        """Advance the clock; no home target keeps a stale bundle for as long as the horizon."""
        if seconds > 1:
            for name in NAMES:
                self.catch_up(name)
        self.now += seconds

    @rule(members=TARGET_SETS, reached=NAME_SETS)
    def publish(self, members, reached):
        """Publish a bundle that reaches some home targets; the others keep an older one."""
        self.bundles.append(members)
        for name in reached:
            self.catch_up(name)

    @rule(name=st.sampled_from(NAMES))
    def catch_up(self, name):
        """Apply the newest bundle at a home target that may have missed some."""
        coverage = self.homes[name].coverage
        if coverage.bundle_number < len(self.bundles):
            coverage.apply_targets(self.bundles[-1], len(self.bundles), self.now)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name):
        """Restart the sidecar of a home target; dispatched calls continue at the target."""
        old = self.homes[name]
        self.pending_runs = [run for run in self.pending_runs if run.home is not old or run.dispatched]
        self.start_home(name, len(self.bundles))

    @rule(name=st.sampled_from(NAMES))
    def issue(self, name):
        coverage = self.homes[name].coverage
        self.issued.append(str(issue_key(name, coverage.incarnation, coverage.uptime_ms(self.now))))

    @rule(key=CHOSEN_KEYS, bundle_lag=st.integers(0, 2), unreachable=NAME_SETS, progress=PROGRESS)
    def try_chosen(self, key, bundle_lag, unreachable, progress):
        """Send a caller-chosen key by a stale bundle, while some earlier home targets are unreachable."""
        key = self.renew_key(key)
        self.first_sent_at.setdefault(key, self.now)
        targets = self.bundles[max(0, len(self.bundles) - 1 - bundle_lag)]
        self.submit_call(home_target(f'{CALLER}|{key}', targets), key, unreachable, progress)

    def renew_key(self, key):
        """Return a key; it is replaced by a new one if it was first sent a horizon ago or earlier."""
        generation = self.generations.setdefault(key, 0)
        if self.now - self.first_sent_at.get(f'{key}-{generation}', self.now) >= HORIZON_SECONDS:
            self.generations[key] = generation + 1
        return f'{key}-{self.generations[key]}'

    @rule(index=INDEXES, progress=PROGRESS)
    def try_issued(self, index, progress):
        """Send an issued key of any age."""
        if self.issued:
            key = self.issued[index % len(self.issued)]
            self.submit_call(key.split(':')[1], key, set(), progress)

    def submit_call(self, name, key, unreachable, progress):
        home = self.homes[name]
        scoped_key = f'{CALLER}|{key}'
        if home.ledger.find_record(scoped_key, self.now) is not None or not self.prove_never_ran(
            home, key, scoped_key, unreachable
        ):
            return
        try:
            home.ledger.admit(scoped_key, FINGERPRINT, self.now + HORIZON_SECONDS, self.now)
        except LedgerFullError:
            self.check_never_ran(key)
            return
        run = Run(key, home)
        self.pending_runs.append(run)
        if progress != 'queued':
            self.dispatch_run(run)
        if progress in {'answered', 'lost'}:
            self.finish_run(run, lost=progress == 'lost')

    def prove_never_ran(self, home, key, scoped_key, unreachable):
        proof_result = home.coverage.classify_key(CALLER, key, self.now)
        if proof_result.proof is Proof.NEVER_RAN:
            return True
        if proof_result.proof is not Proof.EARLIER_HOME or not proof_result.earlier_homes:
            return False
        holder = f'{home.coverage.target}:{home.coverage.incarnation}'
        handed_over = [
            name not in unreachable and self.request_handover(name, scoped_key, holder)
            for name in proof_result.earlier_homes
        ]
        return all(handed_over)

    def request_handover(self, name, scoped_key, holder):
        home = self.homes[name]
        if not home.coverage.can_hand_over(scoped_key, self.now):
            return False
        return home.ledger.hand_over(scoped_key, holder, self.now + HORIZON_SECONDS, self.now)

    def check_never_ran(self, key):
        """Check that a key that is answered with ``not_run`` never ran."""
        assert key not in self.run_counts

    @rule(index=INDEXES)
    def dispatch(self, index):
        queued = [run for run in self.pending_runs if not run.dispatched]
        if not queued:
            return
        self.dispatch_run(queued[index % len(queued)])

    def dispatch_run(self, run):
        """Dispatch the call to the target, which executes it."""
        run.home.ledger.mark_dispatched(f'{CALLER}|{run.key}')
        run.dispatched = True
        self.run_counts[run.key] = self.run_counts.get(run.key, 0) + 1

    @rule(index=INDEXES)
    def withdraw(self, index):
        """Refuse a call that is still in the queue."""
        queued = [run for run in self.pending_runs if not run.dispatched]
        if queued:
            run = queued[index % len(queued)]
            self.pending_runs.remove(run)
            run.home.ledger.withdraw(f'{CALLER}|{run.key}')
            self.check_never_ran(run.key)

    @rule(index=INDEXES, lost=st.booleans())
    def end(self, index, lost):
        """Deliver the answer of a dispatched call, possibly late, or lose it."""
        dispatched = [run for run in self.pending_runs if run.dispatched]
        if not dispatched:
            return
        self.finish_run(dispatched[index % len(dispatched)], lost=lost)

    def finish_run(self, run, *, lost):
        self.pending_runs.remove(run)
        scoped_key = f'{CALLER}|{run.key}'
        if self.homes[run.home.coverage.target] is not run.home:
            return
        if lost:
            run.home.ledger.mark_lost(scoped_key)
        else:
            run.home.ledger.store_answer(scoped_key, Answer(200, [], b'{}'))

    @invariant()
    def no_key_runs_twice(self):
        assert all(count == 1 for count in self.run_counts.values()), self.run_counts

    @invariant()
    def ledgers_are_bounded(self):
        for home in self.homes.values():
            assert len(home.ledger.records) <= home.ledger.max_records
            sizes = sum(len(key.encode()) for key in home.ledger.records)
            assert home.ledger.key_bytes == sizes
            stored = [record.answer for record in home.ledger.records.values() if record.answer is not None]
            assert home.ledger.answer_bytes == sum(len(answer.body) for answer in stored)
            for record in home.ledger.records.values():
                assert record.state is not RecordState.ANSWERED or record.answer is not None


AtMostOnceMachine.TestCase.settings = hypothesis.settings(max_examples=400, stateful_step_count=40)
TestAtMostOnceMachine = AtMostOnceMachine.TestCase
