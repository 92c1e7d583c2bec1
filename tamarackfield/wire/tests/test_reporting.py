"""Reports say what changed, and stay below the byte limit however many entries there are."""

from tamarackfield.wire import Holdings, LoadReport, encode
from tamarackfield.wire.reporting import (
    REPORT_BYTES,
    REPORT_BYTES_PER_SECOND,
    Sent,
    report_interval,
    send_changes,
)


class RecordingStream:
    """Keeps what was sent."""

    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(message)


def make_report(unix_ms=1_800_000_000_000, running=3):
    return LoadReport(unix_ms, 2**62, True, 8, running, 20, 8, 4, 250, 900, 12)


def test_only_changes_are_sent():
    stream = RecordingStream()
    sent = Sent()
    holdings = Holdings(['a@v1'], [])
    send_changes(stream, sent, holdings, make_report())
    assert stream.messages == [holdings, make_report()]
    send_changes(stream, sent, Holdings(['a@v1'], []), make_report(unix_ms=1_800_000_000_100))
    assert len(stream.messages) == 2
    send_changes(stream, sent, holdings, make_report(running=4))
    assert stream.messages[2:] == [make_report(running=4)]
    send_changes(stream, sent, Holdings([], ['b@v1']), make_report(running=4))
    assert stream.messages[3:] == [Holdings([], ['b@v1'])]


def test_all_streams_together_stay_below_the_limit():
    assert len(encode(make_report())) <= REPORT_BYTES
    for streams in (1, 10, 12, 100, 1000):
        assert streams * REPORT_BYTES / report_interval(streams) <= REPORT_BYTES_PER_SECOND + 1e-6
