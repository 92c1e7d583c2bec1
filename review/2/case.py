"""An entry gets SIGTERM while requests that it has read wait for a place at a busy worker."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from load import send_one
from standins import CLOSED, MODEL_SERVICE, Record, deployment, make_config, run_case

SLOTS = 16
GRACE_SECONDS = 8.0
LOSS_SLACK_SECONDS = 0.2
#: Adapters of the long answers that take all places, and of the requests that wait; the worker holds all of them.
BUSY = [f'a{number}' for number in range(1, 17)]
AWAITED = [f'a{number}' for number in range(17, 25)]
LONG_PIECES, PIECES = 159, 49
DEADLINE_MS = 20_000


async def case(record: Record, trouble: bool) -> bool:
    async with deployment(record, make_config(SLOTS)) as site:
        adapters = dict.fromkeys([*BUSY, *AWAITED], 1)
        worker = await site.add_worker(MODEL_SERVICE, SLOTS, adapters=adapters, piece_seconds=0.06)
        await site.add_sidecar(worker)
        stopped, other = await site.add_entry(), await site.add_entry()
        await site.wait_ready()
        tasks = []

        async def send_all(entry, names: list[str], pieces: int) -> None:
            for adapter in names:
                tasks.append(asyncio.create_task(send_one(site, entry, 'summary', adapter, DEADLINE_MS, pieces)))
                await asyncio.sleep(0.05)

        await send_all(other, BUSY, LONG_PIECES)
        await send_all(stopped, AWAITED, PIECES)
        if trouble:
            await terminate(record, stopped)
        sent = await asyncio.gather(*tasks)
        ran = {run['id'] for run in worker.runs}
        lost = 0
        for request in sent:
            answer = request['answer']
            held = answer.ended_at - answer.sent_at
            if request['id'] not in ran and answer.error == CLOSED and held > LOSS_SLACK_SECONDS:
                lost += 1
                record.add(f'LOST {request["id"]}: read by {request["entry"]}, closed after {held:.3f} s, never run')
        answered = sum(request['answer'].complete for request in sent)
        record.add(f'{len(sent)} requests, {len(ran)} run, {answered} answered, {lost} lost')
        return lost > 0


async def terminate(record: Record, program) -> None:
    """Stop an entry as the platform does."""
    node = program.settings['node']
    started = time.monotonic()
    record.add(f'SIGTERM to {node}')
    program.send(signal.SIGTERM)
    try:
        await asyncio.wait_for(program.process.wait(), GRACE_SECONDS)
        record.add(f'{node} ended {time.monotonic() - started:.3f} s after SIGTERM')
    except TimeoutError:
        record.add('SIGKILL at the end of grace_s')
        program.process.kill()


run_case(case, str(pathlib.Path(__file__).resolve().parent))
