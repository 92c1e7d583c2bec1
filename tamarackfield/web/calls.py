"""Short calls in JSON on kept connections, each with a time limit of its own."""

import asyncio
import json
from typing import Any

import h11

from tamarackfield.core import Address
from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection
from tamarackfield.web.pool import ConnectionPool

#: Largest answer, in bytes; the stores that are read keep pages to a megabyte before encoding.
MAX_ANSWER_BYTES = 8_388_608
#: Longest idle time in seconds of a connection that is used again.
REUSE_SECONDS = 5.0


async def call_json(  # noqa: WPS211 the parts of one call
    pool: ConnectionPool,
    address: Address,
    method: str,
    path: str,
    document: Any = None,
    headers: tuple[tuple[str, str], ...] = (),
    seconds: float = 1.0,
) -> tuple[int, Any]:
    """Make one call.

    Parameters
    ----------
    pool : ConnectionPool
        Where the connection comes from.
    address : tuple of str and int
        IP number and port.
    method, path : str
        Of the call; the path may hold a query.
    document : object
        Sent as JSON if it is not None.
    headers : tuple of pairs
        Besides those that HTTP needs.
    seconds : float
        Time limit of the whole call.

    Returns
    -------
    tuple
        Status and decoded body, None for an empty one.

    Raises
    ------
    ClientError
        If the call breaks, is too slow, or its answer is not JSON.
    """
    peer = f'{address[0]}:{address[1]}'
    body = b'' if document is None else json.dumps(document).encode()
    lines = [('Host', peer), ('Content-Length', str(len(body))), *headers]
    if body:
        lines.append(('Content-Type', 'application/json'))
    request = h11.Request(method=method, target=path, headers=lines)
    try:
        async with asyncio.timeout(seconds):
            status, answer = await _exchange(pool, address, request, body)
    except TimeoutError:
        raise ClientError(f'no answer within {seconds} s', 'call', peer, sent=True) from None
    return status, _decode(answer, peer)


async def _exchange(pool: ConnectionPool, address: Address, request: h11.Request, body: bytes) -> tuple[int, bytes]:
    connection = await pool.acquire(address, REUSE_SECONDS)
    try:
        connection.send(request, body)
        head = await connection.receive()
        return head.status_code, await _read_body(connection)
    finally:
        pool.release(address, connection)


async def _read_body(connection: TargetConnection) -> bytes:
    body = bytearray()
    event = await connection.receive()
    while isinstance(event, h11.Data):
        body += event.data
        if len(body) > MAX_ANSWER_BYTES:
            raise ClientError('answer is too large', 'read_answer', connection.peer, sent=True)
        event = await connection.receive()
    return bytes(body)


def _decode(answer: bytes, peer: str) -> Any:
    if not answer:
        return None
    try:
        return json.loads(answer)
    except ValueError as exc:
        raise ClientError(f'answer is not JSON: {exc}', 'read_answer', peer, sent=True) from exc
