"""HTTP server over in-memory streams: arbitrary input bytes, and handlers that raise exceptions."""

import asyncio
import json

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarackfield.observe.operations import answer_error
from tamarackfield.web import HttpLimits, HttpServer

LIMITS = HttpLimits(max_body_bytes=500, max_buffered_bytes=500, idle_seconds=5, request_seconds=5)
PIECES = st.sampled_from(
    (
        b'GET / HTTP/1.1\r\n',
        b'POST /x HTTP/1.1\r\n',
        b'Host: a\r\n',
        b'Content-Length: 5\r\n',
        b'content-length: 600\r\n',
        b'Transfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: xchunked\r\n',
        b'Expect: 100-continue\r\n',
        b'X : 1\r\n',
        b' folded\r\n',
        b'\r\n',
        b'\n',
        b'\r',
        b'hello',
        b'5\r\nhello\r\n',
        b'0\r\n\r\n',
    ),
)
CHUNKS = st.lists(PIECES | st.binary(max_size=30), max_size=14)


class MemoryWriter:
    """In-memory replacement for the sending side of a connection."""

    def __init__(self):
        """Create a writer to which nothing has been written."""
        self.written = bytearray()
        self.closed = False
        self.transport = self

    def get_extra_info(self, name):
        """Return that nothing is known of the peer."""

    def get_write_buffer_size(self):
        """Return that nothing is buffered."""
        return 0

    def write(self, chunk):
        """Store the written bytes."""
        self.written += chunk

    async def drain(self):
        """Return immediately, because nothing is buffered."""

    def can_write_eof(self):
        """Return that half-closing is not supported."""
        return False

    def close(self):
        """Record that the connection is closed."""
        self.closed = True


async def echo(request, responder):
    """Answer with the size of the request body."""
    await responder.send_json(200, {'size': len(request.body)})


async def serve_chunks(handler, chunks):
    """Serve one connection that sends chunks and is then closed; return server and writer."""
    server = HttpServer(handler, answer_error, LIMITS)
    reader = asyncio.StreamReader(limit=100_000)
    writer = MemoryWriter()
    for chunk in chunks:
        reader.feed_data(chunk)
    serving = asyncio.ensure_future(server.serve_connection(reader, writer))
    while not serving.done() and reader._buffer:
        await asyncio.sleep(0)
    reader.feed_eof()
    await serving
    return server, writer


def read_statuses(raw):
    """Return the status of each answer; raise if an answer is incomplete or malformed."""
    statuses = []
    remaining = bytes(raw)
    while remaining:
        head, _, remaining = remaining.partition(b'\r\n\r\n')
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method='GET', target='/', headers=[('Host', 'a')]))
        client.receive_data(b'%b\r\n\r\n' % head)
        answer = client.next_event()
        statuses.append(answer.status_code)
        if isinstance(answer, h11.Response):
            remaining = remaining.removeprefix(remaining[: int(dict(answer.headers)[b'content-length'])])
    return statuses


@settings(max_examples=300)
@given(CHUNKS)
def test_arbitrary_bytes_get_complete_answers_and_release_all_resources(chunks):
    requests = []

    async def handler(request, responder):
        requests.append(request)
        await responder.send_json(200, {'size': len(request.body)})

    server, writer = asyncio.run(serve_chunks(handler, chunks))
    statuses = read_statuses(writer.written)
    assert {status for status in statuses if status >= 400} <= {400, 408, 413, 431, 501, 503}
    assert statuses.count(200) <= len(requests)
    assert (server.budget.reserved_bytes, server.idle, server.busy) == (0, set(), set())
    assert writer.closed


async def test_unexpected_exception_is_answered_with_outcome_unknown():
    async def handler(request, responder):
        raise TypeError('a fault of the program')

    _, writer = await serve_chunks(handler, [b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'])
    error = json.loads(writer.written.rpartition(b'\r\n\r\n')[2])['error']
    assert writer.written.startswith(b'HTTP/1.1 500 ')
    assert (error['code'], error['outcome'], error['step']) == ('internal_error', 'unknown', 'handle')


async def test_answer_whose_handler_fails_is_truncated_without_an_end_marker():
    async def handler(request, responder):
        await responder.send_head(200, [('Transfer-Encoding', 'chunked')])
        await responder.send_body(b'part')
        raise TypeError('a fault of the program')

    _, writer = await serve_chunks(handler, [b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'])
    assert writer.written.endswith(b'4\r\npart\r\n')
    assert writer.closed


async def test_answer_to_a_head_request_has_no_body():
    _, writer = await serve_chunks(echo, [b'HEAD / HTTP/1.1\r\nHost: a\r\n\r\n'])
    assert writer.written.startswith(b'HTTP/1.1 200 ')
    assert writer.written.endswith(b'\r\n\r\n')
