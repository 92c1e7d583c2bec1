"""Event loop whose time advances only when every task waits, so that tests of long waits take no time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Outcome = TypeVar('Outcome')


class VirtualTimeSelector(selectors.SelectSelector):
    """Selector that does not wait for its time-out but advances its clock by it.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    """

    def __init__(self) -> None:
        """Start at time zero."""
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready at once; without anything ready, the time-out has passed."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


def run_in_virtual_time(work: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run a coroutine, which uses no sockets, in an event loop with virtual time."""
    selector = VirtualTimeSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now  # type: ignore[method-assign]
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
