"""Links to sidecars whose stream ends under them."""

from tamarackfield.gateway.links import ManagerLink
from tamarackfield.wire.grants import Facts
from tamarackfield.wire.stream import StreamClosedError

FACTS = Facts(1, 't1', 1, 8, 4, 1000, ['base'], [900], [10], 100)


class ClosedStream:
    """A stream that closed before its link has noticed."""

    def send(self, message):
        raise StreamClosedError('stream is closed', step='send')


class OpenStream:
    """A stream that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def make_link():
    return ManagerLink(('127.0.0.1', 1), lambda: None, lambda: FACTS, lambda: None)


def test_stream_that_has_just_closed_does_not_stop_what_tells_all_links():
    link = make_link()
    link.stream = ClosedStream()
    link.tell_facts()
    assert link.told is None


def test_facts_are_told_once():
    link = make_link()
    link.stream = OpenStream()
    link.tell_facts()
    link.tell_facts()
    assert link.stream.sent == [FACTS]
