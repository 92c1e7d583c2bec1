"""Relaying of streams from targets to callers, in whole events.

An answer without framing ends with its connection, whether the target finished it or broke off. A stream is
complete only if it also ends between two events.
"""

import asyncio
import math
from collections.abc import AsyncIterator

from tamarackfield.core import BOOT_CLOCK
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.events import EventSplitter, event_number
from tamarackfield.gateway.exchange import AttemptResult, Exchange, MaybeRan, Streamed
from tamarackfield.gateway.links import Reservation
from tamarackfield.gateway.model import AnswerHead
from tamarackfield.web import Responder
from tamarackfield.web.connection import BodyFraming

#: Seconds of silence within a stream after which it is resumed at another target, if that is allowed.
STREAM_SILENCE_TIMEOUT_SECONDS = 1.2


async def relay_stream(
    call_state: CallState, exchange: Exchange, reservation: Reservation, head: AnswerHead, responder: Responder
) -> AttemptResult:
    """Relay a stream to the caller.

    Parameters
    ----------
    call_state : CallState
        State of the call, updated as events are relayed.
    exchange : Exchange
        Exchange whose head was read.
    reservation : Reservation
        Reservation of the call in the batch of the target.
    head : AnswerHead
        Head of the answer, sent to the caller unless an earlier one was.
    responder : Responder
        Response channel to the caller.

    Returns
    -------
    AttemptResult
        `Streamed`, or `MaybeRan` if a resumable stream fell silent or any stream broke off.

    Raises
    ------
    ClientError
        If the framing of the answer shows that it broke off.
    """
    if not call_state.head_sent:
        call_state.head_sent = True
        await responder.send_head(head.status, head.headers)
    splitter = EventSplitter()
    try:
        async for chunk in _read_chunks(exchange, reservation, _silence_timeout(call_state)):
            events = splitter.feed(chunk)
            call_state.partial_event_bytes = len(splitter.buffered)
            await _send_events(call_state, events, responder)
            if splitter.exceeds_limit():
                return MaybeRan('event is too large')
    except TimeoutError:
        return MaybeRan('stream is silent')
    if splitter.is_inside_event():
        return MaybeRan('stream ended inside an event')
    if exchange.framing is BodyFraming.CLOSE and not (call_state.has_events() or responder.head_only):
        return MaybeRan('connection was closed before the first event')
    await responder.send_body(splitter.buffered)
    await responder.finish()
    return Streamed()


def _silence_timeout(call_state: CallState) -> float | None:
    """Return the seconds of silence after which a stream is resumed at another target, None if it cannot be."""
    if not call_state.route.resumable or len(call_state.sent_to) >= call_state.route.max_targets:
        return None
    return STREAM_SILENCE_TIMEOUT_SECONDS


async def _read_chunks(
    exchange: Exchange, reservation: Reservation, silence_timeout_seconds: float | None
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body and report the waits between them; raise `TimeoutError` after a silence."""
    waiting_since = math.inf
    while True:
        async with asyncio.timeout(silence_timeout_seconds):
            chunk = await exchange.next_chunk()
        if not chunk:
            return
        reservation.report_wait(BOOT_CLOCK.monotonic() - waiting_since)
        yield chunk
        waiting_since = BOOT_CLOCK.monotonic()


async def _send_events(call_state: CallState, events: list[bytes], responder: Responder) -> None:
    """Send complete events; those that the caller has already received from an earlier run are left out."""
    if call_state.route.resumable:
        events = [event for event in events if call_state.advance_to_event(event_number(event))]
    if events:
        call_state.record_event(BOOT_CLOCK.monotonic())
        await responder.send_body(b''.join(events))
