"""Entries of another writer, for a service that isn't named here, stand in the store when all processes start again."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import MODEL_SERVICE, PLAIN_SERVICE, Answer, Client, Deployment, Record, deployment, make_config, run_case

RECOVERY_SECONDS = 12.0
SERVED_SHARE = 0.25
PER_SECOND = 20
DEADLINE_MS = 1000


async def send_one(site: Deployment, number: int) -> tuple[float, bool]:
    """Send one lookup or filing on a new connection; return when it was sent and whether it was served."""
    entry = site.entries[number % len(site.entries)]
    request_id = site.request_id()
    headers = {'Tamarackfield-Request-Id': request_id, 'Tamarackfield-Deadline-Ms': str(DEADLINE_MS)}
    method, path = ('POST', '/filing/2f') if number % 3 else ('GET', f'/lookup/{number}')
    client = Client(site.front(entry))
    sent_at = time.monotonic()
    try:
        sending = client.send(method, path, headers, b'filing' if method == 'POST' else b'')
        answer = await asyncio.wait_for(sending, DEADLINE_MS / 1000)
    except (OSError, TimeoutError) as exc:
        answer = Answer()
        answer.error = repr(exc)
    client.close()
    site.record.add(f'{method} {path} {request_id}: {answer.describe()}')
    served = answer.status == 200 and answer.complete and 'tamarackfield-server-signature' in answer.headers
    return sent_at, served


async def send_load(site: Deployment, seconds: float) -> list[tuple[float, bool]]:
    tasks = []
    started = time.monotonic()
    while time.monotonic() < started + seconds:
        tasks.append(asyncio.create_task(send_one(site, len(tasks))))
        await asyncio.sleep(max(0.0, started + len(tasks) / PER_SECOND - time.monotonic()))
    return list(await asyncio.gather(*tasks))


def write_entries_of_another(site: Deployment, record: Record) -> None:
    """Write an entry at the address of each worker for a service that no configuration names."""
    for number, worker in enumerate(site.workers):
        document = worker.entry() | {'service': 'fleet-inventory', 'born': int(time.time() * 1000)}
        site.store.put(f'servers/inv-{number}', document)
        record.add(f'another writer writes servers/inv-{number} for fleet-inventory at {document["address"]}')


async def case(record: Record, trouble: bool) -> bool:
    async with deployment(record, make_config(16)) as site:
        for _ in range(4):
            await site.add_worker(PLAIN_SERVICE, 6)
        model_worker = await site.add_worker(MODEL_SERVICE, 16, adapters={'a1': 1})
        await site.add_sidecar(model_worker)
        await site.add_entry()
        await site.add_entry()
        await site.wait_ready()
        before = await send_load(site, 4.0)
        record.add('all processes are killed')
        programs = [*site.entries, *site.sidecars]
        for program in programs:
            await program.end()
        if trouble:
            write_entries_of_another(site, record)
        await asyncio.sleep(1.0)
        for program in programs:
            await program.start()
        back_at = time.monotonic()
        record.add('all processes are started again')
        after = await send_load(site, RECOVERY_SECONDS + 6.0)
        judged = [served for sent_at, served in after if sent_at > back_at + RECOVERY_SECONDS]
        share_before = sum(served for _, served in before) / len(before)
        share_after = sum(judged) / len(judged)
        record.add(f'served before the fault: {share_before:.3f} of {len(before)}')
        record.add(f'served later than recovery_s after the start: {share_after:.3f} of {len(judged)}')
        return share_before >= SERVED_SHARE > share_after


run_case(case, str(pathlib.Path(__file__).resolve().parent))
