"""Workers crash for some seconds whatever they run; a request that many callers send alike is in flight each time."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import (
    PLAIN_SERVICE,
    Answer,
    Client,
    Deployment,
    Record,
    Worker,
    deployment,
    make_config,
    run_case,
)

WORKERS, SLOTS = 4, 6
QUIET_SECONDS, CRASH_SECONDS, AFTER_SECONDS = 3.0, 12.0, 16.0
#: Seconds for which a worker runs its first request before it crashes, and after which it starts again.
DIES_AFTER_SECONDS, DOWN_SECONDS = 0.02, 1.0
PER_SECOND = 24
DEADLINE_MS = 1000
ALIKE = '/lookup/status-board'


class CrashingWorker(Worker):
    """Worker that crashes soon after it begins its first run, whichever that is, while ``crashing`` is set."""

    crashing = False

    def __init__(self, record: Record, name: str) -> None:
        super().__init__(record, name, PLAIN_SERVICE, SLOTS)
        self.crash = asyncio.Event()

    async def work(self, protocol, reader, writer, head, headers, run) -> None:
        if self.crashing:
            await asyncio.sleep(DIES_AFTER_SECONDS)
            self.crash.set()
        await super().work(protocol, reader, writer, head, headers, run)


async def send_one(site: Deployment, number: int) -> tuple[str, int]:
    """Send one request; every third is the one that many callers send, the others are each their own."""
    request_id = site.request_id()
    headers = {'Tamarackfield-Request-Id': request_id, 'Tamarackfield-Deadline-Ms': str(DEADLINE_MS)}
    method, path = (('GET', ALIKE), ('GET', f'/lookup/report-{number}'), ('POST', f'/filing/{number}'))[number % 3]
    client = Client(site.front(site.entries[number // 3 % len(site.entries)]))
    try:
        sending = client.send(method, path, headers, f'filing {number}'.encode() if method == 'POST' else b'')
        answer = await asyncio.wait_for(sending, DEADLINE_MS / 1000)
    except (OSError, TimeoutError) as exc:
        answer = Answer()
        answer.error = repr(exc)
    client.close()
    site.record.add(f'{method} {path} {request_id}: {answer.describe()} {answer.body[:60]!r}')
    return path, answer.status


async def case(record: Record, trouble: bool) -> bool:
    async with deployment(record, make_config(16)) as site:
        workers = [CrashingWorker(record, f'i-{site.seed.randrange(16**8):08x}') for _ in range(WORKERS)]
        site.beats.extend(asyncio.create_task(site.keep_up(worker, worker.crash, DOWN_SECONDS)) for worker in workers)
        site.workers.extend(workers)
        await site.add_entry()
        await site.add_entry()
        await site.wait_ready()
        await asyncio.sleep(1.5)
        tasks = []
        started = time.monotonic()
        seconds = QUIET_SECONDS + CRASH_SECONDS + AFTER_SECONDS
        while time.monotonic() < started + seconds:
            in_trouble = QUIET_SECONDS < time.monotonic() - started < QUIET_SECONDS + CRASH_SECONDS
            for worker in workers:
                worker.crashing = trouble and in_trouble
            tasks.append(asyncio.create_task(send_one(site, len(tasks))))
            await asyncio.sleep(max(0.0, started + len(tasks) / PER_SECOND - time.monotonic()))
        answers = await asyncio.gather(*tasks)
        denied = [path for path, status in answers if 300 <= status < 500 and status not in {408, 421, 429}]
        limit = 5 + len(answers) / 500
        alike = sum(path == ALIKE for path, _ in answers)
        record.add(f'{len(answers)} requests, {alike} of them alike; denied: {len(denied)}, allowed: {limit:.1f}')
        record.add(f'denied of those that are alike: {denied.count(ALIKE)}')
        return len(denied) > limit


run_case(case, str(pathlib.Path(__file__).resolve().parent))
