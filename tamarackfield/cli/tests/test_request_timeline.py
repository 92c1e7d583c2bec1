"""Timeline of a request from the logs of several processes."""

from click.testing import CliRunner

from tamarackfield.cli.main import main

ENTRY_LOG = """\
time=2026-01-01T00:00:01.000 level=info event=configuration_in_force instance=entry-1 version=7 routes=4
time=2026-01-01T00:00:02.000 level=warning event=store_lost instance=entry-1 error="no answer"
time=2026-01-01T00:00:03.000 level=info event=chosen instance=entry-1 request_id=r1 target=t1 listed_age_ms=900
time=2026-01-01T00:00:03.400 level=info event=request instance=entry-1 request_id=r1 target=t1 ending="502 unknown"
time=2026-01-01T00:00:03.500 level=info event=request instance=entry-1 request_id=r2 target=t2 ending=answered
time=2026-01-01T00:00:09.000 level=info event=configuration_in_force instance=entry-1 version=8 routes=4
"""
SIDECAR_LOG = """\
time=2026-01-01T00:00:03.100 level=info event=granted instance=side-1 request_id=r1 waited_ms=50
not a line of ours
"""


def write_logs(directory):
    """Write both logs and return their paths."""
    paths = (directory / 'entry.log', directory / 'side.log')
    for path, text in zip(paths, (ENTRY_LOG, SIDECAR_LOG), strict=True):
        path.write_text(text)
    return [str(path) for path in paths]


def test_timeline_is_ordered_across_processes_and_shows_their_earlier_state(tmp_path):
    result = CliRunner().invoke(main, ['explain-log', 'r1', *write_logs(tmp_path)])
    assert result.exit_code == 0
    shown_events = [line.split()[2] for line in result.output.splitlines() if line.startswith('2026')]
    assert shown_events == ['configuration_in_force', 'store_lost', 'chosen', 'granted', 'request']
    assert 'version=7' in result.output
    assert 'version=8' not in result.output
    assert 'r2' not in result.output


def test_timeline_from_standard_input():
    result = CliRunner().invoke(main, ['explain-log', 'r2'], input=ENTRY_LOG)
    assert 'ending=answered' in result.output


def test_unknown_request_has_its_own_exit_code():
    assert CliRunner().invoke(main, ['explain-log', 'r9'], input=ENTRY_LOG).exit_code == 5
