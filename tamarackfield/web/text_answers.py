"""Plain-text answers."""

from tamarackfield.core.errors import RequestError
from tamarackfield.web.responder import Responder

_TEXT_TYPE = ('Content-Type', 'text/plain; charset=utf-8')


async def send_text(responder: Responder, status: int, text: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
    """Send a complete plain-text answer.

    Parameters
    ----------
    responder : Responder
        Responder on which nothing has been sent.
    status : int
        HTTP status.
    text : str
        Answer body.
    headers : tuple of pairs
        Further headers besides Content-Type and Content-Length.
    """
    body = text.encode()
    await responder.send_head(status, [_TEXT_TYPE, ('Content-Length', str(len(body))), *headers])
    await responder.send_body(body)
    await responder.finish()


async def answer_error(error: RequestError, responder: Responder) -> None:
    """Send an error as a plain-text answer, with Retry-After if the error has a retry time.

    Parameters
    ----------
    error : RequestError
        Error to report; its retry time may be a fraction of a second.
    responder : Responder
        Responder on which nothing has been sent.
    """
    headers = (('Retry-After', f'{error.retry_after:.3f}'),) if error.retry_after else ()
    await send_text(responder, error.status, f'{error.outcome.value}: {error.message}\n', headers)
