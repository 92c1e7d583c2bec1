"""Steady load of interview summaries and finding drafts on one model worker, a little above what it can run."""

import asyncio
import random
import time
from typing import Any

from standins import MODEL, Answer, Client, Deployment, Program

#: Adapters that are asked for; as many as a worker holds, asked for as the sheet says (Zipf, 1.2).
ADAPTERS = tuple(f'a{number}' for number in range(1, 27))
WEIGHTS = tuple(number**-1.2 for number in range(1, 27))


async def send_one(
    site: Deployment, entry: Program, route: str, adapter: str, deadline_ms: int, pieces: int
) -> dict[str, Any]:
    """Send one request on a new connection; return what was sent and seen."""
    request_id = site.request_id()
    headers = {
        'Tamarackfield-Request-Id': request_id,
        'Tamarackfield-Deadline-Ms': str(deadline_ms),
        'Tamarackfield-Model': f'{MODEL}/{adapter}',
        'Tamarackfield-Token-Usage': f'628,{pieces * 6}',
        'Tamarackfield-Prompt-Prefix': f'5c1e07a2:119,91bd3f06:79,{request_id[:8]}:430',
    }
    node = entry.settings['node']
    site.record.add(f'client sends {request_id} {route} {adapter} to {node}')
    client = Client(site.front(entry))
    sent_at = time.monotonic()
    try:
        answer = await asyncio.wait_for(client.send('POST', f'/{route}/2f', headers, 1700 * b'x'), deadline_ms / 1000 + 1)
    except (OSError, TimeoutError) as exc:
        answer = Answer()
        answer.error = f'no connection or no answer: {exc!r}'
        answer.ended_at = time.monotonic()
    client.close()
    site.record.add(f'client got {request_id} {answer.describe()} after {answer.ended_at - sent_at:.3f} s')
    return {'id': request_id, 'entry': node, 'adapter': adapter, 'sent_at': sent_at, 'answer': answer, 'route': route}


async def send_load(site: Deployment, choose_entry: Any, per_second: float, seconds: float) -> list[dict[str, Any]]:
    """Send requests at a constant rate; return all of them once they have ended."""
    rng = random.Random(7)
    tasks = []
    started = time.monotonic()
    number = 0
    while time.monotonic() - started < seconds:
        adapter = rng.choices(ADAPTERS, WEIGHTS)[0]
        pieces = max(1, min(159, int(rng.expovariate(1 / 49))))
        route, deadline_ms = ('summary', 20_000) if number % 2 else ('draft', 12_000)
        entry = choose_entry(number)
        tasks.append(asyncio.create_task(send_one(site, entry, route, adapter, deadline_ms, pieces)))
        number += 1
        await asyncio.sleep(max(0.0, started + number / per_second - time.monotonic()))
    return list(await asyncio.gather(*tasks))
