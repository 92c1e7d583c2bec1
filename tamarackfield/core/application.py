"""The application object: owns start, tasks, signals and clean-up of one process."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from tamarackfield.core.clock import MS_PER_SECOND

#: Seconds after which a task that still runs is cancelled again.
CANCEL_INTERVAL = 0.5
#: Shortest and longest pause in seconds before a task that failed is started again; what fails at once does so a
#: few times in a second, and later no more than once.
MIN_RESTART_PAUSE = 0.1
MAX_RESTART_PAUSE = 1.0

Hook = Callable[[], Awaitable[None]]
Work = Callable[[], Coroutine[Any, Any, Any]]


class Application:
    """Life cycle of one process.

    Start hooks run in the order in which they were added, stop hooks in reverse order. Tasks
    that are still alive after the stop hooks are cancelled.

    Parameters
    ----------
    name : str
        Name of the instance, for logs.
    """

    def __init__(self, name: str) -> None:
        """Prepare an application without hooks."""
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

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine as a task that this application owns.

        Parameters
        ----------
        work : coroutine
            What to run.
        name : str
            Name of the task, shown in the log if it fails.

        Returns
        -------
        asyncio.Task
            The task, cancelled at stop if it is still running.
        """
        task = asyncio.create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.forget)
        return task

    def supervise(self, make_work: Work, name: str) -> asyncio.Task[Any]:
        """Run a task without which the process is of no use; one that fails is started again.

        Parameters
        ----------
        make_work : callable
            Returns the coroutine of one run. A run may begin where a failed one broke off.
        name : str
            Name of the task, for logs.

        Returns
        -------
        asyncio.Task
            The task, which ends as its work returns or is cancelled.
        """
        return self.spawn(self._run_again(make_work, name), name)

    def forget(self, task: asyncio.Task[Any]) -> None:
        """Drop a finished task and log its failure."""
        self.tasks.discard(task)
        if task.cancelled():
            return
        failure = task.exception()
        if failure is not None:
            logger.bind(task=task.get_name(), error=repr(failure)).opt(exception=failure).error('task_failed')

    def request_stop(self) -> None:
        """Ask the application to stop; safe to call more than once."""
        self.stopping.set()

    async def run(self) -> None:
        """Start, wait for SIGTERM, SIGINT or `request_stop`, then stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        await self.start()
        await self.stopping.wait()
        await self.stop()

    async def start(self) -> None:
        """Run the start hooks."""
        for hook in self.start_hooks:
            await hook()
        logger.bind(instance=self.name).info('started')

    async def stop(self) -> None:
        """Run the stop hooks, then cancel what still runs."""
        logger.bind(instance=self.name).info('stopping')
        for hook in reversed(self.stop_hooks):
            await hook()
        await self._cancel_tasks()
        logger.bind(instance=self.name).info('stopped')

    async def _run_again(self, make_work: Work, name: str) -> None:
        pause = MIN_RESTART_PAUSE
        while True:
            try:
                return await make_work()
            except Exception as exc:  # a fault of any kind must not end the task
                self.restarted_tasks += 1
                bound = logger.bind(task=name, error=repr(exc), pause_ms=round(pause * MS_PER_SECOND))
                bound.opt(exception=exc).error('task_restarted')
            await asyncio.sleep(pause)
            pause = min(MAX_RESTART_PAUSE, 2 * pause)

    async def _cancel_tasks(self) -> None:
        """Cancel until nothing runs; a task that swallowed a cancellation gets another one."""
        remaining = set(self.tasks)
        while remaining:
            for task in remaining:
                task.cancel()
            _, remaining = await asyncio.wait(remaining, timeout=CANCEL_INTERVAL)
