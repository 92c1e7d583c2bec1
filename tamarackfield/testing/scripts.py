"""Scripts that start processes: a signal that ends one ends its processes as well."""

import contextlib
import signal
import sys
from collections.abc import Iterator
from typing import Any

import psutil

#: Exit code of a script that a signal has ended, less the number of the signal.
SIGNAL_EXIT_CODE = 128
#: Time after a signal in which the tasks of a script may stop what they have started.
CLEAN_UP_SECONDS = 10
#: Time limit for the end of processes that were killed.
KILL_TIMEOUT_SECONDS = 10.0


@contextlib.contextmanager
def script_processes() -> Iterator[None]:
    """End a script at SIGTERM and SIGHUP as at SIGINT, and kill the processes that it has started and not stopped.

    The first signal cancels the tasks of the script, which stop what they have started. A further one, or the end of
    `CLEAN_UP_SECONDS`, ends that too: a task may suppress its cancellation.
    """
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, _exit_on_signal)
    try:
        yield
    finally:
        _kill_children()


def _exit_on_signal(number: int, _frame: Any) -> None:
    signal.alarm(CLEAN_UP_SECONDS)
    sys.exit(SIGNAL_EXIT_CODE + number)


def _kill_children() -> None:
    children = psutil.Process().children(recursive=True)
    for child in children:
        with contextlib.suppress(psutil.NoSuchProcess):
            child.kill()
    psutil.wait_procs(children, KILL_TIMEOUT_SECONDS)
