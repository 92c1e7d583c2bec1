"""Planned stop of the server while callers send requests."""

import asyncio

from tamarackfield.web import HttpServer
from tamarackfield.web.server import LAST_REQUEST_SECONDS

CALLERS = 40
REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'


async def answer_slowly(request, responder):
    """Answer after the time that a short run takes."""
    await asyncio.sleep(0.02)
    await responder.send_json(200, {'answered': True})


async def refuse(error, responder):
    """Answer an error."""
    await responder.send_json(error.status, {'error': error.message})


async def read_answer(reader):
    """Return the first line of an answer, empty if the connection ends without one."""
    try:
        return (await reader.read()).partition(b'\r\n')[0]
    except ConnectionError:
        return b''


async def stop_under_load(send_requests):
    """Stop a server to which callers are connected; return the first line of each answer."""
    server = HttpServer(answer_slowly, refuse)
    await server.listen('127.0.0.1', 0)
    connections = [await asyncio.open_connection('127.0.0.1', server.port) for _ in range(CALLERS)]
    while len(server.idle) < CALLERS:
        await asyncio.sleep(0)
    stopping = asyncio.create_task(send_requests(server, [writer for _, writer in connections]))
    lines = await asyncio.gather(*(read_answer(reader) for reader, _ in connections))
    await stopping
    for _, writer in connections:
        writer.close()
    return lines


async def test_requests_that_arrive_as_the_server_stops_are_answered():
    async def send_requests(server, writers):
        for writer in writers:
            writer.write(REQUEST)
        await server.shutdown()

    assert set(await stop_under_load(send_requests)) == {b'HTTP/1.1 200 '}


async def test_requests_that_are_on_their_way_when_the_server_stops_are_answered():
    loop = asyncio.get_running_loop()
    sent_after = []

    async def send_requests(server, writers):
        shutdown = asyncio.create_task(server.shutdown())
        stopped_at = loop.time()
        for writer in writers:
            await asyncio.sleep(0.001)
            writer.write(REQUEST)
            sent_after.append(loop.time() - stopped_at)
        await shutdown

    lines = await stop_under_load(send_requests)
    promised = [line for line, seconds in zip(lines, sent_after, strict=True) if seconds <= LAST_REQUEST_SECONDS]
    assert set(promised) == {b'HTTP/1.1 200 '}


async def test_idle_connections_do_not_delay_a_stop_for_long():
    async def send_requests(server, writers):
        await server.shutdown()

    async with asyncio.timeout(2):
        assert set(await stop_under_load(send_requests)) == {b''}


async def test_connection_whose_answer_ends_late_in_a_stop_takes_no_further_request():
    taken = []
    may_end = asyncio.Event()

    async def answer(request, responder):
        taken.append(request.path)
        await responder.send_head(200, [(b'Content-Length', b'2')])
        await may_end.wait()
        await responder.send_body(b'ok')
        await responder.finish()

    server = HttpServer(answer, refuse)
    await server.listen('127.0.0.1', 0)
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(REQUEST)
    await reader.readuntil(b'\r\n\r\n')
    stopping = asyncio.create_task(server.shutdown())
    await asyncio.sleep(2 * LAST_REQUEST_SECONDS)
    may_end.set()
    assert await reader.readexactly(2) == b'ok'
    writer.write(REQUEST.replace(b'/x', b'/late'))
    await stopping
    assert taken == ['/x']
    writer.close()
