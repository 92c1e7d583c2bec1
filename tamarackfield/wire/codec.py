"""Encoding of messages, and size-bounded, typed decoding of what a peer sends."""

import dataclasses
import functools
import typing
from collections.abc import Callable, Iterator

import msgpack

from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.wire.messages import MESSAGE_TYPES, Message

#: Largest frame that is accepted, in bytes; a larger one ends the stream.
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Integers in messages are not negative and fit into this many bits.
_INTEGER_BITS = 63
_TYPES_BY_KIND = dict(MESSAGE_TYPES)

Check = Callable[[object], bool]


class FrameError(TamarackfieldError):
    """A peer sent bytes that are not a known, well-typed message."""


def register_types(types: dict[int, type[Message]]) -> None:
    """Let messages of another module be decoded; a process knows only those of the modules that it loads.

    Parameters
    ----------
    types : dict
        Message types by kind, which no other type may have.
    """
    _TYPES_BY_KIND.update(types)


def encode(message: Message) -> bytes:
    """Return the bytes of one frame.

    Parameters
    ----------
    message : Message
        What to send.

    Returns
    -------
    bytes
        A msgpack array of the kind and the fields.
    """
    names = _checks(type(message))
    return msgpack.packb([message.kind, *(getattr(message, name) for name in names)])


def decode(frame: object) -> Message:
    """Build a message from an unpacked frame.

    Parameters
    ----------
    frame : object
        What msgpack unpacked.

    Returns
    -------
    Message
        With every field of its declared type.

    Raises
    ------
    FrameError
        If the kind is unknown, a field is missing or of another type.
    """
    if not isinstance(frame, list) or not frame or not _is_integer(frame[0]):
        raise FrameError('frame is not an array that starts with a kind', step='decode')
    message_type = _TYPES_BY_KIND.get(frame[0])
    if message_type is None:
        raise FrameError(f'unknown message kind {frame[0]}', step='decode')
    checks = _checks(message_type)
    fields = frame[1:]
    if len(fields) != len(checks):
        raise FrameError(f'{message_type.__name__} has {len(fields)} fields, not {len(checks)}', step='decode')
    for (name, check), field in zip(checks.items(), fields, strict=True):
        if not check(field):
            raise FrameError(f'{message_type.__name__}.{name} has the wrong type', step='decode')
    return message_type(*fields)


class FrameDecoder:
    """Turns a stream of bytes into messages.

    Parameters
    ----------
    max_frame : int
        Largest frame accepted, in bytes.
    """

    def __init__(self, max_frame: int = MAX_FRAME_BYTES) -> None:
        """Start with nothing buffered."""
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=max_frame,
            max_bin_len=max_frame,
            max_str_len=max_frame,
            strict_map_key=True,
        )

    def feed(self, chunk: bytes) -> Iterator[Message]:
        """Take in bytes and yield each message that is now whole.

        Parameters
        ----------
        chunk : bytes
            What was read from the stream, in any cut.

        Yields
        ------
        Message
            In the order in which they were sent.

        Raises
        ------
        FrameError
            If a frame is too large, malformed or ill-typed.
        """
        try:
            self.unpacker.feed(chunk)
        except msgpack.BufferFull:
            raise FrameError('frame is larger than the limit', step='decode') from None
        while True:
            try:
                frame = self.unpacker.unpack()
            except msgpack.OutOfData:
                return
            except (ValueError, msgpack.UnpackException, RecursionError) as exc:
                raise FrameError(f'malformed frame: {exc!r}', step='decode') from None
            yield decode(frame)


@functools.cache
def _checks(message_type: type[Message]) -> dict[str, Check]:
    hints = typing.get_type_hints(message_type)
    return {field.name: _check_for(hints[field.name]) for field in dataclasses.fields(message_type)}


def _check_for(hint: object) -> Check:
    if typing.get_origin(hint) is list:
        return _list_check(_check_for(typing.get_args(hint)[0]))
    if hint is int:
        return _is_integer
    return lambda field: isinstance(field, hint)


def _list_check(check_item: Check) -> Check:
    return lambda field: isinstance(field, list) and all(check_item(member) for member in field)


def _is_integer(field: object) -> bool:
    return isinstance(field, int) and not isinstance(field, bool) and 0 <= field < 1 << _INTEGER_BITS
