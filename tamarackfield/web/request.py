"""A request as a handler sees it, and the checks that h11 leaves to the application."""

import re
from dataclasses import dataclass

from tamarackfield.core.errors import RequestError

#: Largest request head, in bytes.
MAX_HEAD_BYTES = 16_384
#: Largest request body, in bytes.
MAX_BODY_BYTES = 1024 * 1024
_LENGTH_LINE = re.compile(rb'\ncontent-length[ \t]*:', re.IGNORECASE)
_ENCODING_LINE = re.compile(rb'\ntransfer-encoding[ \t]*:', re.IGNORECASE)


@dataclass(slots=True)
class HttpRequest:
    """One request, read whole.

    Parameters
    ----------
    method : str
        Such as ``POST``.
    path : str
        Path without the query.
    query : str
        Text after the question mark, or empty.
    headers : dict
        Values by name in lower case.
    body : bytes
        Whole body.
    received_at : float
        Monotonic seconds at which the head was read.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    received_at: float


def check_framing(head: bytes) -> None:
    """Refuse a head whose body length could be read in two ways.

    Parameters
    ----------
    head : bytes
        The head as it was received.

    Raises
    ------
    RequestError
        If it gives a length more than once, or both a length and an encoding.
    """
    lengths = len(_LENGTH_LINE.findall(head))
    encodings = len(_ENCODING_LINE.findall(head))
    if lengths + encodings > 1:
        raise bad_request('the request states its body length more than once', 'ambiguous_framing')


def bad_request(message: str, code: str, status: int = 400) -> RequestError:
    """Build the refusal of a request that could not be read.

    Parameters
    ----------
    message, code : str
        As in `RequestError`.
    status : int
        HTTP status.

    Returns
    -------
    RequestError
        With outcome ``not_run`` and step ``read_request``.
    """
    return RequestError(message, step='read_request', status=status, code=code)
