"""Logs that are bounded and never wait."""

import os
from collections import UserString

import pytest

from tamarackfield.observe.bounded import MAX_WAITING_BYTES, BoundedSink


class Message(UserString):
    """A line as loguru hands it to a sink."""

    def __init__(self, event, text=''):
        """Keep the event beside the text."""
        super().__init__(f'event={event} {text}\n')
        self.record = {'message': event}


@pytest.fixture
def pipe():
    """Return both ends of a pipe."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_flood_of_one_event_does_not_hide_another_and_is_counted(pipe):
    sink = BoundedSink(pipe[1], lines_per_second=3)
    for _ in range(10):
        sink(Message('flood'))
    sink(Message('rare'))
    sink.begin_second(sink.second + 1)
    written = os.read(pipe[0], 65_536).decode().splitlines()
    assert written.count('event=flood ') == 3
    assert 'event=rare ' in written
    assert written[-1] == 'event=lines_left_out kind=flood count=7'


def test_reader_that_does_not_read_makes_nothing_wait(pipe):
    sink = BoundedSink(pipe[1], lines_per_second=1_000_000)
    line = Message('long', 'x' * 1000)
    for _ in range(2000):
        sink(line)
    assert len(sink.waiting) <= MAX_WAITING_BYTES
    assert sink.left_out['long'] > 0
