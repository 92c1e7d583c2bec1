"""Event loops that stand still, as those of processes that are frozen or slow."""

import asyncio
import time


def be_busy(seconds: float) -> None:
    """Let the running event loop stand still in a callback; it polls its sockets afterwards."""
    time.sleep(seconds)


def freeze(seconds: float) -> None:
    """Let the running event loop stand still at its next poll, which then reports no socket.

    So ends a poll during which the process was stopped by a signal for longer than the poll was to last.
    """
    selector = asyncio.get_running_loop()._selector
    poll = selector.select

    def select(timeout: float | None) -> list[object]:
        selector.select = poll
        time.sleep(seconds)
        return []

    selector.select = select
