"""The story of a request from logs of several processes."""

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


def test_story_is_in_order_over_processes_and_holds_what_was_believed_before(tmp_path):
    outcome = CliRunner().invoke(main, ['explain-log', 'r1', *write_logs(tmp_path)])
    assert outcome.exit_code == 0
    told = [line.split()[2] for line in outcome.output.splitlines() if line.startswith('2026')]
    assert told == ['configuration_in_force', 'store_lost', 'chosen', 'granted', 'request']
    assert 'version=7' in outcome.output
    assert 'version=8' not in outcome.output
    assert 'r2' not in outcome.output


def test_story_from_standard_input():
    outcome = CliRunner().invoke(main, ['explain-log', 'r2'], input=ENTRY_LOG)
    assert 'ending=answered' in outcome.output


def test_unknown_request_has_an_exit_code_of_its_own():
    assert CliRunner().invoke(main, ['explain-log', 'r9'], input=ENTRY_LOG).exit_code == 5
