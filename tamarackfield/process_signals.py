"""Stop and reload signals of this process, from its first line to its exit.

The default action of these signals ends the process. This module imports nothing else of the package, so that a program
can replace that action before the imports that take most of its start.
"""

import signal
from collections.abc import Callable, Mapping
from typing import Any

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
_HANDLED = (*STOP_SIGNALS, RELOAD_SIGNAL)


class ProcessSignals:
    """Keeps the signals that arrive before the program can handle them, and ignores those after its end."""

    __slots__ = ('pending',)

    def __init__(self) -> None:
        """Start with the default actions."""
        self.pending: set[int] = set()

    def hold(self) -> None:
        """Keep the signals that arrive until `deliver_to` is called."""
        for number in _HANDLED:
            signal.signal(number, self.keep)

    def keep(self, number: int, _frame: Any) -> None:
        """Keep a signal."""
        self.pending.add(number)

    def restore(self) -> None:
        """Restore the default actions, for a command that may be ended at any time, and take those that are due."""
        for number in _HANDLED:
            signal.signal(number, signal.default_int_handler if number == signal.SIGINT else signal.SIG_DFL)
        while self.pending:
            signal.raise_signal(self.pending.pop())

    def deliver_to(self, loop: Any, callbacks: Mapping[signal.Signals, Callable[[], Any]]) -> None:
        """Call functions in an event loop, at once for the signals that were kept.

        Parameters
        ----------
        loop : asyncio.AbstractEventLoop
            Running event loop.
        callbacks : dict
            Function without arguments for each signal.
        """
        for number, callback in callbacks.items():
            loop.add_signal_handler(number, callback)
            if number in self.pending:
                self.pending.discard(number)
                callback()

    def ignore(self, loop: Any) -> None:
        """Ignore the signals until the process exits.

        An event loop that is closed restores the default actions, and the interpreter runs for some time after that.

        Parameters
        ----------
        loop : asyncio.AbstractEventLoop
            Running event loop.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED)
        for number in _HANDLED:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _HANDLED)


#: The actions of signals are state of the process, so it has one object for them.
PROCESS_SIGNALS = ProcessSignals()
