"""HTTP/1.1 client: a connection of its own for each exchange.

Targets stand beside the process that calls them, so a new connection is cheap, and one that is
never reused cannot hand a late answer to the next request.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import h11

from tamarackfield.core.errors import TamarackfieldError

#: Seconds allowed for connecting.
CONNECT_TIMEOUT = 1.0
#: Largest answer that is read whole, in bytes.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
_READ_BYTES = 65_536

Headers = list[tuple[str, str]]


class ClientError(TamarackfieldError):
    """The exchange broke; ``sent`` tells whether any byte of the request may have left.

    Parameters
    ----------
    message, step, peer : str
        As in `TamarackfieldError`.
    sent : bool
        False only if no byte of the request can have reached the peer.
    """

    def __init__(self, message: str, step: str, peer: str, *, sent: bool) -> None:
        """Keep what is known of the exchange."""
        super().__init__(message, step, peer)
        self.sent = sent


class ClientResponse:
    """An answer whose head was read; the body is read by iterating `chunks`."""

    def __init__(self, protocol: h11.Connection, reader: asyncio.StreamReader, peer: str) -> None:
        """Prepare to read an answer."""
        self.protocol = protocol
        self.reader = reader
        self.peer = peer
        self.status = 0
        self.headers: dict[str, str] = {}

    async def read_head(self) -> None:
        """Read status and headers; informational answers are passed over."""
        while True:
            event = await self._event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = {name.decode('ascii'): text.decode('latin-1') for name, text in event.headers}
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ClientError('peer closed before its answer', 'read_head', self.peer, sent=True)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in parts.

        Raises
        ------
        ClientError
            If the body is cut short.
        """
        while True:
            event = await self._event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            else:
                return

    async def read(self, limit: int = MAX_ANSWER_BYTES) -> bytes:
        """Return the whole body.

        Raises
        ------
        ClientError
            If the body is cut short or larger than the limit.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit:
                raise ClientError('answer is too large', 'read_body', self.peer, sent=True)
        return bytes(body)

    async def _event(self) -> Any:
        try:
            event = self.protocol.next_event()
            while event is h11.NEED_DATA:
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
    """Send one request and hand out its answer; the connection is closed at the end.

    Parameters
    ----------
    address : tuple of str and int
        IP number and port.
    method, path : str
        Of the request; the path may hold a query.
    body : bytes
        Whole body.
    headers : list of pairs, optional
        Besides Content-Length and Connection; Host is the peer unless it stands here.

    Yields
    ------
    ClientResponse
        With its head read.

    Raises
    ------
    ClientError
        If the exchange breaks; its ``sent`` tells whether the request may have arrived.
    """
    peer = f'{address[0]}:{address[1]}'
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address)
    except (OSError, TimeoutError) as exc:
        raise ClientError(f'cannot connect: {exc!r}', 'connect', peer, sent=False) from exc
    protocol = h11.Connection(h11.CLIENT)
    try:
        response = ClientResponse(protocol, reader, peer)
        writer.write(_encode(protocol, peer, (method, path), headers or [], body))
        await response.read_head()
        yield response
    finally:
        writer.transport.abort()


async def fetch(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b'',
    headers: Headers | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Make one exchange and read the whole answer.

    Parameters
    ----------
    address, method, path, body, headers
        As in `open_request`.

    Returns
    -------
    tuple
        Status, headers by name in lower case, body.

    Raises
    ------
    ClientError
        If the exchange breaks.
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
    """Make one exchange in JSON.

    Parameters
    ----------
    address, method, path, headers
        As in `open_request`.
    document : object
        Sent as JSON if it is not None.

    Returns
    -------
    tuple
        Status and decoded body, None for an empty body.

    Raises
    ------
    ClientError
        If the exchange breaks or the answer is not JSON.
    """
    body = b'' if document is None else json.dumps(document).encode()
    status, _, answer = await fetch(address, method, path, body, headers)
    try:
        return status, json.loads(answer) if answer else None
    except ValueError as exc:
        raise ClientError('answer is not JSON', 'read_answer', f'{address[0]}:{address[1]}', sent=True) from exc


def _encode(
    protocol: h11.Connection,
    peer: str,
    request_line: tuple[str, str],
    headers: Headers,
    body: bytes,
) -> bytes:
    method, path = request_line
    fixed = [('Content-Length', str(len(body))), ('Connection', 'close')]
    if all(name.lower() != 'host' for name, _ in headers):
        fixed.append(('Host', peer))
    head = protocol.send(h11.Request(method=method, target=path, headers=[*fixed, *headers]))
    content = protocol.send(h11.Data(data=body)) if body else b''
    return head + content + protocol.send(h11.EndOfMessage())
