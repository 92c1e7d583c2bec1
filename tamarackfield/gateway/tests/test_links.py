"""Links to sidecars: streams that close during use, and facts that are sent."""

from tamarackfield.gateway.links import ManagerLink
from tamarackfield.wire.reservations import Facts
from tamarackfield.wire.stream import StreamClosedError

FACTS = Facts(1, 't1', 1, 8, 4, 1000, ['base'], [900], [10], 100)


class ClosedStream:
    """Stream that is closed although its link still refers to it."""

    def send(self, message):
        raise StreamClosedError('stream is closed', step='send')


class OpenStream:
    """Stream that stores the messages sent."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def make_link():
    return ManagerLink(('127.0.0.1', 1), lambda: None, lambda: [FACTS], lambda: None)


def test_closed_stream_does_not_raise_while_facts_are_sent_to_all_links():
    link = make_link()
    link.stream = ClosedStream()
    link.send_facts()
    assert link.sent_facts == {}


def test_unchanged_facts_are_not_sent_again():
    link = make_link()
    link.stream = OpenStream()
    link.send_facts()
    link.send_facts()
    assert link.stream.sent == [FACTS]
