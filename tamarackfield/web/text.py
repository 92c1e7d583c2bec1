"""Answers in plain text."""

from tamarackfield.core.errors import RequestError
from tamarackfield.web.responder import Responder

_TEXT_TYPE = ('Content-Type', 'text/plain; charset=utf-8')


async def send_text(responder: Responder, status: int, text: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
    """Send a whole answer.

    Parameters
    ----------
    responder : Responder
        Nothing must have been sent on it.
    status : int
        HTTP status.
    text : str
        The body.
    headers : tuple of pairs
        Besides type and length.
    """
    body = text.encode()
    await responder.send_head(status, [_TEXT_TYPE, ('Content-Length', str(len(body))), *headers])
    await responder.send_body(body)
    await responder.finish()


async def answer_error(error: RequestError, responder: Responder) -> None:
    """Tell a caller that its request ended without an answer, and when to come back.

    Parameters
    ----------
    error : RequestError
        What the caller is told; the time to come back may be a fraction of a second.
    responder : Responder
        Nothing must have been sent on it.
    """
    headers = (('Retry-After', f'{error.retry_after:.3f}'),) if error.retry_after else ()
    await send_text(responder, error.status, f'{error.outcome.value}: {error.message}\n', headers)
