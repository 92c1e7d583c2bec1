"""Faults in single frames of the peer protocol: repeated, replayed late, swapped, or cut before."""

from collections.abc import Iterator
from typing import Any

import msgpack

from tamarackfield.wire import LoadReport
from tamarackfield.wire.request_relay import Chunk, End, Fail, Head

#: Faults of this module with the values that mean none; frames are named by their message's kind.
NO_FRAME_FAULTS = {'repeat_frames': [], 'replay_frames': [], 'swap_frames': [], 'cut_before_frame': -1}
_ANSWER_KINDS = frozenset(message.kind for message in (Head, Chunk, End, Fail))


class CutError(Exception):
    """The connection is to be cut here."""


class FrameFaults:
    """Passes the frames of one connection on, or not, as the faults say.

    ``repeat_frames`` sends each frame of a kind twice, ``replay_frames`` sends it again after the
    next load report, ``swap_frames`` holds it back until the next frame of an answer has passed,
    ``cut_before_frame`` cuts the connection in place of the first frame of a kind.

    Parameters
    ----------
    faults : dict
        Shared with the proxy's control page.
    """

    def __init__(self, faults: dict[str, Any]) -> None:
        """Start with nothing held back."""
        self.faults = faults
        self.unpacker = msgpack.Unpacker()
        self.held: list[bytes] = []
        self.replayed: list[bytes] = []

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Take in bytes and yield what is to be passed on.

        Raises
        ------
        CutError
            Where the connection is to be cut.
        """
        self.unpacker.feed(chunk)
        for frame in self.unpacker:
            yield from self._pass(frame[0], msgpack.packb(frame))

    def _pass(self, kind: int, encoded: bytes) -> Iterator[bytes]:
        faults = self.faults
        if kind == faults['cut_before_frame']:
            raise CutError
        if kind in faults['replay_frames']:
            self.replayed.append(encoded)
        if kind in faults['swap_frames'] and not self.held:
            self.held.append(encoded)
            return
        yield encoded
        if kind in faults['repeat_frames']:
            yield encoded
        if kind in _ANSWER_KINDS:
            yield b''.join(self.held)
            self.held.clear()
        if kind == LoadReport.kind:
            yield b''.join(self.replayed)
            self.replayed.clear()
