"""Load reports: only changes are sent, at a total rate below the limit for any number of entries."""

from tamarackfield.wire import Holdings, LoadReport, encode
from tamarackfield.wire.reporting import (
    REPORT_BYTES,
    REPORT_BYTES_PER_SECOND,
    SentState,
    report_interval_seconds,
    send_changed_reports,
)


class RecordingStream:
    """Records the messages that are sent."""

    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(message)


def make_report(unix_ms=1_800_000_000_000, running=3):
    return LoadReport(unix_ms, 2**62, True, 8, running, 20, 8, 4, 250, 900, 12)


def test_unchanged_reports_are_not_sent_again():
    stream = RecordingStream()
    sent = SentState()
    holdings = Holdings(['a@v1'], [])
    send_changed_reports(stream, sent, holdings, make_report())
    assert stream.messages == [holdings, make_report()]
    send_changed_reports(stream, sent, Holdings(['a@v1'], []), make_report(unix_ms=1_800_000_000_100))
    assert len(stream.messages) == 2
    send_changed_reports(stream, sent, holdings, make_report(running=4))
    assert stream.messages[2:] == [make_report(running=4)]
    send_changed_reports(stream, sent, Holdings([], ['b@v1']), make_report(running=4))
    assert stream.messages[3:] == [Holdings([], ['b@v1'])]


def test_total_rate_of_all_streams_stays_below_the_limit():
    assert len(encode(make_report())) <= REPORT_BYTES
    for stream_count in (1, 10, 12, 100, 1000):
        assert stream_count * REPORT_BYTES / report_interval_seconds(stream_count) <= REPORT_BYTES_PER_SECOND + 1e-6
