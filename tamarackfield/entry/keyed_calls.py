"""Sends a non-idempotent call to the home target of its key, and sends it again after a broken stream.

The home target decides whether a call with the key may run. Sending a key again is therefore always safe: the same
incarnation of the home target answers from its record, and another incarnation runs the call only with proof that
the key has never run.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, RequestError
from tamarackfield.core.outcome import Outcome
from tamarackfield.core.time_limits import deadline_at
from tamarackfield.entry.calls import Call
from tamarackfield.entry.fleet import Fleet
from tamarackfield.entry.links import Link
from tamarackfield.web import Responder

#: Longest time after a broken stream during which the call is sent again.
MAX_RESEND_SECONDS = 10.0
#: Pause before each attempt to send the call again.
RESEND_PAUSE_SECONDS = 0.05
#: Steps at which an error means that this attempt sent nothing to the home target.
_STEPS_BEFORE_SENT = frozenset(('submit', 'route'))

Send = Callable[[Link], Awaitable[None]]


async def run_keyed_call(fleet: Fleet, call: Call, responder: Responder, send: Send) -> None:
    """Send a call to the home target of its key, again after a broken stream, until the home target has answered.

    Parameters
    ----------
    fleet : Fleet
        Targets and the links to their sidecars.
    call : Call
        Call whose only target is the home target of its key.
    responder : Responder
        Sends the answer to the caller.
    send : callable
        Sends the call over a link and relays its answer.

    Raises
    ------
    RequestError
        If the call failed; outcome ``not_run`` only if the home target reported it.
    """
    try:
        await send(_find_home_link(fleet, call))
    except RequestError as exc:
        if exc.step in _STEPS_BEFORE_SENT:
            raise _home_unreachable_error(call) from exc
        if exc.code != 'stream_broken' or responder.head_sent:
            raise
        logger.bind(peer=exc.peer, step=exc.step).info('keyed_call_resend')
        await _resend_until_answered(fleet, call, send, exc)


async def _resend_until_answered(fleet: Fleet, call: Call, send: Send, error: RequestError) -> None:
    """Send a call again until its home target has answered; raise the first error when the retry period is over."""
    retry_until = min(call.deadline, SYSTEM_CLOCK.monotonic() + MAX_RESEND_SECONDS)
    while SYSTEM_CLOCK.monotonic() < retry_until:
        await _wait_connected(fleet, call, retry_until)
        try:
            await send(_find_home_link(fleet, call))
        except RequestError as exc:
            if exc.code != 'stream_broken' and exc.step not in _STEPS_BEFORE_SENT:
                raise
        else:
            return
    raise error


def _find_home_link(fleet: Fleet, call: Call) -> Link:
    link = fleet.links.get(call.targets[0].name) if call.targets else None
    if link is None or link.stream is None:
        raise _home_unreachable_error(call)
    return link


def _home_unreachable_error(call: Call) -> RequestError:
    return RequestError(
        'the home of this key cannot be reached; whether an earlier request with the key ran is not known',
        step='route',
        peer=call.targets[0].name if call.targets else '',
        outcome=Outcome.UNKNOWN,
        code='home_away',
        retry_after=1,
    )


async def _wait_connected(fleet: Fleet, call: Call, retry_until: float) -> None:
    """Pause, then wait until the stream to the home target is connected or the retry period is over."""
    await asyncio.sleep(RESEND_PAUSE_SECONDS)
    link = fleet.links.get(call.targets[0].name)
    if link is not None:
        with contextlib.suppress(TimeoutError):
            async with deadline_at(retry_until):
                await link.connected.wait()
