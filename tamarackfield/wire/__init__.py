"""Messages between the system's own processes: msgpack frames over TCP streams."""

from tamarackfield.wire.codec import FrameDecoder, FrameError, encode
from tamarackfield.wire.messages import (
    AskKey,
    Cancel,
    Chunk,
    Credit,
    Draining,
    End,
    Fail,
    Head,
    Heartbeat,
    Hello,
    Holdings,
    KeyEpoch,
    KeyGiven,
    LoadReport,
    Message,
    Submit,
)
from tamarackfield.wire.security import client_context, server_context
from tamarackfield.wire.stream import PeerStream, StreamClosedError, connect

__all__ = [
    'AskKey',
    'Cancel',
    'Chunk',
    'Credit',
    'Draining',
    'End',
    'Fail',
    'FrameDecoder',
    'FrameError',
    'Head',
    'Heartbeat',
    'Hello',
    'Holdings',
    'KeyEpoch',
    'KeyGiven',
    'LoadReport',
    'Message',
    'PeerStream',
    'StreamClosedError',
    'Submit',
    'client_context',
    'connect',
    'encode',
    'server_context',
]
