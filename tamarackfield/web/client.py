"""HTTP/1.1 client that opens a new connection for each exchange.

Targets run on the same machine as their client, so a new connection is cheap. A connection that is
not reused cannot deliver a late answer to the next request.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import h11

from tamarackfield.core.connections import retrieve_close_error
from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.core.time_limits import time_limit
from tamarackfield.core.turns import Turn
from tamarackfield.web.framing import BodyFraming, find_framing

#: Time limit for connecting.
CONNECT_TIMEOUT_SECONDS = 1.0
#: Size limit of an answer that `ClientResponse.read` returns.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
_READ_BYTES = 65_536
#: Limit of the informational heads that a peer may send ahead of an answer.
MAX_INFORMATIONAL_HEADS = 16
#: Largest status of an answer (RFC 9110, section 15); the parser refuses those below 100, but passes larger ones on.
MAX_STATUS = 599

Headers = list[tuple[str, str]]


class ClientError(TamarackfieldError):
    """An HTTP exchange failed; ``sent`` states whether any byte of the request may have been sent.

    Parameters
    ----------
    message, step, peer : str
        As in `TamarackfieldError`.
    sent : bool
        False only if no byte of the request can have reached the peer.
    """

    def __init__(self, message: str, step: str, peer: str, *, sent: bool) -> None:
        """Store the fields of the error."""
        super().__init__(message, step, peer)
        self.sent = sent


class ClientResponse:
    """Answer to one request; the body is read by iterating over `chunks`.

    Parameters
    ----------
    protocol : h11.Connection
        Protocol state of the connection.
    reader : asyncio.StreamReader
        Receiving side of the connection.
    peer : str
        Address of the peer, for error messages.

    Attributes
    ----------
    status : int
        HTTP status; 0 until the head is read.
    headers : dict
        Header values by name in lower case.
    framing : BodyFraming or None
        Framing of the body; None until the head is read.
    """

    def __init__(self, protocol: h11.Connection, reader: asyncio.StreamReader, peer: str) -> None:
        """Create a response whose head is not read yet."""
        self.protocol = protocol
        self.reader = reader
        self.peer = peer
        self.turn = Turn(peer)
        self.informational_heads = 0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.framing: BodyFraming | None = None

    async def read_head(self) -> None:
        """Read status and headers; skip informational responses."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise ClientError(f'answer has status {event.status_code}', 'read_answer', self.peer, sent=True)
                self.status = event.status_code
                self.framing = find_framing(event)
                self.headers = {name.decode('ascii'): text.decode('latin-1') for name, text in event.headers}
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ClientError('peer closed before its answer', 'read_head', self.peer, sent=True)
            self.informational_heads += 1
            if self.informational_heads > MAX_INFORMATIONAL_HEADS:
                raise ClientError('peer sends only informational heads', 'read_head', self.peer, sent=True)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in parts.

        Raises
        ------
        ClientError
            If the body is truncated.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            else:
                return

    async def read(self, max_bytes: int = MAX_ANSWER_BYTES) -> bytes:
        """Return the whole body.

        Raises
        ------
        ClientError
            If the body is truncated or larger than ``max_bytes``.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > max_bytes:
                raise ClientError('answer is too large', 'read_body', self.peer, sent=True)
        return bytes(body)

    async def _next_event(self) -> Any:
        try:
            await self.turn.count_piece()
            event = self.protocol.next_event()
            while event is h11.NEED_DATA:
                self.turn.begin()
                self.protocol.receive_data(await self.reader.read(_READ_BYTES))
                event = self.protocol.next_event()
        except (OSError, h11.RemoteProtocolError) as exc:
            raise ClientError(f'answer is broken: {exc!r}', 'read_answer', self.peer, sent=True) from exc
        return event


@contextlib.asynccontextmanager
async def open_request(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b'',
    headers: Headers | None = None,
) -> AsyncIterator[ClientResponse]:
    """Send one request and yield its answer; the connection is closed at the end.

    Parameters
    ----------
    address : tuple of str and int
        IP number and port.
    method, path : str
        Method and path of the request; the path may include a query.
    body : bytes
        Request body.
    headers : list of pairs, optional
        Further headers besides Content-Length and Connection; Host is the address of the peer unless given here.

    Yields
    ------
    ClientResponse
        Response whose head is already read.

    Raises
    ------
    ClientError
        If the exchange fails; ``sent`` states whether the peer may have received the request.
    """
    peer = f'{address[0]}:{address[1]}'
    try:
        async with time_limit(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
    except (OSError, TimeoutError) as exc:
        raise ClientError(f'cannot connect: {exc!r}', 'connect', peer, sent=False) from exc
    protocol = h11.Connection(h11.CLIENT)
    try:
        response = ClientResponse(protocol, reader, peer)
        writer.write(_encode_request(protocol, peer, (method, path), headers or [], body))
        await response.read_head()
        yield response
    finally:
        writer.transport.abort()
        await retrieve_close_error(reader, writer)


async def fetch(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b'',
    headers: Headers | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request and read the whole answer.

    Parameters
    ----------
    address, method, path, body, headers
        As in `open_request`.

    Returns
    -------
    tuple
        Status, headers by name in lower case, and body.

    Raises
    ------
    ClientError
        If the exchange fails.
    """
    async with open_request(address, method, path, body, headers) as response:
        return response.status, response.headers, await response.read()


async def fetch_json(
    address: tuple[str, int],
    method: str,
    path: str,
    document: Any = None,
    headers: Headers | None = None,
) -> tuple[int, Any]:
    """Send one request with a JSON body and decode the JSON answer.

    Parameters
    ----------
    address, method, path, headers
        As in `open_request`.
    document : object
        Request body, encoded as JSON; None for an empty body.

    Returns
    -------
    tuple
        Status and decoded body; the body is None if it is empty.

    Raises
    ------
    ClientError
        If the exchange fails or the answer is not JSON.
    """
    body = b'' if document is None else json.dumps(document).encode()
    status, _, answer = await fetch(address, method, path, body, headers)
    try:
        return status, json.loads(answer) if answer else None
    except ValueError as exc:
        raise ClientError('answer is not JSON', 'read_answer', f'{address[0]}:{address[1]}', sent=True) from exc


def _encode_request(
    protocol: h11.Connection,
    peer: str,
    request_line: tuple[str, str],
    headers: Headers,
    body: bytes,
) -> bytes:
    method, path = request_line
    default_headers = [('Content-Length', str(len(body))), ('Connection', 'close')]
    if all(name.lower() != 'host' for name, _ in headers):
        default_headers.append(('Host', peer))
    head = protocol.send(h11.Request(method=method, target=path, headers=[*default_headers, *headers]))
    content = protocol.send(h11.Data(data=body)) if body else b''
    return head + content + protocol.send(h11.EndOfMessage())
