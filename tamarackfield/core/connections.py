"""Listening sockets whose connections are served by owned tasks, and the cancellation of tasks.

`asyncio.start_server` leaves the task of a coroutine callback to the event loop: it may be accepted while the loop
shuts down, and then it outlives the loop. Here the server starts the tasks itself, refuses connections once it
closes, and waits until every task has ended.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from loguru import logger

from tamarackfield.core.errors import TamarackfieldError

#: Time after which a task that still runs is cancelled again.
CANCEL_INTERVAL_SECONDS = 0.5
#: Passes of the event loop in which a connection that the kernel has established is accepted and gets its transport:
#: one polls the listener after the current pass, one accepts, one creates the transport.
ACCEPT_PASSES = 3

ServeConnection = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def cancel_and_wait(
    tasks: Iterable[asyncio.Future[Any]], expected: tuple[type[Exception], ...] = (TamarackfieldError, OSError)
) -> None:
    """Cancel tasks and wait until none runs; a task that suppresses a cancellation is cancelled again.

    Parameters
    ----------
    tasks : iterable of asyncio.Future
        Tasks to cancel, except the current one; their results are not retrieved, and their exceptions are logged.
    expected : tuple of types
        Exceptions that are no fault of the program.
    """
    current = asyncio.current_task()
    cancelled = [task for task in tasks if task is not current]
    remaining = {task for task in cancelled if not task.done()}
    while remaining:
        for task in remaining:
            task.cancel()
        _, remaining = await asyncio.wait(remaining, timeout=CANCEL_INTERVAL_SECONDS)
    for task in cancelled:
        _log_error(task, expected)


def _log_error(task: asyncio.Future[Any], expected: tuple[type[Exception], ...]) -> None:
    """Log the error of a task that ended before its cancellation: whoever waited for it may have been cancelled too."""
    error = None if task.cancelled() else task.exception()
    if isinstance(error, expected):
        logger.bind(error=repr(error)).debug('task_ended_with_error')
    elif error is not None:
        logger.bind(error=repr(error)).opt(exception=error).error('task_failed')


async def retrieve_close_error(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Mark the error that ended a connection as retrieved; return at once if none did.

    The reader has reported the same error. Without this, the event loop may report it once more when the
    connection is garbage collected.
    """
    if reader.exception() is not None:
        with contextlib.suppress(OSError):
            await writer.wait_closed()


class ConnectionServer:
    """TCP server that owns the task of each connection.

    Parameters
    ----------
    serve : callable
        Coroutine function that serves one connection until it ends, and is cancelled when the server closes.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Tasks of the open connections.
    """

    def __init__(self, serve: ServeConnection) -> None:
        """Create a server that does not listen yet."""
        self.serve = serve
        self.listener: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.closing = False

    async def listen(self, host: str, port: int, **options: Any) -> int:
        """Start to listen.

        Parameters
        ----------
        host : str
            IP address to listen on.
        port : int
            TCP port; with 0 the kernel chooses a free one.
        **options
            Further arguments of `asyncio.start_server`.

        Returns
        -------
        int
            TCP port that is listened on.
        """
        self.listener = await asyncio.start_server(self.accept, host, port, **options)
        return self.listener.sockets[0].getsockname()[1]

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start the task that serves a connection; abort the connection if the server is closing."""
        if self.closing:
            writer.transport.abort()
            return
        task = asyncio.create_task(self._run(reader, writer))
        self.tasks.add(task)

        def remove_task(ended: asyncio.Task[None]) -> None:
            self.tasks.discard(ended)
            # A task that is cancelled before its first step has not closed its connection.
            writer.close()

        task.add_done_callback(remove_task)

    async def accept_established(self) -> None:
        """Accept the connections that the kernel has established; closing the listener would reset them."""
        for _ in range(ACCEPT_PASSES):
            await asyncio.sleep(0)

    def stop_listening(self) -> None:
        """Accept no further connection; open ones are served on."""
        if self.listener is not None:
            self.listener.close()

    async def close(self) -> None:
        """Stop listening, cancel the tasks of all connections and wait until they have ended."""
        self.closing = True
        self.stop_listening()
        await cancel_and_wait(self.tasks)

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self.serve(reader, writer)
        except asyncio.CancelledError:
            logger.debug('connection_cancelled')
        except Exception as exc:  # the connection ends, the server goes on
            logger.bind(error=repr(exc)).opt(exception=exc).error('connection_failed')
        finally:
            await retrieve_close_error(reader, writer)
