"""Encoding of messages, and decoding of frames with checks of their size and types."""

import dataclasses
import functools
import operator
import typing
from collections.abc import Callable, Iterable, Iterator

import msgpack

from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.wire.messages import MESSAGE_TYPES, Message

#: Size limit of a received frame; a larger one closes the stream.
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Width of integers in messages, which are not negative.
_INTEGER_BITS = 63
_TYPES_BY_KIND = dict(MESSAGE_TYPES)

FieldCheck = Callable[[object], bool]
FieldGetter = Callable[[Message], Iterable[object]]


class FrameError(TamarackfieldError):
    """A peer sent bytes that are not a message of a known kind with fields of the declared types."""


def register_message_types(types: dict[int, type[Message]]) -> None:
    """Register message types for decoding; a process decodes only the types of the modules that it imports.

    Parameters
    ----------
    types : dict
        Message types by kind; each kind must be unique.
    """
    _TYPES_BY_KIND.update(types)


def encode(message: Message) -> bytes:
    """Encode a message as one frame.

    Parameters
    ----------
    message : Message
        Message to encode.

    Returns
    -------
    bytes
        Msgpack array of the kind and the fields in order.
    """
    return msgpack.packb((message.kind, *_field_getter(type(message))(message)))


def make_shared_encoder() -> Callable[[Message], bytes]:
    """Return a function like `encode` for several streams, which encodes a message once if all send the same object."""
    frames_by_kind: dict[int, tuple[Message, bytes]] = {}

    def encode_once(message: Message) -> bytes:
        known, frame = frames_by_kind.get(message.kind, (None, b''))
        if known is not message:
            frame = encode(message)
            frames_by_kind[message.kind] = (message, frame)
        return frame

    return encode_once


def decode(frame: object) -> Message:
    """Convert an unpacked frame into a message.

    Parameters
    ----------
    frame : object
        Object unpacked by msgpack.

    Returns
    -------
    Message
        Message whose fields all have their declared types.

    Raises
    ------
    FrameError
        If the kind is unknown, or the number or the type of a field is wrong.
    """
    if not isinstance(frame, list) or not frame or not _is_integer(frame[0]):
        raise FrameError('frame is not an array that starts with a kind', step='decode')
    message_type = _TYPES_BY_KIND.get(frame[0])
    if message_type is None:
        raise FrameError(f'unknown message kind {frame[0]}', step='decode')
    checks = _field_checks(message_type)
    fields = frame[1:]
    if len(fields) != len(checks):
        raise FrameError(f'{message_type.__name__} has {len(fields)} fields, expected {len(checks)}', step='decode')
    for (name, check), field in zip(checks.items(), fields, strict=True):
        if not check(field):
            raise FrameError(
                f'{message_type.__name__}.{name} has an invalid value of type {type(field).__name__}', step='decode'
            )
    return message_type(*fields)


class FrameDecoder:
    """Decodes messages from a stream of bytes.

    Parameters
    ----------
    max_frame : int
        Size limit of a frame.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Create a decoder with an empty buffer."""
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=max_frame_bytes,
            max_bin_len=max_frame_bytes,
            max_str_len=max_frame_bytes,
            strict_map_key=True,
        )

    def feed(self, chunk: bytes) -> Iterator[Message]:
        """Buffer received bytes and yield each message that is now complete.

        Parameters
        ----------
        chunk : bytes
            Bytes read from the stream; they need not end at a frame boundary.

        Yields
        ------
        Message
            Messages in the order in which they were sent.

        Raises
        ------
        FrameError
            If a frame is too large or malformed, or is not a valid message.
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
def _field_getter(message_type: type[Message]) -> FieldGetter:
    """Return a function that returns the fields of a message in order, in one call for most types."""
    names = [field.name for field in dataclasses.fields(message_type)]
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda message: [getattr(message, name) for name in names]


@functools.cache
def _field_checks(message_type: type[Message]) -> dict[str, FieldCheck]:
    hints = typing.get_type_hints(message_type)
    return {field.name: _make_check(hints[field.name]) for field in dataclasses.fields(message_type)}


def _make_check(hint: object) -> FieldCheck:
    if typing.get_origin(hint) is list:
        return _make_list_check(_make_check(typing.get_args(hint)[0]))
    if hint is int:
        return _is_integer
    return lambda field: isinstance(field, hint)


def _make_list_check(check_item: FieldCheck) -> FieldCheck:
    return lambda field: isinstance(field, list) and all(check_item(element) for element in field)


def _is_integer(field: object) -> bool:
    return isinstance(field, int) and not isinstance(field, bool) and 0 <= field < 1 << _INTEGER_BITS
