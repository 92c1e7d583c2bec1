"""HTTP requests as passed to handlers, and the checks that h11 leaves to the application."""

import re
import secrets
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

from tamarackfield.core.errors import RequestError

#: Default name of the header that carries the request id.
REQUEST_ID_HEADER = 'X-Request-Id'
#: Size limit of a request head.
MAX_HEAD_BYTES = 16_384
_MAX_LENGTH_DIGITS = 15
_REQUEST_ID_BYTES = 12
_REQUEST_ID = re.compile('[A-Za-z0-9._:-]{1,128}')
_CONTENT_LENGTH_LINE = re.compile(rb'\ncontent-length[ \t]*:', re.IGNORECASE)
_CONTENT_LENGTH_LIST = re.compile(rb'\ncontent-length[ \t]*:[^\r\n]*,', re.IGNORECASE)
_TRANSFER_ENCODING_LINE = re.compile(rb'\ntransfer-encoding[ \t]*:', re.IGNORECASE)
_BARE_CR_OR_LF = re.compile(rb'(?<!\r)\n|\r(?!\n)')
_FOLDED_LINE = re.compile(rb'\n[ \t]')


@dataclass(slots=True)
class HttpRequest:
    """One complete request.

    Parameters
    ----------
    method : str
        HTTP method, such as ``POST``.
    path : str
        Path without the query.
    query : str
        Text after the question mark; empty if there is none.
    headers : dict
        Header values by name in lower case.
    body : bytes
        Request body.
    received_at : float
        Time at which the head was read, in monotonic seconds.
    request_id : str
        Request id of the caller if it is well-formed, else a generated one.
    target : str
        Path and query exactly as received.
    raw_headers : list of pairs of bytes
        All header lines in order, with names exactly as received.
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


def build_request(head: h11.Request, body: bytes, received_at: float, id_header_name: str) -> HttpRequest:
    """Build a request from its parts.

    Parameters
    ----------
    head : h11.Request
        Request head parsed by h11.
    body : bytes
        Request body.
    received_at : float
        Time at which the head was read, in monotonic seconds.
    id_name : str
        Name of the header that carries the request id, in lower case.

    Returns
    -------
    HttpRequest
        Request with a generated id if the caller's is missing or malformed.
    """
    target = head.target.decode('ascii')
    path, _, query = target.partition('?')
    headers = {name.decode('ascii'): text.decode('latin-1') for name, text in head.headers}
    request_id = choose_request_id(headers.get(id_header_name, ''))
    raw_headers = list(head.headers.raw_items())
    return HttpRequest(
        head.method.decode('ascii'), path, query, headers, body, received_at, request_id, target, raw_headers
    )


def check_framing(head: bytes) -> None:
    """Refuse a head that two HTTP parsers could interpret differently (request smuggling).

    Parameters
    ----------
    head : bytes
        Request head as received.

    Raises
    ------
    RequestError
        If it states the body length more than once, has a folded line or a line that does not end with CR LF,
        or uses Transfer-Encoding with another version than HTTP/1.1.
    """
    content_length_count = len(_CONTENT_LENGTH_LINE.findall(head))
    transfer_encoding_count = len(_TRANSFER_ENCODING_LINE.findall(head))
    if content_length_count + transfer_encoding_count > 1 or _CONTENT_LENGTH_LIST.search(head):
        raise make_read_error('the request states its body length more than once', code='ambiguous_framing')
    if _BARE_CR_OR_LF.search(head):
        raise make_read_error('a line of the head does not end with CR LF', code='ambiguous_framing')
    if _FOLDED_LINE.search(head):
        raise make_read_error('a line of the head is folded', code='ambiguous_framing')
    if transfer_encoding_count and b'HTTP/1.1\r\n' not in head:
        raise make_read_error('Transfer-Encoding needs HTTP/1.1', code='ambiguous_framing')


def parse_content_length(request: h11.Request, max_bytes: int) -> int:
    """Return the Content-Length of a request, zero if it has none.

    Parameters
    ----------
    request : h11.Request
        Request head parsed by h11.
    max_bytes : int
        Size limit of the body in bytes.

    Returns
    -------
    int
        Body length in bytes.

    Raises
    ------
    RequestError
        If the length exceeds the limit.
    """
    text = dict(request.headers).get(b'content-length', b'0')
    length = int(text) if len(text) <= _MAX_LENGTH_DIGITS else max_bytes + 1
    check_body_size(length, max_bytes)
    return length


def check_body_size(length: int, max_bytes: int) -> None:
    """Refuse a body that exceeds the size limit.

    Raises
    ------
    RequestError
        If ``length`` exceeds ``max_bytes``.
    """
    if length > max_bytes:
        raise make_read_error(
            f'the body is larger than {max_bytes} bytes',
            code='body_too_large',
            status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        )


def choose_request_id(caller_id: str) -> str:
    """Return the request id of the caller if it is well-formed, else a generated one.

    Examples
    --------
    >>> choose_request_id('order-17')
    'order-17'
    >>> len(choose_request_id('two words'))
    24
    """
    return caller_id if _REQUEST_ID.fullmatch(caller_id) else secrets.token_hex(_REQUEST_ID_BYTES)


def make_read_error(message: str, code: str, status: int = 400) -> RequestError:
    """Build the error for a request that could not be read.

    Parameters
    ----------
    message, code : str
        As in `RequestError`.
    status : int
        HTTP status.

    Returns
    -------
    RequestError
        Error with outcome ``not_run`` and step ``read_request``.
    """
    return RequestError(message, step='read_request', status=status, code=code)


def make_overload_error(message: str, code: str) -> RequestError:
    """Build the error for a request that is shed because a limit of this process is reached.

    Parameters
    ----------
    message, code : str
        As in `RequestError`.

    Returns
    -------
    RequestError
        Error with outcome ``not_run`` and a retry time of one second.
    """
    return RequestError(message, step='read_request', status=HTTPStatus.SERVICE_UNAVAILABLE, code=code, retry_after=1)
