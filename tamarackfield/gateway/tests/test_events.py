"""Splitting of event streams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackfield.gateway.events import MAX_COMMENTS, EventSplitter, event_number

LINE_ENDS = (b'\n', b'\r\n', b'\r')


@pytest.mark.parametrize('line_end', LINE_ENDS)
@given(cuts=st.lists(st.integers(min_value=0, max_value=60), max_size=6))
def test_events_with_any_line_end_are_split_wherever_chunks_begin(line_end, cuts):
    events = [b'id: %d%sdata: event %d' % (number, line_end, number) + 2 * line_end for number in (1, 2, 3)]
    stream = b''.join(events)
    bounds = [0, *sorted(cuts), len(stream)]
    splitter = EventSplitter()
    chunks = [stream[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]
    assert [event for chunk in chunks for event in splitter.feed(chunk)] == events
    assert not splitter.is_inside_event()
    assert [event_number(event) for event in events] == [1, 2, 3]


def test_line_ends_after_the_last_event_do_not_begin_another():
    splitter = EventSplitter()
    splitter.feed(b'data: a\n\n\n')
    assert not splitter.is_inside_event()
    splitter.feed(b': comment\n')
    assert splitter.is_inside_event()


def test_comments_without_an_end_exceed_the_limit_and_heartbeats_between_events_do_not():
    splitter = EventSplitter()
    for _ in range(3):
        splitter.feed(MAX_COMMENTS * b':\n\n')
        assert not splitter.exceeds_limit()
        splitter.feed(b'id: 1\ndata: x\n\n')
    splitter.feed((MAX_COMMENTS + 1) * b':\n\n')
    assert splitter.exceeds_limit()
