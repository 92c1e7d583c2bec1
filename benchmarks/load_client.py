"""One caller's request, timed, and a collector of the processes' statsd timers."""

import asyncio
import json
from dataclasses import dataclass, field

from benchmarks.traces import Arrival
from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.processes import HOST
from tamarackfield.web import ClientError, open_request

#: Seconds that each request allows.
DEADLINE_SECONDS = 10.0
_MS_PER_SECOND = 1000
_OK = 200
_END = b'data: [DONE]\n\n'


@dataclass(slots=True)
class Result:
    """What became of one request; times are monotonic seconds."""

    arrival: Arrival
    sent_at: float
    outcome: str = 'lost'
    retry_after: str = ''
    target: str = ''
    token_times: list[float] = field(default_factory=list)
    ended_at: float = 0.0

    @property
    def in_time(self) -> bool:
        """Whether the exchange ended before the deadline."""
        return self.ended_at - self.sent_at <= DEADLINE_SECONDS


async def send(arrival: Arrival, port: int) -> Result:
    """Send one request of a trace to an entry and time its answer."""
    result = Result(arrival, SYSTEM_CLOCK.monotonic())
    body = {'model': arrival.adapter, 'prompt': 'x', 'max_tokens': arrival.tokens, 'stream': True}
    deadline = SYSTEM_CLOCK.unix_ms() + int(DEADLINE_SECONDS * _MS_PER_SECOND)
    headers = [
        ('Authorization', f'Bearer key-{arrival.caller}'),
        ('X-Deadline-Unix-Ms', str(deadline)),
        ('Content-Type', 'application/json'),
    ]
    try:
        async with asyncio.timeout(DEADLINE_SECONDS + 2):
            await _exchange(result, port, json.dumps(body).encode(), headers)
    except (ClientError, TimeoutError, OSError):
        result.outcome = 'broken'
    result.ended_at = SYSTEM_CLOCK.monotonic()
    return result


async def _exchange(result: Result, port: int, body: bytes, headers: list[tuple[str, str]]) -> None:
    async with open_request((HOST, port), 'POST', '/v1/completions', body, headers) as response:
        if response.status != _OK:
            error = json.loads(await response.read())['error']
            result.outcome = f'{error["outcome"]}:{error["code"]}'
            result.retry_after = response.headers.get('retry-after', '')
            return
        result.target = response.headers.get('x-target', '')
        tail = b''
        async for chunk in response.chunks():
            events = chunk.count(b'data: {')
            result.token_times.extend(SYSTEM_CLOCK.monotonic() for _ in range(events))
            tail = (tail + chunk)[-len(_END) :]
        result.outcome = 'answered' if tail == _END else 'cut'


class TimerCollector(asyncio.DatagramProtocol):
    """Takes statsd datagrams and keeps every timer with the time of its arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self.timers: list[tuple[float, str, float]] = []
        self.port = 0

    async def listen(self) -> None:
        """Open a datagram socket on a free port."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=(HOST, 0))
        self.port = transport.get_extra_info('sockname')[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Keep a timer, pass over everything else."""
        for line in data.decode().splitlines():
            name, _, text = line.partition(':')
            number, _, kind = text.partition('|')
            if kind.startswith('ms'):
                self.timers.append((SYSTEM_CLOCK.monotonic(), name.rpartition('.')[2], float(number)))

    def since(self, name: str, moment: float) -> list[float]:
        """Return the milliseconds of one timer from a moment on."""
        return [number for at, timer, number in self.timers if timer == name and at >= moment]
