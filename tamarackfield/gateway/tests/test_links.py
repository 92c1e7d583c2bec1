"""Links to sidecars: streams that close during use, and facts that are sent."""

import asyncio

from tamarackfield.core.time_limits import listening_seconds
from tamarackfield.gateway.links import ManagerLink, ReservationRequest, raise_versions
from tamarackfield.wire.reservations import Facts, Granted
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


RESERVATION = ReservationRequest('r1', 'base/a1', 1, 0, 5.0, 1.0, 10, redirectable=False)


async def start_reservation(link):
    """Reserve a slot; return the task once the sidecar was asked."""
    link.stream = OpenStream()
    link.stream.last_received_at = listening_seconds()
    reserving = asyncio.create_task(link.reserve(RESERVATION))
    await asyncio.sleep(0)
    return reserving


async def test_reservation_that_waits_is_sent_again_with_a_newer_version_once():
    link = make_link()
    reserving = await start_reservation(link)
    for _ in range(2):
        raise_versions(link, {'base/a1': 2, 'base/a2': 9})
    assert [(message.request_id, message.version) for message in link.stream.sent] == [(1, 1), (1, 2)]
    link.handle_message(Granted(1, 2, 0))
    assert (await reserving)[1].version == 2
    raise_versions(link, {'base/a1': 3})
    assert len(link.stream.sent) == 2
