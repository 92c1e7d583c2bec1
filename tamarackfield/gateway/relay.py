"""Relaying of streams from targets to callers, event by event if they are resumable."""

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
        `Streamed`, or `MaybeRan` if a resumable stream fell silent or ended inside an event.

    Raises
    ------
    ClientError
        If the answer of the target breaks off.
    """
    if not call_state.head_sent:
        call_state.head_sent = True
        await responder.send_head(head.status, head.headers)
    if call_state.route.resumable:
        return await _relay_events(call_state, exchange, reservation, responder)
    chunks = 0
    splitter = EventSplitter()
    async for chunk in _read_chunks(exchange, reservation, None):
        splitter.feed(chunk)
        call_state.partial_event_bytes = len(splitter.buffered)
        call_state.record_event(BOOT_CLOCK.monotonic())
        await responder.send_body(chunk)
        chunks += 1
    await responder.finish()
    return Streamed(chunks)


async def _relay_events(
    call_state: CallState, exchange: Exchange, reservation: Reservation, responder: Responder
) -> AttemptResult:
    """Relay complete events, each once, so that the stream can be resumed after any of them."""
    splitter = EventSplitter()
    is_last_target = len(call_state.sent_to) >= call_state.route.max_targets
    try:
        async for chunk in _read_chunks(
            exchange, reservation, None if is_last_target else STREAM_SILENCE_TIMEOUT_SECONDS
        ):
            events = splitter.feed(chunk)
            call_state.partial_event_bytes = len(splitter.buffered)
            await _send_events(call_state, events, responder)
    except TimeoutError:
        return MaybeRan('stream is silent')
    if splitter.is_inside_event():
        return MaybeRan('stream ended inside an event')
    await responder.finish()
    return Streamed(call_state.last_event)


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
    for event in events:
        number = event_number(event)
        if number > call_state.last_event or not number:
            call_state.last_event = max(number, call_state.last_event)
            call_state.record_event(BOOT_CLOCK.monotonic())
            await responder.send_body(event)
