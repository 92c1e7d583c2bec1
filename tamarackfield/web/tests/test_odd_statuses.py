"""Answers with a status that HTTP does not know are broken answers for every client."""

import asyncio
import contextlib

import pytest

from tamarackfield.web.client import ClientError, fetch, open_request
from tamarackfield.web.json_calls import call_json
from tamarackfield.web.pool import ConnectionPool


@contextlib.asynccontextmanager
async def answering_server(answer):
    """Serve given bytes to each connection; yield the address."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        yield server.sockets[0].getsockname()


async def fetch_whole(address):
    """Return the status that the client of the own interface reads."""
    return (await fetch(address, 'GET', '/'))[0]


async def open_stream(address):
    """Return the status that the client of streams reads."""
    async with open_request(address, 'GET', '/', b'', []) as response:
        return response.status


async def call_pooled(address):
    """Return the status that the client with kept connections reads."""
    return (await call_json(ConnectionPool(), address, 'GET', '/', timeout_seconds=5)).status


CLIENTS = (fetch_whole, open_stream, call_pooled)


# Guards against: an answer whose status is 000 or beyond 599 is taken for an answer.
@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
async def test_answer_with_a_status_that_http_does_not_know_is_broken(client, status):
    async with answering_server(b'HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\n{}' % status) as address:
        with pytest.raises(ClientError):
            await client(address)


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize('status', [200, 299, 451, 500, 599])
async def test_answer_with_a_rare_status_is_an_answer(client, status):
    async with answering_server(b'HTTP/1.1 %d Rare\r\nContent-Length: 2\r\n\r\n{}' % status) as address:
        assert await client(address) == status
