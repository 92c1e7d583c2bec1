"""Callers that read slowly or not at all, a stand-in with long answers, and what a process holds meanwhile."""

import asyncio
import contextlib
import fcntl
import pathlib
import socket
import tempfile
from collections.abc import AsyncIterator, Callable, Iterator

import h11

from tamarackfield.core import Address
from tamarackfield.testing.processes import ManagedProcess, wait_until
from tamarackfield.testing.worker_answers import SIGNATURE, echo_request_id, encode_head, read_request
from tamarackfield.web import ClientError

#: Size of an answer, the largest that an entry reads as a whole.
LONG_ANSWER_BYTES = 4_194_304
#: Receive buffer of a caller; the kernel doubles it. Small, so that what is not read stays at the sender.
RECEIVE_BUFFER_BYTES = 4096
#: Bytes that a slow caller reads at once, and the seconds between two reads.
SLOW_READ_BYTES, SLOW_READ_SECONDS = 200, 0.5
#: Time between two callers of a crowd: the answer to one has arrived at the entry before the next one asks.
ARRIVAL_SECONDS = 0.1
#: Time for which a crowd of slow callers stays after the last one came.
CROWD_SECONDS = 3.0
#: Time-out of an ordinary request, which may be refused while there is no room.
ORDINARY_SECONDS = 60.0
_KILOBYTE = 1024
_PART_BYTES = 65_536
_HeaderLines = list[tuple[str, str]]


def _encode_chunk(content: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(content), content)


_CHUNKED = ('Transfer-Encoding', 'chunked')
_EVENT = b'data: %b\n\n' % bytes(1016).replace(b'\0', b'x')
#: Forms of long answers: header lines, and the parts that are sent over and over until `LONG_ANSWER_BYTES` are reached.
LONG_FORMS: dict[str, tuple[_HeaderLines, bytes]] = {
    'length': ([('Content-Length', str(LONG_ANSWER_BYTES))], bytes(4096)),
    'chunked': ([_CHUNKED], bytes(4096)),
    'small_chunks': ([_CHUNKED], bytes(64)),
    'unframed': ([], bytes(4096)),
    'events': ([_CHUNKED, ('Content-Type', 'text/event-stream')], _EVENT),
}


@contextlib.contextmanager
def run_alone() -> Iterator[None]:
    """Hold a lock on which all tests of slow readers wait, so that they run one at a time in all test processes."""
    with pathlib.Path(tempfile.gettempdir(), 'tamarackfield-slow-readers.lock').open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


