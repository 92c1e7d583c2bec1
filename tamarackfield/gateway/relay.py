"""Relaying of streams from targets to callers, in whole events.

An answer without framing ends with its connection, whether the target finished it or broke off. A stream is
complete only if it also ends between two events, and its target is proven to have lived on. The rest of a stream
that broke off begins with an event after the last one that the caller has: anything else is not a part of that stream.
If its target has no further event, and says so with framing, the stream was complete but for its end.
"""

import math
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from tamarackfield.core import BOOT_CLOCK
from tamarackfield.core.time_limits import TimeLimit, listening_seconds, time_limit_at
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.events import EventSplitter, event_number
from tamarackfield.gateway.exchange import AttemptResult, Exchange, MaybeRan, Streamed
from tamarackfield.gateway.handover import Delivery
from tamarackfield.gateway.reservation import Reservation
from tamarackfield.gateway.model import AnswerHead
from tamarackfield.web import Responder
from tamarackfield.web.connection import MAX_UNREAD_BYTES, RECEIVE_BYTES
from tamarackfield.web.framing import BodyFraming

#: Seconds without a complete event after which a successor of a stream is sought, if one is allowed.
STREAM_SILENCE_TIMEOUT_SECONDS = 1.2
#: Bytes of an incomplete event that count like an event: a large one may arrive slowly.
PROGRESS_BYTES = 1024
#: Bytes that are split into events at once: the smallest events have three.
MAX_PART_BYTES = 2048


@dataclass(frozen=True, slots=True)
class Incoming:
    """Stream of a target.

    Parameters
    ----------
    exchange : Exchange
        Exchange whose head was read.
    head : AnswerHead
        Head of the answer, sent to the caller unless an earlier one was.
    reservation : Reservation
        Reservation of the call in the batch of the target.
    seek_successor : callable
        Starts to look for a target that goes on with the stream, if one could do so now.
    explain_unproven_end : callable
        Coroutine function that returns why an end without framing may not be that of the answer, empty if it is.
    """

    exchange: Exchange
    head: AnswerHead
    reservation: Reservation
    seek_successor: Callable[[], None]
    explain_unproven_end: Callable[[], Awaitable[str]]


async def relay_stream(call_state: CallState, incoming: Incoming, delivery: Delivery) -> AttemptResult:
    """Relay a stream to the caller, once the run that it may succeed has ended.

    Parameters
    ----------
    call_state : CallState
        State of the call, updated as events are relayed.
    incoming : Incoming
        Stream of the target.
    delivery : Delivery
        Delivery of the stream to the caller.

    Returns
    -------
    AttemptResult
        `Streamed`, or `MaybeRan` if a successor replaced a silent stream or any stream broke off.

    Raises
    ------
    ClientError
        If the framing of the answer shows that it broke off.
    """
    await delivery.stop_search()
    await delivery.claim()
    responder = delivery.responder
    broke_off_at = call_state.last_event if call_state.head_sent else 0
    if not call_state.head_sent:
        call_state.head_sent = True
        await responder.send_head(incoming.head.status, incoming.head.headers)
    responder.source_bytes = MAX_UNREAD_BYTES + RECEIVE_BYTES
    splitter = EventSplitter()
    silence = _Silence(_silence_timeout(call_state, incoming.exchange.target))
    delivery.on_replaced = silence.interrupt
    async for chunk in _read_chunks(incoming, silence, delivery):
        events = splitter.feed(chunk)
        if silence.record_progress(len(chunk), bool(events)):
            await delivery.stop_search()
        call_state.partial_event_bytes = len(splitter.buffered)
        if broke_off_at == call_state.last_event and not _may_continue(events, broke_off_at):
            return MaybeRan('answer is not the rest of the stream')
        await _send_events(call_state, events, responder)
        if splitter.exceeds_limit():
            return MaybeRan('event is too large or comments do not end')
    if silence.gave_up:
        return MaybeRan('stream is silent')
    fault = await _explain_incomplete_end(call_state, incoming, splitter, responder)
    has_nothing_new = bool(broke_off_at) and broke_off_at == call_state.last_event
    if not fault and has_nothing_new and incoming.exchange.framing is BodyFraming.CLOSE:
        fault = 'answer without framing has nothing of the rest of the stream'
    if fault:
        return MaybeRan(fault)
    await responder.send_body(bytes(splitter.buffered))
    await responder.finish()
    return Streamed()


