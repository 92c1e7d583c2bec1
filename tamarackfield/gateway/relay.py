"""Passes streams on to callers, event by event."""

import asyncio
import math
from collections.abc import AsyncIterator

from tamarackfield.core import BOOT_CLOCK
from tamarackfield.gateway.events import EventSplitter
from tamarackfield.gateway.exchange import Exchange, MaybeRan, Result, Streamed
from tamarackfield.gateway.journey import Journey
from tamarackfield.gateway.links import Place
from tamarackfield.gateway.model import AnswerHead
from tamarackfield.web import Responder

#: Seconds of silence inside a stream after which it is resumed elsewhere, if it may be.
SILENT_STREAM_SECONDS = 1.2


async def relay_stream(
    journey: Journey, exchange: Exchange, place: Place, head: AnswerHead, responder: Responder
) -> Result:
    """Pass a stream on.

    Parameters
    ----------
    journey : Journey
        Of the call; brought up to date as events are passed on.
    exchange : Exchange
        Whose head was read.
    place : Place
        That the call has in the target's batch.
    head : AnswerHead
        Sent to the caller unless it has one already.
    responder : Responder
        To the caller.

    Returns
    -------
    Result
        `Streamed`, or `MaybeRan` if a stream that may be resumed broke off.

    Raises
    ------
    ClientError
        If the target's answer breaks off.
    """
    if not journey.started:
        journey.started = True
        await responder.send_head(head.status, head.headers)
    if journey.route.resumable:
        return await _relay_events(journey, exchange, place, responder)
    chunks = 0
    async for chunk in _read_chunks(exchange, place, None):
        journey.note_event(BOOT_CLOCK.monotonic())
        await responder.send_body(chunk)
        chunks += 1
    await responder.finish()
    return Streamed(chunks)


async def _relay_events(journey: Journey, exchange: Exchange, place: Place, responder: Responder) -> Result:
    """Pass whole events on, each once, so that the stream can go on from any of them."""
    splitter = EventSplitter()
    last_target = len(journey.sent_to) >= journey.route.max_targets
    try:
        async for chunk in _read_chunks(exchange, place, None if last_target else SILENT_STREAM_SECONDS):
            await _send_events(journey, splitter.feed(chunk), responder)
    except TimeoutError:
        return MaybeRan('stream is silent')
    if splitter.buffered:
        return MaybeRan('stream ended inside an event')
    await responder.finish()
    return Streamed(journey.last_event)


async def _read_chunks(exchange: Exchange, place: Place, silent_seconds: float | None) -> AsyncIterator[bytes]:
    """Yield the parts of a body and note the waits between them; `TimeoutError` if none comes for too long."""
    asked_at = math.inf
    while True:
        async with asyncio.timeout(silent_seconds):
            chunk = await exchange.next_chunk()
        if not chunk:
            return
        place.note_wait(BOOT_CLOCK.monotonic() - asked_at)
        yield chunk
        asked_at = BOOT_CLOCK.monotonic()


async def _send_events(journey: Journey, events: list[tuple[int, bytes]], responder: Responder) -> None:
    for number, event in events:
        if number > journey.last_event or not number:
            journey.last_event = max(number, journey.last_event)
            journey.note_event(BOOT_CLOCK.monotonic())
            await responder.send_body(event)
