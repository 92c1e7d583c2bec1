"""Streams of peers as a server accepts them."""

import asyncio

from tamarackfield.wire.stream import start_peer_server

HOST = '127.0.0.1'


async def test_connection_that_is_cancelled_at_the_end_of_a_process_is_no_error():
    loop = asyncio.get_running_loop()
    complaints = []
    loop.set_exception_handler(lambda _, context: complaints.append(context))
    connected = asyncio.Event()
    tasks = []

    async def accept(reader, writer):
        tasks.append(asyncio.current_task())
        connected.set()
        await reader.read()

    server = await start_peer_server(accept, HOST, 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    await connected.wait()
    tasks[0].cancel()
    await asyncio.wait(tasks)
    await asyncio.sleep(0)
    writer.close()
    server.close()
    assert complaints == []
