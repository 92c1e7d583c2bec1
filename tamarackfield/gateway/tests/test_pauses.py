"""Pauses of streams that an entry reports to the sidecar: those close to the objective of the route."""

import pytest

from tamarackfield.gateway.links import Reservation


class PauseRecorder:
    """Link that records the pauses reported on it."""

    def __init__(self):
        self.pauses = []

    def report_pause(self, number, seconds):
        """Record a pause."""
        self.pauses.append(seconds)


@pytest.mark.parametrize(('objective', 'reported'), [(0.25, [0.24, 0.3, 0.37]), (0.4, [0.37]), (0.3, [0.3, 0.37])])
def test_pauses_close_to_the_objective_of_the_route_are_reported(objective, reported):
    recorder = PauseRecorder()
    reservation = Reservation(recorder, longest_pause_seconds=objective)
    for seconds in (0.1, 0.2, 0.24, 0.3, 0.37):
        reservation.report_wait(seconds)
    assert recorder.pauses == reported
