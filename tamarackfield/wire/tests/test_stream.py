"""Server side of peer streams."""

import asyncio

from tamarackfield.wire.stream import start_peer_server

HOST = '127.0.0.1'


async def test_connection_cancelled_at_shutdown_is_not_reported_as_an_error():
    loop = asyncio.get_running_loop()
    errors = []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    connected = asyncio.Event()
    tasks = []

    async def serve_peer(reader, writer):
        tasks.append(asyncio.current_task())
        connected.set()
        await reader.read()

    server = await start_peer_server(serve_peer, HOST, 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    await connected.wait()
    tasks[0].cancel()
    await asyncio.wait(tasks)
    await asyncio.sleep(0)
    writer.close()
    server.close()
    assert errors == []
