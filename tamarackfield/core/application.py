"""Life cycle of a process: start and stop hooks, background tasks and stop signals."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.connections import cancel_and_wait
from tamarackfield.process_signals import PROCESS_SIGNALS, STOP_SIGNALS

#: Bounds of the exponential backoff before a failed task is restarted; a task that fails immediately is restarted a
#: few times in the first second, and then at most once a second.
MIN_RESTART_BACKOFF_SECONDS = 0.1
MAX_RESTART_BACKOFF_SECONDS = 1.0

Hook = Callable[[], Awaitable[None]]
CoroutineFactory = Callable[[], Coroutine[Any, Any, Any]]


class Application:
    """Runs the hooks and tasks of one process.

    Start hooks run in the order in which they were added, stop hooks in reverse order. Tasks
    that still run after the stop hooks are cancelled.

    Parameters
    ----------
    name : str
        Instance name, written to the log.
    """

    def __init__(self, name: str) -> None:
        """Create an application without hooks or tasks."""
        self.name = name
        self.start_hooks: list[Hook] = []
        self.stop_hooks: list[Hook] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.stopping = asyncio.Event()
        self.restarted_tasks = 0

    def on_start(self, hook: Hook) -> None:
        """Add a hook that runs at start."""
        self.start_hooks.append(hook)

    def on_stop(self, hook: Hook) -> None:
        """Add a hook that runs at stop, before those added earlier."""
        self.stop_hooks.append(hook)

    def spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine as a task that is cancelled when the application stops.

        Parameters
        ----------
        coroutine : coroutine
            Coroutine to run.
        name : str
            Name of the task, logged if it fails.

        Returns
        -------
        asyncio.Task
            The running task.
        """
        task = asyncio.create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.remove_finished_task)
        return task

    def supervise(self, make_coroutine: CoroutineFactory, name: str) -> asyncio.Task[Any]:
        """Run a task that the process requires, and restart it with backoff when it fails.

        Parameters
        ----------
        make_coroutine : callable
            Returns the coroutine of one run. A run may resume where a failed one stopped.
        name : str
            Name of the task, logged when it fails.

        Returns
        -------
        asyncio.Task
            The task, which ends when its coroutine returns or is cancelled.
        """
        return self.spawn(self._run_with_restarts(make_coroutine, name), name)

    def remove_finished_task(self, task: asyncio.Task[Any]) -> None:
        """Remove a finished task from the running tasks and log its exception."""
        self.tasks.discard(task)
        if task.cancelled():
            return
        exception = task.exception()
        if exception is not None:
            logger.bind(task=task.get_name(), error=repr(exception)).opt(exception=exception).error('task_failed')

    def request_stop(self) -> None:
        """Request the stop of the application; further calls have no effect."""
        self.stopping.set()

    async def run(self) -> None:
        """Start, wait for SIGTERM, SIGINT or `request_stop`, then stop; signals have no effect after that.

        An application that is asked to stop before it starts does not start.
        """
        loop = asyncio.get_running_loop()
        PROCESS_SIGNALS.deliver_to(loop, dict.fromkeys(STOP_SIGNALS, self.request_stop))
        try:
            await self._run_until_stopped()
        finally:
            PROCESS_SIGNALS.ignore(loop)

    async def start(self) -> None:
        """Run the start hooks."""
        for hook in self.start_hooks:
            await hook()
        logger.bind(instance=self.name).info('started')

    async def stop(self) -> None:
        """Run the stop hooks, then cancel the tasks that still run."""
        logger.bind(instance=self.name).info('stopping')
        for hook in reversed(self.stop_hooks):
            await hook()
        await cancel_and_wait(self.tasks)
        _report_unowned_tasks()
        logger.bind(instance=self.name).info('stopped')

    async def _run_until_stopped(self) -> None:
        if self.stopping.is_set():
            await cancel_and_wait(self.tasks)
            logger.bind(instance=self.name, reason='asked to stop before the start').info('stopped')
            return
        await self.start()
        await self.stopping.wait()
        await self.stop()

    async def _run_with_restarts(self, make_coroutine: CoroutineFactory, name: str) -> None:
        backoff = MIN_RESTART_BACKOFF_SECONDS
        while True:
            try:
                return await make_coroutine()
            except Exception as exc:  # no exception may end a supervised task
                self.restarted_tasks += 1
                bound = logger.bind(task=name, error=repr(exc), pause_ms=round(backoff * MS_PER_SECOND))
                bound.opt(exception=exc).error('task_restarted')
            await asyncio.sleep(backoff)
            backoff = min(MAX_RESTART_BACKOFF_SECONDS, 2 * backoff)


def _report_unowned_tasks() -> None:
    """Log the tasks that still run although every component has stopped; the event loop will cancel them."""
    unowned = sorted(task.get_name() for task in asyncio.all_tasks() if task is not asyncio.current_task())
    if unowned:
        logger.bind(count=len(unowned), tasks=','.join(unowned)).error('tasks_not_stopped')
