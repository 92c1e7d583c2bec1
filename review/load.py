"""Requests for answers of the model worker, with the patience that PROTOCOL.md gives their clients."""

import asyncio
import time
from typing import Any

from standins import (
    DRAFT_OBJECTIVE_MS,
    GAP_MS,
    MODEL,
    SUMMARY_OBJECTIVE_MS,
    Answer,
    Client,
    Deployment,
    Program,
    stream_patience,
)


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
    patience = stream_patience(SUMMARY_OBJECTIVE_MS if route == 'summary' else DRAFT_OBJECTIVE_MS, GAP_MS)
    try:
        sending = client.send('POST', f'/{route}/2f', headers, 1700 * b'x', patience)
        answer = await asyncio.wait_for(sending, deadline_ms / 1000)
    except (OSError, TimeoutError) as exc:
        answer = Answer()
        answer.error = f'no connection or no answer: {exc!r}'
        answer.ended_at = time.monotonic()
    client.close()
    site.record.add(f'client got {request_id} {answer.describe()} after {answer.ended_at - sent_at:.3f} s')
    return {'id': request_id, 'entry': node, 'adapter': adapter, 'sent_at': sent_at, 'answer': answer, 'route': route}