async def _explain_incomplete_end(
    call_state: CallState, incoming: Incoming, splitter: EventSplitter, responder: Responder
) -> str:
    """Return why a stream whose body has ended is not complete, empty if it is."""
    if splitter.is_inside_event():
        return 'stream ended inside an event'
    if incoming.exchange.framing is not BodyFraming.CLOSE or responder.head_only:
        return ''
    if not call_state.has_events():
        return 'connection was closed before the first event'
    return await incoming.explain_unproven_end()


def _may_continue(events: list[bytes], broke_off_at: int) -> bool:
    """Return whether events may continue a stream after an event, 0 for one that begins."""
    numbers = (event_number(event) for event in events)
    first_new = next((number for number in numbers if not 0 < number <= broke_off_at), None)
    return not broke_off_at or first_new != 0


class _Silence:
    """Time since the last progress of a stream.

    Parameters
    ----------
    timeout_seconds : float or None
        Time without progress after which a successor is sought; None if there can be none.

    Attributes
    ----------
    ends_at : float or None
        Time of `listening_seconds` at which that time is over.
    waiting : TimeLimit or None
        Limit of the wait for the next part of the stream, None while there is none.
    gave_up : bool
        Whether the stream was given up in favour of a successor.
    """

    def __init__(self, timeout_seconds: float | None) -> None:
        """Start to wait for progress."""
        self.timeout_seconds = timeout_seconds
        self.incomplete_bytes = 0
        self.gave_up = False
        self.ends_at: float | None = None
        self.waiting: TimeLimit | None = None
        self.restart()

    def restart(self) -> None:
        """Wait once more for the whole time."""
        if self.timeout_seconds is not None:
            self.ends_at = listening_seconds() + self.timeout_seconds
        self.incomplete_bytes = 0

    def record_progress(self, byte_count: int, has_events: bool) -> bool:
        """Record bytes of the stream, and whether they completed an event; return whether the stream goes on."""
        self.incomplete_bytes += byte_count
        goes_on = has_events or self.incomplete_bytes >= PROGRESS_BYTES
        if goes_on:
            self.restart()
        return goes_on

    def interrupt(self) -> None:
        """End the wait for the next part of the stream."""
        if self.waiting is not None:
            self.waiting.expire()


def _silence_timeout(call_state: CallState, target: Target) -> float | None:
    """Return the seconds of silence after which a successor of a stream is sought, None if there can be none."""
    if not call_state.route.resumable or not call_state.may_reach_another(target):
        return None
    return STREAM_SILENCE_TIMEOUT_SECONDS


async def _read_chunks(incoming: Incoming, silence: _Silence, delivery: Delivery) -> AsyncIterator[bytes]:
    """Yield the chunks of a body and report the waits between them, until a successor replaces a silent stream."""
    waiting_since = math.inf
    while not delivery.is_replaced():
        try:
            async with time_limit_at(silence.ends_at) as waiting:
                silence.waiting = waiting
                chunk = await incoming.exchange.next_chunk()
        except TimeoutError:
            if not delivery.is_replaced():
                incoming.seek_successor()
                silence.restart()
            continue
        finally:
            silence.waiting = None
        if not chunk:
            return
        incoming.reservation.report_wait(listening_seconds() - waiting_since)
        for start in range(0, len(chunk), MAX_PART_BYTES):
            if start:
                await incoming.exchange.connection.turn.count_piece()
            yield chunk[start : start + MAX_PART_BYTES]
        waiting_since = listening_seconds()
    silence.gave_up = True


async def _send_events(call_state: CallState, events: list[bytes], responder: Responder) -> None:
    """Send complete events; those that the caller has already received from an earlier run are left out."""
    if call_state.route.resumable:
        events = [event for event in events if call_state.advance_to_event(event_number(event))]
    if events:
        call_state.record_event(BOOT_CLOCK.monotonic())
        await responder.send_body(b''.join(events))
