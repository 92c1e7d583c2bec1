"""Records of requests that ended without a whole answer or refusal, one log line for each."""

import asyncio
import contextlib
import sys
from collections.abc import Callable, Iterator
from enum import StrEnum

import h11
from loguru import logger

from tamarackfield.web.request import MAX_HEAD_BYTES, HttpRequest
from tamarackfield.web.request_reader import MAX_READ_BYTES, RequestReader
from tamarackfield.web.responder import AnswerCutError, CallerDisconnectedError, Responder

CountReason = Callable[[str], None]


class Unanswered(StrEnum):
    """Reason for which a whole request ended without a whole answer or refusal.

    ``CUT`` is an answer that had begun, ``NOT_SENT`` an answer or refusal that could not be sent, ``STOPPED`` a
    request that was in progress when the server closed, ``UNREAD`` one that was received and never read.
    """

    CALLER_LEFT = 'caller_left'
    CUT = 'cut'
    NOT_SENT = 'not_sent'
    STOPPED = 'stopped'
    UNREAD = 'unread'


@contextlib.contextmanager
def recorded_end(request: HttpRequest, responder: Responder, count: CountReason) -> Iterator[None]:
    """Log and count the end of a request, unless its answer or refusal was sent to its end.

    Parameters
    ----------
    request : HttpRequest
        Request that was read.
    responder : Responder
        Responder of its answer.
    count : callable
        Counts the reason.
    """
    try:
        yield
    finally:
        if not responder.finished:
            error = sys.exception()
            reason = _find_reason(error, responder)
            bound = logger.bind(
                request_id=request.request_id,
                path=request.path,
                reason=reason.value,
                head_sent=responder.head_sent,
                error='' if error is None else repr(error),
            )
            bound.log('INFO' if reason is Unanswered.CALLER_LEFT else 'WARNING', 'request_without_answer')
            count(reason.value)


async def record_unread(request_reader: RequestReader, count: CountReason) -> None:
    """Log the bytes that were received on a closed connection and not read; count a whole request among them.

    Parameters
    ----------
    request_reader : RequestReader
        Reader of a connection whose transport is closed.
    count : callable
        Counts the reason.
    """
    protocol = request_reader.protocol
    unread = protocol.trailing_data[0] + await _take_buffered(request_reader.reader)
    # In the other states, the bytes belong to a request whose refusal was sent before its end.
    if protocol.their_state not in {h11.IDLE, h11.DONE, h11.MUST_CLOSE} or not unread.strip():
        return
    whole = is_whole_request(unread)
    logger.bind(bytes=len(unread), whole_request=whole).warning('connection_closed_unread')
    if whole:
        count(Unanswered.UNREAD.value)


def is_whole_request(received: bytes) -> bool:
    r"""Return whether bytes begin with a whole request.

    Examples
    --------
    >>> is_whole_request(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'), is_whole_request(b'GET / HTTP/1.1\r\n')
    (True, False)
    """
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    parser.receive_data(received)
    try:
        event = parser.next_event()
        while isinstance(event, h11.Request | h11.Data):
            event = parser.next_event()
    except h11.RemoteProtocolError:
        return False
    return isinstance(event, h11.EndOfMessage)


async def _take_buffered(reader: asyncio.StreamReader) -> bytes:
    """Return the buffered bytes of a reader whose transport is closed, without waiting."""
    if reader.exception() is not None:
        return b''
    reader.feed_eof()
    return await reader.read(MAX_READ_BYTES)


def _find_reason(error: BaseException | None, responder: Responder) -> Unanswered:
    match error:
        case AnswerCutError():
            return Unanswered.CUT
        case CallerDisconnectedError() | OSError():
            return Unanswered.CALLER_LEFT
        case asyncio.CancelledError():
            return Unanswered.STOPPED
    return Unanswered.CUT if responder.head_sent else Unanswered.NOT_SENT
