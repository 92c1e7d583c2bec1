"""An operator declares new versions of adapters while requests for them wait for a place at a busy worker."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from load import send_one
from standins import MODEL, MODEL_SERVICE, Record, deployment, make_config, run_case

SLOTS = 16
VERSION_SECONDS = 5.0
#: Adapters of the long answers that take all places, and of the requests that wait; the worker holds all of them.
BUSY = [f'a{number}' for number in range(1, 17)]
AWAITED = [f'a{number}' for number in range(17, 25)]
LONG_PIECES, PIECES = 159, 49
DEADLINE_MS = 20_000


async def case(record: Record, trouble: bool) -> bool:
    async with deployment(record, make_config(SLOTS)) as site:
        adapters = dict.fromkeys([*BUSY, *AWAITED], 1)
        worker = await site.add_worker(MODEL_SERVICE, SLOTS, adapters=adapters, piece_seconds=0.05)
        await site.add_sidecar(worker)
        entries = [await site.add_entry(), await site.add_entry()]
        await site.wait_ready()
        tasks = []

        async def send_all(names: list[str], pieces: int) -> None:
            for number, adapter in enumerate(names):
                sending = send_one(site, entries[number % 2], 'summary', adapter, DEADLINE_MS, pieces)
                tasks.append(asyncio.create_task(sending))
                await asyncio.sleep(0.05)

        await send_all(BUSY, LONG_PIECES)
        await send_all(AWAITED, PIECES)
        acknowledged = {}
        for adapter in AWAITED if trouble else ():
            worker.newest[adapter] = 2
            site.store.put(f'op/version/{MODEL}.{adapter}', {'model': MODEL, 'adapter': adapter, 'version': 2})
            acknowledged[adapter] = time.monotonic()
            record.add(f'store acknowledges version 2 of {adapter}')
        sent = await asyncio.gather(*tasks)
        late = 0
        for run in worker.runs:
            age = run['began'] - acknowledged.get(run['adapter'], run['began'])
            if run['version'] < 2 and age > VERSION_SECONDS:
                late += 1
                record.add(
                    f'OLD VERSION {run["id"]}: {run["adapter"]}@{run["version"]} began {age:.3f} s after version 2'
                )
        answered = sum(request['answer'].complete and request['answer'].status == 200 for request in sent)
        record.add(f'{len(sent)} requests, {answered} answered, {late} began too late on the older version')
        return late > 0


run_case(case, str(pathlib.Path(__file__).resolve().parent))
