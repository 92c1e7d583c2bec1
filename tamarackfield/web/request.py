"""A request as a handler sees it, and the checks that h11 leaves to the application."""

import re
import secrets
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

from tamarackfield.core.errors import RequestError

#: Header that carries the id of a request on the product's own interface.
REQUEST_ID_HEADER = 'X-Request-Id'
#: Largest request head, in bytes.
MAX_HEAD_BYTES = 16_384
_MAX_LENGTH_DIGITS = 15
_REQUEST_ID_BYTES = 12
_REQUEST_ID = re.compile('[A-Za-z0-9._:-]{1,128}')
_LENGTH_LINE = re.compile(rb'\ncontent-length[ \t]*:', re.IGNORECASE)
_LIST_OF_LENGTHS = re.compile(rb'\ncontent-length[ \t]*:[^\r\n]*,', re.IGNORECASE)
_ENCODING_LINE = re.compile(rb'\ntransfer-encoding[ \t]*:', re.IGNORECASE)
_BARE_NEWLINE = re.compile(rb'(?<!\r)\n|\r(?!\n)')
_FOLDED_LINE = re.compile(rb'\n[ \t]')


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
    request_id : str
        The caller's own id if it is well-formed, else a generated one.
    target : str
        Path and query exactly as they were sent.
    raw_headers : list of pairs of bytes
        Every header line in its order, names as they were sent.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    received_at: float
    request_id: str = ''
    target: str = ''
    raw_headers: list[tuple[bytes, bytes]] = field(default_factory=list)


def build_request(head: h11.Request, body: bytes, received_at: float, id_name: str) -> HttpRequest:
    """Build a request from its parts.

    Parameters
    ----------
    head : h11.Request
        Accepted by h11.
    body : bytes
        Whole body.
    received_at : float
        Monotonic seconds.
    id_name : str
        Header that carries the id, in lower case.

    Returns
    -------
    HttpRequest
        With an id of its own if the caller's is missing or malformed.
    """
    target = head.target.decode('ascii')
    path, _, query = target.partition('?')
    headers = {name.decode('ascii'): text.decode('latin-1') for name, text in head.headers}
    request_id = choose_request_id(headers.get(id_name, ''))
    raw_headers = list(head.headers.raw_items())
    return HttpRequest(
        head.method.decode('ascii'), path, query, headers, body, received_at, request_id, target, raw_headers
    )


def check_framing(head: bytes) -> None:
    """Refuse a head that two readers could understand in two ways.

    Parameters
    ----------
    head : bytes
        The head as it was received.

    Raises
    ------
    RequestError
        If it states its length more than once, folds a line or ends one without CR LF.
    """
    lengths = len(_LENGTH_LINE.findall(head))
    encodings = len(_ENCODING_LINE.findall(head))
    if lengths + encodings > 1 or _LIST_OF_LENGTHS.search(head):
        raise bad_request('the request states its body length more than once', code='ambiguous_framing')
    if _BARE_NEWLINE.search(head):
        raise bad_request('a line of the head does not end with CR LF', code='ambiguous_framing')
    if _FOLDED_LINE.search(head):
        raise bad_request('a line of the head is folded', code='ambiguous_framing')
    if encodings and b'HTTP/1.1\r\n' not in head:
        raise bad_request('Transfer-Encoding needs HTTP/1.1', code='ambiguous_framing')


def stated_length(request: h11.Request, limit: int) -> int:
    """Return the Content-Length of a request, zero if it has none.

    Parameters
    ----------
    request : h11.Request
        Its head, accepted by h11.
    limit : int
        Largest body, in bytes.

    Returns
    -------
    int
        Bytes.

    Raises
    ------
    RequestError
        If the body would be larger than the limit.
    """
    text = dict(request.headers).get(b'content-length', b'0')
    length = int(text) if len(text) <= _MAX_LENGTH_DIGITS else limit + 1
    check_size(length, limit)
    return length


def check_size(length: int, limit: int) -> None:
    """Refuse a body that is too large.

    Raises
    ------
    RequestError
        If the length is above the limit, both in bytes.
    """
    if length > limit:
        raise bad_request(
            f'the body is larger than {limit} bytes', code='body_too_large', status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        )


def choose_request_id(offered: str) -> str:
    """Return the caller's request id if it is well-formed, else a new one.

    Examples
    --------
    >>> choose_request_id('order-17')
    'order-17'
    >>> len(choose_request_id('two words'))
    24
    """
    return offered if _REQUEST_ID.fullmatch(offered) else secrets.token_hex(_REQUEST_ID_BYTES)


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


def server_busy(message: str, code: str) -> RequestError:
    """Build the refusal of a request for which this process has no room.

    Parameters
    ----------
    message, code : str
        As in `RequestError`.

    Returns
    -------
    RequestError
        With outcome ``not_run``; the caller may come back after a second.
    """
    return RequestError(message, step='read_request', status=HTTPStatus.SERVICE_UNAVAILABLE, code=code, retry_after=1)
