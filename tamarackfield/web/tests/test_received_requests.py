"""Requests that have been received before the server gives a connection up."""

import asyncio
import socket
import time

from tamarackfield.observe.operations import answer_error
from tamarackfield.web import HttpLimits, HttpServer

REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'
IDLE_SECONDS = 0.2
#: Time in which an answer arrives.
ANSWER_SECONDS = 5.0
ANSWERED = b'HTTP/1.1 200 '


async def answer(request, responder):
    """Answer a request."""
    await responder.send_json(200, {'answered': True})


def read_status_line(sock):
    """Return the first line of an answer, empty if the connection ends without one."""
    try:
        return sock.recv(100).partition(b'\r\n')[0]
    except ConnectionError:
        return b''


async def test_request_that_arrived_before_the_idle_time_out_was_noticed_is_answered():
    server = HttpServer(answer, answer_error, HttpLimits(idle_seconds=IDLE_SECONDS))
    await server.listen('127.0.0.1', 0)
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    while not server.idle:
        await asyncio.sleep(0)
    writer.write(REQUEST)
    # The process stands still; the request is here when it goes on, and the time-out is due.
    time.sleep(2 * IDLE_SECONDS)
    assert (await reader.readline()).rstrip(b'\r\n') == ANSWERED
    writer.close()
    await server.close()


async def test_connection_that_was_established_before_the_stop_is_served():
    server = HttpServer(answer, answer_error)
    await server.listen('127.0.0.1', 0)
    with socket.create_connection(('127.0.0.1', server.port)) as sock:
        sock.settimeout(ANSWER_SECONDS)
        sock.sendall(REQUEST)
        await server.shutdown()
        assert await asyncio.to_thread(read_status_line, sock) == ANSWERED
