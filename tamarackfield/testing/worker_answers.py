"""Answers of the stand-in for workers: their encoding, and the ways in which they are spoiled or broken off."""

import asyncio
import json
import socket
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import h11

from tamarackfield.core import SYSTEM_CLOCK

#: Faults that close a connection in order before its answer is complete.
CUTTING_FAULTS = frozenset(('cut', 'unframed_cut'))
_ENDLESS_PART = 65_536 * b'x'
_DROP_SECONDS = 0.2
_CLOSE_CHECK_SECONDS = 0.01
#: Beginning of an event after which a stream breaks off.
PARTIAL_EVENT = b'id: 99\ndata: ha'
#: Bytes that are no answer.
GARBAGE = b'\x00\x01 this is no answer\r\n\r\n'
UNNAMED_REFUSAL = b'HTTP/1.1 503 Busy\r\nTamarackfield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
SIGNATURE = ('Tamarackfield-Server-Signature', 'signed')


class AnswerCopier:
    """Sending side of a connection that keeps a copy of its last answer.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        Sending side of the connection.
    reader : asyncio.StreamReader
        Receiving side of the connection.
    """

    def __init__(self, writer: asyncio.StreamWriter, reader: asyncio.StreamReader) -> None:
        """Create a copier without an answer."""
        self.writer = writer
        self.reader = reader
        self.answer = b''

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the writer."""
        return getattr(self.writer, name)

    def write(self, part: bytes) -> None:
        """Send a part of an answer."""
        self.answer += part
        self.writer.write(part)

    def send_second_copy(self) -> None:
        """Send the last answer again."""
        self.writer.write(self.answer)
        self.answer = b''

    async def keep_silent(self, seconds: float) -> None:
        """Send nothing for a time, unless the peer closes the connection before, which raises `ConnectionError`."""
        ends_at = SYSTEM_CLOCK.monotonic() + seconds
        while SYSTEM_CLOCK.monotonic() < ends_at:
            if self.reader.at_eof():
                raise ConnectionResetError('peer closed the connection')
            await asyncio.sleep(_CLOSE_CHECK_SECONDS)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    _reset_on_close(writer)
    writer.transport.abort()


def _reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Let the end of a connection be a reset, whatever ends it."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))


async def send_endless_bytes(writer: asyncio.StreamWriter, start: bytes) -> None:
    """Send bytes until the peer closes the connection, which raises `ConnectionError`.

    If the worker ends it first, the connection is reset: closed in order, these bytes would be a complete answer.
    """
    _reset_on_close(writer)
    writer.write(start)
    while True:
        writer.write(_ENDLESS_PART)
        await writer.drain()


async def send_drops(writer: asyncio.StreamWriter, encode: Callable[[bytes], bytes]) -> None:
    """Send a byte of an event now and then, until the peer closes the connection, which raises `ConnectionError`."""
    while True:
        writer.write(encode(b':'))
        await writer.drain()
        await asyncio.sleep(_DROP_SECONDS)


def echo_request_id(request_id: str) -> list[tuple[str, str]]:
    """Return the header lines that say which request is answered."""
    return [('Tamarackfield-Request-Id', request_id)]


def encode_stream_head(
    protocol: h11.Connection, request_id: str, framed: bool, further_headers: list[tuple[str, str]]
) -> bytes:
    """Encode the head of a stream in chunks or, if it is not framed, of one that ends with its connection."""
    header_lines = [*echo_request_id(request_id), SIGNATURE, ('Content-Type', 'text/event-stream'), *further_headers]
    if not framed:
        return encode_head(header_lines)
    header_lines.append(('Transfer-Encoding', 'chunked'))
    return protocol.send(h11.Response(status_code=200, headers=header_lines)) or b''


async def end_stream(protocol: h11.Connection, writer: asyncio.StreamWriter, fault: str) -> None:
    """End a complete stream: with its last chunk or, if it is not framed, with its connection."""
    if not fault.startswith('unframed'):
        writer.write(protocol.send(h11.EndOfMessage()))
    await writer.drain()
    if fault == 'unframed_reset':
        reset_connection(writer)
    elif fault == 'unframed':
        writer.close()


def chunk_encoder(protocol: h11.Connection) -> Callable[[bytes], bytes]:
    """Return a function that encodes a part of a body as a chunk."""
    return lambda part: protocol.send(h11.Data(data=part)) or b''


def encode_head(header_lines: list[tuple[str, str]]) -> bytes:
    """Encode the head of a successful answer."""
    lines = ''.join(f'{name}: {text}\r\n' for name, text in header_lines)
    return f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode()


def encode_answer(request_id: str, body: bytes, further_headers: list[tuple[str, str]], framed: bool = True) -> bytes:
    """Encode a successful answer; one that is not framed has no length."""
    length = [('Content-Length', str(len(body)))] if framed else []
    return encode_head([('Tamarackfield-Request-Id', request_id), SIGNATURE, *further_headers, *length]) + body


async def send_response(
    protocol: h11.Connection,
    writer: asyncio.StreamWriter,
    status: int,
    content: Any,
    headers: list[tuple[str, str]] | None = None,
) -> None:
    """Send a complete answer; content other than bytes is encoded as JSON, None as an empty body."""
    if not isinstance(content, bytes):
        content = b'' if content is None else json.dumps(content).encode()
    header_lines = [*(headers or []), ('Content-Length', str(len(content)))]
    writer.write(protocol.send(h11.Response(status_code=status, headers=header_lines)))
    writer.write(protocol.send(h11.Data(data=content)) + protocol.send(h11.EndOfMessage()))
    await writer.drain()


async def send_odd_continuation(protocol: h11.Connection, writer: AnswerCopier, request_id: str, kind: str) -> None:
    """Answer a request for the rest of a stream with what is none.

    Parameters
    ----------
    kind : str
        ``empty`` or ``unframed`` for an event stream without any event, with or without framing; ``unnumbered`` for
        one that has an event without a number; ``text`` for a success that is no event stream; else the status of an
        error.
    """
    if kind in {'empty', 'unframed', 'unnumbered'}:
        writer.write(encode_stream_head(protocol, request_id, kind != 'unframed', []))
        if kind == 'unnumbered':
            writer.write(chunk_encoder(protocol)(b'data: no such request\n\n'))
        await end_stream(protocol, writer, kind)
        return
    status = 200 if kind == 'text' else int(kind)
    content = None if status == HTTPStatus.NO_CONTENT else b'no such request'
    await send_response(protocol, writer, status, content, [*echo_request_id(request_id), SIGNATURE])


async def read_request(protocol: h11.Connection, reader: asyncio.StreamReader) -> tuple[h11.Request, bytes] | None:
    """Return the next request and its body, None at the end of the connection."""
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head, bytes(body)
        else:
            return None