class LongAnswerPeer:
    """Worker that answers each request with a long body, in one of `LONG_FORMS`.

    Parameters
    ----------
    form : str
        Key of the form.
    host, port
        Address on which it listens.

    Attributes
    ----------
    answered : int
        Number of requests that it received.
    reads_slowly : bool
        Whether it reads no bodies of requests.
    """

    def __init__(self, form: str, host: str, port: int) -> None:
        """Create a worker that does not listen."""
        self.form = form
        self.host = host
        self.port = port
        self.answered = 0
        self.reads_slowly = False
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self.accept, self.host, self.port, limit=_PART_BYTES)

    async def stop(self) -> None:
        """Accept no further connection."""
        if self.server is not None:
            self.server.close()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        with contextlib.suppress(OSError, h11.ProtocolError):
            if self.reads_slowly:
                self.answered += 1
                writer.transport.pause_reading()
                await asyncio.get_running_loop().create_future()
            request = await read_request(h11.Connection(h11.SERVER), reader)
            if request is not None:
                self.answered += 1
                await self._send(writer, dict(request[0].headers).get(b'tamarackfield-request-id', b'').decode())
        writer.close()

    async def _send(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        headers, part = LONG_FORMS[self.form]
        is_chunked = _CHUNKED in headers
        writer.write(encode_head([*echo_request_id(request_id), SIGNATURE, *headers]))
        piece = _encode_chunk(part) if is_chunked else part
        block = piece * (_PART_BYTES // len(part))
        for _ in range(LONG_ANSWER_BYTES // _PART_BYTES):
            writer.write(block)
            await writer.drain()
        if is_chunked:
            writer.write(_encode_chunk(b''))
        await writer.drain()


async def open_caller(address: Address, sent: bytes, buffer_bytes: int = RECEIVE_BUFFER_BYTES) -> socket.socket:
    """Connect with a small receive buffer and send bytes."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setblocking(False)
    await loop.sock_connect(sock, address)
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(CROWD_SECONDS):
            await loop.sock_sendall(sock, sent)
    return sock


async def read_slowly(sock: socket.socket, size: int = SLOW_READ_BYTES, seconds: float = SLOW_READ_SECONDS) -> None:
    """Read a few bytes at a time until the peer closes the connection."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while await loop.sock_recv(sock, size):
            await asyncio.sleep(seconds)


async def stop_in_the_middle(sock: socket.socket) -> None:
    """Read a half of a long answer, and nothing more."""
    loop = asyncio.get_running_loop()
    received = 0
    with contextlib.suppress(OSError):
        while received < LONG_ANSWER_BYTES // 2:
            chunk = await loop.sock_recv(sock, _PART_BYTES)
            if not chunk:
                return
            received += len(chunk)


async def send_slowly(sock: socket.socket) -> None:
    """Send a few bytes of a body at a time until the peer closes the connection."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while True:
            await loop.sock_sendall(sock, b'x')
            await asyncio.sleep(SLOW_READ_SECONDS)


@contextlib.asynccontextmanager
async def slow_crowd(
    address: Address,
    requests: list[bytes],
    behave: Callable | None = None,
    arrival_seconds: float = ARRIVAL_SECONDS,
) -> AsyncIterator[list[socket.socket]]:
    """Open a caller for each request, one after another, and run the block with all of them.

    Parameters
    ----------
    address : tuple of str and int
        Address of the entry.
    requests : list of bytes
        What each caller sends.
    behave : callable, optional
        Coroutine function that a caller runs with its socket then.
    arrival_seconds : float
        Time between two callers; 0 for all at once.
    """
    sockets: list[socket.socket] = []

    async def run_caller(number: int, sent: bytes) -> None:
        await asyncio.sleep(number * arrival_seconds)
        with contextlib.suppress(OSError):
            sock = await open_caller(address, sent)
            sockets.append(sock)
            if behave is not None:
                await behave(sock)

    callers = [asyncio.create_task(run_caller(number, sent)) for number, sent in enumerate(requests)]
    try:
        await asyncio.sleep(len(requests) * arrival_seconds + CROWD_SECONDS)
        yield sockets
    finally:
        await _end_crowd(callers, sockets)


async def _end_crowd(callers: list[asyncio.Task[None]], sockets: list[socket.socket]) -> None:
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    for sock in sockets:
        sock.close()


async def wait_for_ordinary_answer(call: Callable) -> None:
    """Send an ordinary request until it is answered with success; it may be refused before.

    Parameters
    ----------
    call : callable
        Coroutine function that sends the request and returns the status of its answer.
    """

    async def is_answered() -> bool:
        try:
            return await call() == 200
        except (ClientError, OSError):
            return False

    await wait_until(is_answered, 'an ordinary request is answered', ORDINARY_SECONDS)


def explain_excess(process: ManagedProcess, max_bytes: int, max_descriptors: int) -> str:
    """Return why a process is not within its limits, empty if it is."""
    if process.process.returncode is not None:
        return f'{process.name} ended with {process.process.returncode}:\n{process.read_log_end()}'
    directory = pathlib.Path(f'/proc/{process.process.pid}')
    status = (directory / 'status').read_text()
    line = next(line for line in status.splitlines() if line.startswith('VmHWM'))
    peak_bytes = int(line.split()[1]) * _KILOBYTE
    descriptors = len(list((directory / 'fd').iterdir()))
    if peak_bytes < max_bytes and descriptors < max_descriptors:
        return ''
    return f'{process.name} held up to {peak_bytes} bytes of {max_bytes}, {descriptors} descriptors'
