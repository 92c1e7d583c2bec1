"""Ownership of connection tasks: none is reported as an error at shutdown, none outlives its server."""

import asyncio
import contextlib
import gc

import pytest

from tamarackfield.core import ConnectionServer, TamarackfieldError, cancel_and_wait

HOST = '127.0.0.1'


@pytest.fixture
async def errors():
    """Collect what is reported to the exception handler of the event loop."""
    reported = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: reported.append(context))
    yield reported
    asyncio.get_running_loop().set_exception_handler(None)


async def read_until_end(reader, writer):
    await reader.read()


async def test_connection_cancelled_at_shutdown_is_not_reported_as_an_error(errors):
    connected = asyncio.Event()

    async def serve(reader, writer):
        connected.set()
        await reader.read()

    server = ConnectionServer(serve)
    port = await server.listen(HOST, 0)
    _, writer = await asyncio.open_connection(HOST, port)
    await connected.wait()
    await server.close()
    await asyncio.sleep(0)
    writer.close()
    assert (errors, server.tasks) == ([], set())


async def test_connection_cancelled_before_its_first_step_is_closed_and_not_reported(errors):
    server = ConnectionServer(read_until_end)
    port = await server.listen(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, port)
    while not server.tasks:
        await asyncio.sleep(0)
    for task in server.tasks:
        task.cancel()
    assert await reader.read() == b''
    await server.close()
    writer.close()
    assert errors == []


async def test_connection_accepted_while_the_server_closes_is_aborted(errors):
    server = ConnectionServer(read_until_end)
    port = await server.listen(HOST, 0)
    server.closing = True
    reader, writer = await asyncio.open_connection(HOST, port)
    with contextlib.suppress(ConnectionResetError):
        assert await reader.read() == b''
    assert server.tasks == set()
    await server.close()
    writer.close()
    assert errors == []


async def test_fault_of_one_connection_is_contained(errors):
    async def serve(reader, writer):
        raise OverflowError('a fault of the program')

    server = ConnectionServer(serve)
    port = await server.listen(HOST, 0)
    for _ in range(2):
        reader, writer = await asyncio.open_connection(HOST, port)
        assert await reader.read() == b''
        writer.close()
    await server.close()
    assert errors == []


async def test_task_that_suppresses_a_cancellation_is_cancelled_again():
    cancellations = []

    async def resist():
        while len(cancellations) < 2:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancellations.append(1)

    task = asyncio.create_task(resist())
    await asyncio.sleep(0)
    await cancel_and_wait((task,))
    assert task.done()
    assert len(cancellations) == 2


async def test_error_of_a_task_that_ended_just_before_its_cancellation_is_not_reported_by_the_loop(errors):
    async def fail():
        raise TamarackfieldError('answer ended early', step='read', peer='w1')

    tasks = [asyncio.create_task(fail())]
    await asyncio.sleep(0)
    await cancel_and_wait(tasks)
    assert tasks.pop().done()
    gc.collect()
    assert errors == []
