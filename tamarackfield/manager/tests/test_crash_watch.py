"""Runs that broke off are put down to the end of their engine, and no others."""

import pytest

from tamarackfield.manager.crash_watch import CRASH_LINK_SECONDS, LATE_REPORT_SECONDS, CrashWatch
from tamarackfield.wire.crash_reports import BrokenRun

ENDED_AT = 10.0


def make_run(started_ms=1, wrote_ms=0):
    return BrokenRun('t', started_ms, 'r', True, wrote_ms, ['a'], [])


@pytest.mark.parametrize(
    ('seconds_after_end', 'listed'),
    [
        (-CRASH_LINK_SECONDS - 0.1, 0),
        (-CRASH_LINK_SECONDS + 0.1, 1),
        (LATE_REPORT_SECONDS - 0.1, 1),
        (LATE_REPORT_SECONDS + 0.1, 0),
    ],
)
def test_run_is_put_down_to_an_end_that_is_close_to_its_break(seconds_after_end, listed):
    watch = CrashWatch()
    watch.record_end(1, ENDED_AT)
    watch.record_run(make_run(), ENDED_AT + seconds_after_end)
    assert len(watch.list_runs(1)) == listed


def test_runs_of_another_incarnation_are_not_listed_and_the_shortest_is_first():
    watch = CrashWatch()
    for run in (make_run(wrote_ms=900), make_run(wrote_ms=0), make_run(started_ms=2)):
        watch.record_run(run, ENDED_AT)
    assert watch.record_end(1, ENDED_AT)
    assert not watch.record_end(1, ENDED_AT + 1)
    assert [run.wrote_ms for run in watch.list_runs(1)] == [0, 900]
    assert watch.list_runs(2) == []
