"""Stand-in for workers that answer requests with bytes without end."""

import asyncio
import contextlib

import h11

from tamarackfield.testing.worker_answers import SIGNATURE, encode_head, echo_request_id, read_request

#: Bytes that are written at once: as many as the peer takes.
_PART_BYTES = 65_536
_CHUNKED = ('Transfer-Encoding', 'chunked')
_EVENTS = ('Content-Type', 'text/event-stream')
_FOREIGN = b'HTTP/1.1 200 OK\r\nTamarackfield-Request-Id: another\r\nContent-Length: 0\r\n\r\n'

#: Forms of answers without end: the header lines of a head that comes first (None for no head), and what follows over
#: and over.
ENDLESS_FORMS: dict[str, tuple[list[tuple[str, str]] | None, bytes, bytes]] = {
    'line': (None, b'HTTP/1.1 200 OK\r\nPad: ', b'x'),
    'header_lines': (None, b'HTTP/1.1 200 OK\r\n', b'Pad: x\r\n'),
    'informational_heads': (None, b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'foreign_answers': (None, b'', _FOREIGN),
    'small_chunks': ([_CHUNKED], b'', b'1\r\nx\r\n'),
    'chunk_extension': ([_CHUNKED], b'1;', b'x'),
    'trailers': ([_CHUNKED], b'0\r\n', b'Pad: x\r\n'),
    'false_length': ([('Content-Length', '999999999999')], b'', b'x'),
    'body_until_close': ([], b'', b'x'),
    'events': ([_CHUNKED, _EVENTS], b'', b'f\r\ndata: another\n\n\r\n'),
    'comments': ([_CHUNKED, _EVENTS], b'', b'3\r\n:\n\n\r\n'),
    'one_event': ([_CHUNKED, _EVENTS], b'5\r\ndata:\r\n', b'1\r\nx\r\n'),
}


class EndlessPeer:
    """Worker that answers each request with bytes without end, in one of `ENDLESS_FORMS`.

    Parameters
    ----------
    form : str
        Key of the form.
    host, port
        Address on which it listens.
    """

    def __init__(self, form: str, host: str, port: int) -> None:
        """Create a worker that does not listen."""
        self.form = form
        self.host = host
        self.port = port
        self.server: asyncio.Server | None = None
        self.sent_bytes = 0
        self.answered = 0

    async def start(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self.accept, self.host, self.port)

    async def stop(self) -> None:
        """Accept no further connection."""
        if self.server is not None:
            self.server.close()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request until its sender closes the connection."""
        with contextlib.suppress(OSError, h11.ProtocolError):
            request = await read_request(h11.Connection(h11.SERVER), reader)
            if request is not None:
                self.answered += 1
                await self._send_without_end(writer, dict(request[0].headers).get(b'tamarackfield-request-id', b''))
        writer.close()

    async def _send_without_end(self, writer: asyncio.StreamWriter, request_id: bytes) -> None:
        headers, start, part = ENDLESS_FORMS[self.form]
        if headers is not None:
            writer.write(encode_head([*echo_request_id(request_id.decode()), SIGNATURE, *headers]))
        writer.write(start)
        block = part * (_PART_BYTES // len(part))
        while True:
            writer.write(block)
            await writer.drain()
            self.sent_bytes += len(block)
