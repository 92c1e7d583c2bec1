"""Closing of an HTTP server: no task of a connection or of a request outlives it."""

import asyncio

from tamarackfield.observe.operations import answer_error
from tamarackfield.web import HttpServer


async def test_close_ends_the_handlers_of_running_requests():
    started = asyncio.Event()
    ended = []

    async def answer(request, responder):
        started.set()
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(request.path)

    server = HttpServer(answer, answer_error)
    await server.listen('127.0.0.1', 0)
    before = asyncio.all_tasks()
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(b'GET /held HTTP/1.1\r\nHost: a\r\n\r\n')
    await started.wait()
    await server.close()
    assert ended == ['/held']
    assert asyncio.all_tasks() == before
    assert await reader.read() == b''
    writer.close()


async def test_caller_that_closes_its_sending_side_counts_as_gone():
    started = asyncio.Event()
    ended = asyncio.Event()

    async def answer(request, responder):
        started.set()
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()

    server = HttpServer(answer, answer_error)
    await server.listen('127.0.0.1', 0)
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(b'GET /held HTTP/1.1\r\nHost: a\r\n\r\n')
    await started.wait()
    writer.write_eof()
    async with asyncio.timeout(10):
        await ended.wait()
    assert await reader.read() == b''
    writer.close()
    await server.close()
