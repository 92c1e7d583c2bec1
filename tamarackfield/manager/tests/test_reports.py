"""Reports to many entries: their cost must not grow with what one of them has already paid for."""

import math
from types import SimpleNamespace

from tamarackfield.manager.engine import EngineController
from tamarackfield.manager.server import ManagerServer
from tamarackfield.wire import codec
from tamarackfield.wire.messages import Hello, Holdings
from tamarackfield.wire.reporting import SentState, send_changed_reports
from tamarackfield.wire.reservations import EngineReport

ENTRIES = 5


class FakeWriter:
    """Writer of an open connection that is never full."""

    def __init__(self):
        self.transport = SimpleNamespace(get_write_buffer_size=int, abort=int)

    def get_extra_info(self, name):
        """Return that nothing is known."""

    def is_closing(self):
        """Return that the connection is open."""
        return False

    def write(self, content):
        """Drop the content."""


async def test_report_is_encoded_once_for_all_entries(monkeypatch):
    encoded = []

    def record_encoding(frame):
        encoded.append(frame[0])
        return b'frame'

    monkeypatch.setattr(codec.msgpack, 'packb', record_encoding)
    server = ManagerServer(EngineController(None), Hello('sidecar', 's1', 1, 'zone-a', 1, ''))
    server.report()
    server.report_cache_expires_at = math.inf
    streams = [server.make_stream(None, FakeWriter()) for _ in range(ENTRIES)]
    for stream in streams:
        send_changed_reports(stream, SentState(), server.holdings(), server.report())
    assert encoded == [Holdings.kind, EngineReport.kind]
    assert {stream.bytes_sent for stream in streams} == {2 * len(b'frame')}


def test_shared_encoder_encodes_every_message_as_the_plain_one_does():
    encode_once = codec.make_shared_encoder()
    for residents in (['a'], ['a'], ['b']):
        message = Holdings(residents, [])
        assert encode_once(message) == encode_once(message) == codec.encode(message)
