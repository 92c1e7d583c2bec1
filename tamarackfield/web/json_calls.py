"""JSON requests on pooled connections, each with its own time limit."""

import json
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import h11

from tamarackfield.core import Address
from tamarackfield.core.time_limits import time_limit
from tamarackfield.web.answer_budget import read_bounded_body
from tamarackfield.web.answer_room import HeldAnswer
from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection
from tamarackfield.web.pool import ConnectionPool

#: Size limit of an answer; the stores limit pages to one megabyte before encoding.
MAX_ANSWER_BYTES = 8_388_608
#: Limit on the idle time of a reused connection.
MAX_IDLE_SECONDS = 5.0
#: Size of the random ids of requests.
REQUEST_ID_BYTES = 8


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Answer to a JSON request.

    Header names are in lower case; the document is None for an empty body, and for that of an error that is not JSON.
    """

    status: int
    headers: dict[str, str]
    document: Any


async def call_json(  # noqa: WPS211 the parts of one request
    pool: ConnectionPool,
    address: Address,
    method: str,
    path: str,
    document: Any = None,
    headers: tuple[tuple[str, str], ...] = (),
    timeout_seconds: float = 1.0,
    id_header: str = '',
    on_progress: Callable[[], None] | None = None,
) -> JsonAnswer:
    """Send one request and decode the JSON answer.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that provides the connection.
    address : tuple of str and int
        IP number and port.
    method, path : str
        Method and path of the request; the path may include a query.
    document : object
        Request body, encoded as JSON; None for an empty body.
    headers : tuple of pairs
        Further headers besides Host, Content-Length and Content-Type.
    timeout_seconds : float
        Time limit of the whole exchange.
    id_header : str
        Header with which the server says in an answer to which request it belongs; empty if it does not. An answer
        to another request is skipped.
    on_progress : callable, optional
        Called with each part of the answer that arrives.

    Returns
    -------
    JsonAnswer
        Status, headers and decoded body.

    Raises
    ------
    ClientError
        If the exchange fails or exceeds the time limit, or the body of a success is not JSON.
    """
    peer = f'{address[0]}:{address[1]}'
    body = b'' if document is None else json.dumps(document).encode()
    header_lines = [('Host', peer), ('Content-Length', str(len(body))), *headers]
    if body:
        header_lines.append(('Content-Type', 'application/json'))
    request_id = secrets.token_hex(REQUEST_ID_BYTES)
    if id_header:
        header_lines.append((id_header, request_id))
    request = h11.Request(method=method, target=path, headers=header_lines)
    try:
        async with time_limit(timeout_seconds):
            head, answer = await _exchange(pool, address, request, body, (id_header, request_id), on_progress)
    except TimeoutError:
        raise ClientError(f'no answer within {timeout_seconds} s', 'call', peer, sent=True) from None
    answer_headers = {name.decode('ascii'): text.decode('latin-1') for name, text in head.headers}
    try:
        document = _decode(answer, peer)
    except ClientError:
        if head.status_code < HTTPStatus.MULTIPLE_CHOICES:
            raise
        # Proxies and servers under load answer with text; status and headers say what is needed.
        document = None
    return JsonAnswer(head.status_code, answer_headers, document)


async def _exchange(  # noqa: WPS211 the parts of one request
    pool: ConnectionPool,
    address: Address,
    request: h11.Request,
    body: bytes,
    identity: tuple[str, str],
    on_progress: Callable[[], None] | None,
) -> tuple[h11.Response, bytes]:
    connection = await pool.acquire(address, MAX_IDLE_SECONDS)
    connection.on_progress = on_progress
    held = HeldAnswer(connection.peer)
    try:
        connection.send(request, body)
        while True:
            head = await connection.receive()
            answer = await read_bounded_body(connection, pool.answers, held, MAX_ANSWER_BYTES)
            if _answers(head, *identity):
                return head, b''.join(answer.parts)
            pool.answers.release(held)
            connection.skip_answer()
    finally:
        pool.answers.release(held)
        _return_connection(pool, address, connection)


def _return_connection(pool: ConnectionPool, address: Address, connection: TargetConnection) -> None:
    connection.on_progress = None
    pool.release(address, connection)


def _answers(head: h11.Response, id_header: str, request_id: str) -> bool:
    """Return whether an answer may belong to a request: it names it, or names none."""
    if not id_header:
        return True
    named = dict(head.headers).get(id_header.lower().encode(), b'')
    return named in {b'', request_id.encode()}


def _decode(answer: bytes, peer: str) -> Any:
    if not answer:
        return None
    try:
        return json.loads(answer)
    except (ValueError, RecursionError) as exc:
        raise ClientError(f'answer is not JSON: {exc}', 'read_answer', peer, sent=True) from exc
