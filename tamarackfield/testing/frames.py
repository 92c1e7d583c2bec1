"""Faults in frames of the peer protocol: duplication, late replay, reordering, and a cut before a frame."""

from collections.abc import Iterator
from typing import Any

import msgpack

from tamarackfield.wire import LoadReport
from tamarackfield.wire.request_relay import Chunk, End, Fail, Head

#: Faults of this module with the values that disable them; frames are identified by message kind.
NO_FRAME_FAULTS = {'repeat_frames': [], 'replay_frames': [], 'swap_frames': [], 'cut_before_frame': -1}
_ANSWER_KINDS = frozenset(message.kind for message in (Head, Chunk, End, Fail))


class ConnectionCutError(Exception):
    """Raised in place of the frame before which the connection is to be closed."""


class FrameFaults:
    """Applies faults to the frames of one connection.

    ``repeat_frames`` sends each frame of a kind twice, ``replay_frames`` sends it again after the
    next load report, ``swap_frames`` delays it until after the next frame of an answer, and
    ``cut_before_frame`` closes the connection in place of the first frame of a kind.

    Parameters
    ----------
    faults : dict
        Faults by name, shared with the control page of the proxy.
    """

    def __init__(self, faults: dict[str, Any]) -> None:
        """Create a filter without delayed frames."""
        self.faults = faults
        self.unpacker = msgpack.Unpacker()
        self.delayed_frames: list[bytes] = []
        self.frames_to_replay: list[bytes] = []

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Parse received bytes and yield the bytes to forward.

        Raises
        ------
        ConnectionCutError
            At the frame before which the connection is to be closed.
        """
        self.unpacker.feed(chunk)
        for frame in self.unpacker:
            yield from self._apply_faults(frame[0], msgpack.packb(frame))

    def _apply_faults(self, kind: int, encoded: bytes) -> Iterator[bytes]:
        faults = self.faults
        if kind == faults['cut_before_frame']:
            raise ConnectionCutError
        if kind in faults['replay_frames']:
            self.frames_to_replay.append(encoded)
        if kind in faults['swap_frames'] and not self.delayed_frames:
            self.delayed_frames.append(encoded)
            return
        yield encoded
        if kind in faults['repeat_frames']:
            yield encoded
        if kind in _ANSWER_KINDS:
            yield b''.join(self.delayed_frames)
            self.delayed_frames.clear()
        if kind == LoadReport.kind:
            yield b''.join(self.frames_to_replay)
            self.frames_to_replay.clear()
