"""Frame codec: decoding restores encoded messages, and malformed or ill-typed frames are refused."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackfield.wire import FrameDecoder, FrameError, encode
from tamarackfield.wire.messages import MESSAGE_TYPES
from tamarackfield.wire.request_relay import REQUEST_TYPES, Submit

TYPES = MESSAGE_TYPES | REQUEST_TYPES
NUMBERS = st.integers(0, 2**63 - 1)
SUBMITS = st.builds(
    Submit,
    NUMBERS,
    st.text(),
    st.text(),
    st.text(),
    NUMBERS,
    NUMBERS,
    st.text(),
    st.text(),
    st.text(),
    st.lists(st.lists(st.text(), max_size=2), max_size=3),
    st.binary(),
    st.booleans(),
    NUMBERS,
)


@given(st.lists(SUBMITS, max_size=4), st.integers(1, 50))
def test_messages_are_decoded_from_chunks_of_any_size(messages, size):
    decoder = FrameDecoder()
    encoded = b''.join(encode(message) for message in messages)
    received = []
    for start in range(0, len(encoded), size):
        received.extend(decoder.feed(encoded[start : start + size]))
    assert received == messages


@given(st.binary(max_size=200))
def test_arbitrary_bytes_give_messages_or_a_frame_error(noise):
    decoder = FrameDecoder(max_frame_bytes=1000)
    try:
        for message in decoder.feed(noise):
            assert isinstance(message, tuple(TYPES.values()))
    except FrameError:
        return


@given(st.recursive(st.none() | st.booleans() | st.integers(-5, 20) | st.text(), st.lists, max_leaves=20))
def test_ill_typed_frames_are_refused(frame):
    decoder = FrameDecoder()
    try:
        received = list(decoder.feed(msgpack.packb(frame)))
    except FrameError:
        return
    assert [type(message) for message in received] == [TYPES[frame[0]]]


def test_frames_above_the_size_limit_are_refused():
    decoder = FrameDecoder(max_frame_bytes=100)
    with pytest.raises(FrameError):
        list(decoder.feed(msgpack.packb([4, 'x' * 1000])))
