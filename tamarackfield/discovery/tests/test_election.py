"""A zone settles on few watchers and replaces them, whoever dies, sleeps or joins."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackfield.discovery.election import SETTLE_SECONDS, WATCHERS, WatchElection

STEP = 0.1


class Zone:
    """Processes of one zone on a clock driven by the test; beats reach all but the paused at once."""

    def __init__(self, size):
        """Start with all processes running."""
        self.now = 100.0
        self.processes = [WatchElection('z', f'p{index}/1') for index in range(size)]
        self.paused = set()

    def step(self, seconds):
        """Let time pass and return the largest number of processes that could call at once."""
        callers = 0
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for process in self.running():
                beat = process.step(self.now)
                for other in self.running():
                    if beat is not None:
                        other.hear(beat, self.now)
            callers = max(callers, len(self.callers()))
        return callers

    def running(self):
        return [process for process in self.processes if process.watcher not in self.paused]

    def callers(self):
        return [process for process in self.running() if process.may_call(self.now)]


@given(st.integers(1, 30))
def test_zone_settles_on_few_watchers(size):
    zone = Zone(size)
    assert zone.step(3) <= WATCHERS
    assert len(zone.callers()) == min(size, WATCHERS)


@given(st.integers(3, 20), st.integers(1, 2))
def test_paused_watchers_are_replaced_within_three_seconds_and_resign_on_waking(size, paused):
    zone = Zone(size)
    zone.step(3)
    zone.paused = {process.watcher for process in zone.callers()[:paused]}
    assert zone.step(3) <= WATCHERS
    assert len(zone.callers()) == min(len(zone.running()), WATCHERS)
    zone.paused = set()
    zone.step(STEP)
    assert len(zone.callers()) <= WATCHERS
    zone.step(3)
    assert len(zone.callers()) == min(size, WATCHERS)


def test_resting_watcher_hands_over():
    zone = Zone(3)
    zone.step(3)
    rested = zone.callers()[0]
    rested.rest(zone.now + 4)
    zone.step(3)
    assert len(zone.callers()) == WATCHERS
    assert rested not in zone.callers()


def test_no_call_before_volunteers_have_settled():
    election = WatchElection('z', 'a/1')
    now = 1.0
    while not election.volunteered:
        now += STEP
        election.step(now)
    assert not election.may_call(now)
    assert election.may_call(now + SETTLE_SECONDS)
