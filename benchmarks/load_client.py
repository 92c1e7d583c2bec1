"""Client that sends and times one request, and a collector of the statsd timers of the processes."""

import asyncio
import json
from dataclasses import dataclass, field

from benchmarks.traces import Arrival
from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.processes import HOST
from tamarackfield.web import ClientError, open_request

#: Time from the sending of a request to its deadline.
DEADLINE_SECONDS = 10.0
_MS_PER_SECOND = 1000
_HTTP_OK = 200
_STREAM_END = b'data: [DONE]\n\n'


@dataclass(slots=True)
class RequestResult:
    """Result of one request; times are monotonic seconds."""

    arrival: Arrival
    sent_at: float
    outcome: str = 'lost'
    retry_after: str = ''
    target: str = ''
    token_times: list[float] = field(default_factory=list)
    ended_at: float = 0.0

    @property
    def in_time(self) -> bool:
        """Whether the request ended before its deadline."""
        return self.ended_at - self.sent_at <= DEADLINE_SECONDS


async def send_request(arrival: Arrival, port: int) -> RequestResult:
    """Send one request of a trace to an entry and record the times of its answer."""
    result = RequestResult(arrival, SYSTEM_CLOCK.monotonic())
    body = {'model': arrival.adapter, 'prompt': 'x', 'max_tokens': arrival.tokens, 'stream': True}
    deadline = SYSTEM_CLOCK.unix_ms() + int(DEADLINE_SECONDS * _MS_PER_SECOND)
    headers = [
        ('Authorization', f'Bearer key-{arrival.caller}'),
        ('X-Deadline-Unix-Ms', str(deadline)),
        ('Content-Type', 'application/json'),
    ]
    try:
        async with asyncio.timeout(DEADLINE_SECONDS + 2):
            await _receive_answer(result, port, json.dumps(body).encode(), headers)
    except (ClientError, TimeoutError, OSError):
        result.outcome = 'broken'
    result.ended_at = SYSTEM_CLOCK.monotonic()
    return result


async def _receive_answer(result: RequestResult, port: int, body: bytes, headers: list[tuple[str, str]]) -> None:
    async with open_request((HOST, port), 'POST', '/v1/completions', body, headers) as response:
        if response.status != _HTTP_OK:
            error = json.loads(await response.read())['error']
            result.outcome = f'{error["outcome"]}:{error["code"]}'
            result.retry_after = response.headers.get('retry-after', '')
            return
        result.target = response.headers.get('x-target', '')
        tail = b''
        async for chunk in response.chunks():
            events = chunk.count(b'data: {')
            result.token_times.extend(SYSTEM_CLOCK.monotonic() for _ in range(events))
            tail = (tail + chunk)[-len(_STREAM_END) :]
        result.outcome = 'answered' if tail == _STREAM_END else 'cut'


class TimerCollector(asyncio.DatagramProtocol):
    """Receives statsd datagrams and stores every timer with its time of arrival."""

    def __init__(self) -> None:
        """Create a collector without timers."""
        self.timers: list[tuple[float, str, float]] = []
        self.port = 0

    async def listen(self) -> None:
        """Open a datagram socket on a free port."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=(HOST, 0))
        self.port = transport.get_extra_info('sockname')[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Store the timers of a datagram and ignore other metrics."""
        for line in data.decode().splitlines():
            name, _, text = line.partition(':')
            milliseconds, _, kind = text.partition('|')
            if kind.startswith('ms'):
                self.timers.append((SYSTEM_CLOCK.monotonic(), name.rpartition('.')[2], float(milliseconds)))

    def get_timer_values(self, name: str, since: float) -> list[float]:
        """Return the values in milliseconds of one timer that arrived at or after ``since`` (monotonic seconds)."""
        return [milliseconds for at, timer, milliseconds in self.timers if timer == name and at >= since]
