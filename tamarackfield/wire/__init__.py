"""Peer protocol: messages between the processes of this system, as msgpack frames over TCP streams."""

from tamarackfield.wire.codec import FrameDecoder, FrameError, encode
from tamarackfield.wire.messages import (
    Draining,
    Heartbeat,
    Hello,
    Holdings,
    LoadReport,
    Message,
)
from tamarackfield.wire.security import client_context, server_context
from tamarackfield.wire.stream import PeerStream, StreamClosedError, connect

__all__ = [
    'Draining',
    'FrameDecoder',
    'FrameError',
    'Heartbeat',
    'Hello',
    'Holdings',
    'LoadReport',
    'Message',
    'PeerStream',
    'StreamClosedError',
    'client_context',
    'connect',
    'encode',
    'server_context',
]
