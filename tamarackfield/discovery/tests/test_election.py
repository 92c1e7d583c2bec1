"""A zone elects few watchers and replaces those that are paused or resign."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackfield.discovery.election import SETTLE_SECONDS, WATCHERS_PER_ZONE, WatchElection

STEP_SECONDS = 0.1


class Zone:
    """Processes of one zone on a simulated clock; heartbeats reach all processes that are not paused at once."""

    def __init__(self, size):
        """Initialize with all processes running."""
        self.now = 100.0
        self.processes = [WatchElection('z', f'p{index}/1') for index in range(size)]
        self.paused = set()

    def advance(self, seconds):
        """Advance the clock and return the largest number of processes that could call simultaneously."""
        callers = 0
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for process in self.running():
                heartbeat = process.run_step(self.now)
                for other in self.running():
                    if heartbeat is not None:
                        other.receive_heartbeat(heartbeat, self.now)
            callers = max(callers, len(self.callers()))
        return callers

    def running(self):
        return [process for process in self.processes if process.watcher not in self.paused]

    def callers(self):
        return [process for process in self.running() if process.may_call(self.now)]


@given(st.integers(1, 30))
def test_zone_settles_on_the_desired_number_of_watchers(size):
    zone = Zone(size)
    assert zone.advance(3) <= WATCHERS_PER_ZONE
    assert len(zone.callers()) == min(size, WATCHERS_PER_ZONE)


@given(st.integers(3, 20), st.integers(1, 2))
def test_paused_watchers_are_replaced_within_three_seconds_and_resign_on_resume(size, paused):
    zone = Zone(size)
    zone.advance(3)
    zone.paused = {process.watcher for process in zone.callers()[:paused]}
    assert zone.advance(3) <= WATCHERS_PER_ZONE
    assert len(zone.callers()) == min(len(zone.running()), WATCHERS_PER_ZONE)
    zone.paused = set()
    zone.advance(STEP_SECONDS)
    assert len(zone.callers()) <= WATCHERS_PER_ZONE
    zone.advance(3)
    assert len(zone.callers()) == min(size, WATCHERS_PER_ZONE)


def test_suspended_watcher_is_replaced():
    zone = Zone(3)
    zone.advance(3)
    suspended_watcher = zone.callers()[0]
    suspended_watcher.suspend(zone.now + 4)
    zone.advance(3)
    assert len(zone.callers()) == WATCHERS_PER_ZONE
    assert suspended_watcher not in zone.callers()


def test_candidate_does_not_call_before_the_settling_time():
    election = WatchElection('z', 'a/1')
    now = 1.0
    while not election.is_candidate:
        now += STEP_SECONDS
        election.run_step(now)
    assert not election.may_call(now)
    assert election.may_call(now + SETTLE_SECONDS)
