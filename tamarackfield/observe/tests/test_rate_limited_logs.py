"""Rate limits and buffer limit of the non-blocking log sink."""

import os
from collections import UserString

import pytest

from tamarackfield.observe.rate_limited_logs import MAX_BUFFERED_BYTES, RateLimitedSink


class Message(UserString):
    """Log line in the form that loguru passes to a sink."""

    def __init__(self, event, text=''):
        """Create a line of an event with an optional text."""
        super().__init__(f'event={event} {text}\n')
        self.record = {'message': event}


@pytest.fixture
def pipe():
    """Return the descriptors of the read end and the write end of a pipe."""
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def test_many_lines_of_one_event_do_not_displace_another_event_and_are_counted(pipe):
    sink = RateLimitedSink(pipe[1], lines_per_second=3)
    for _ in range(10):
        sink(Message('flood'))
    sink(Message('rare'))
    sink.begin_second(sink.current_second + 1)
    written = os.read(pipe[0], 65_536).decode().splitlines()
    assert written.count('event=flood ') == 3
    assert 'event=rare ' in written
    assert written[-1] == 'event=lines_left_out kind=flood count=7'


def test_reader_that_does_not_read_does_not_block_the_sink(pipe):
    sink = RateLimitedSink(pipe[1], lines_per_second=1_000_000)
    line = Message('long', 'x' * 1000)
    for _ in range(2000):
        sink(line)
    assert len(sink.buffer) <= MAX_BUFFERED_BYTES
    assert sink.dropped_lines['long'] > 0
