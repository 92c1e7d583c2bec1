"""Carries a non-idempotent call to its key's home, and attaches to it again when a stream breaks.

The home decides whether the key may run, so sending a key again is always safe: the same
incarnation answers from its record, another one runs the key only with proof that it never ran.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, RequestError
from tamarackfield.core.outcome import Outcome
from tamarackfield.entry.calls import Call
from tamarackfield.entry.fleet import Fleet
from tamarackfield.entry.links import Link
from tamarackfield.web import Responder

#: Longest time that a call whose stream broke waits for the stream to come back, in seconds.
REATTACH_SECONDS = 10.0
#: Pause between two attempts to attach, in seconds.
REATTACH_PAUSE = 0.05
_LINK_STEPS = frozenset(('submit', 'route'))

Send = Callable[[Link], Awaitable[None]]


async def run_keyed(fleet: Fleet, call: Call, responder: Responder, send: Send) -> None:
    """Send a call to its home until the home has answered.

    Parameters
    ----------
    fleet : Fleet
        Links to targets.
    call : Call
        With the key's home as its only target.
    responder : Responder
        The way back to the caller.
    send : callable
        Sends the call over a link and carries its answer.

    Raises
    ------
    RequestError
        If no answer was started; outcome ``not_run`` only by the home's word.
    """
    try:
        await send(_home_link(fleet, call))
    except RequestError as exc:
        if exc.step in _LINK_STEPS:
            raise _home_away(call) from exc
        if exc.code != 'stream_broken' or responder.started:
            raise
        logger.bind(peer=exc.peer, step=exc.step).info('reattach')
        await _reattach(fleet, call, send, exc)


async def _reattach(fleet: Fleet, call: Call, send: Send, error: RequestError) -> None:
    """Send a call again until its home has answered, or raise the error that broke it off."""
    give_up_at = min(call.deadline, SYSTEM_CLOCK.monotonic() + REATTACH_SECONDS)
    while SYSTEM_CLOCK.monotonic() < give_up_at:
        await _wait_connected(fleet, call, give_up_at)
        try:
            await send(_home_link(fleet, call))
        except RequestError as exc:
            if exc.code != 'stream_broken' and exc.step not in _LINK_STEPS:
                raise
        else:
            return
    raise error


def _home_link(fleet: Fleet, call: Call) -> Link:
    link = fleet.links.get(call.targets[0].name) if call.targets else None
    if link is None or link.stream is None:
        raise _home_away(call)
    return link


def _home_away(call: Call) -> RequestError:
    return RequestError(
        'the home of this key cannot be reached; whether an earlier request with the key ran is not known',
        step='route',
        peer=call.targets[0].name if call.targets else '',
        outcome=Outcome.UNKNOWN,
        code='home_away',
        retry_after=1,
    )


async def _wait_connected(fleet: Fleet, call: Call, give_up_at: float) -> None:
    """Wait until the home's stream is back or the time is over."""
    await asyncio.sleep(REATTACH_PAUSE)
    link = fleet.links.get(call.targets[0].name)
    if link is not None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(give_up_at):
                await link.connected.wait()
