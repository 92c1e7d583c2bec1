"""The workers of a service are taken away just after a waiting watch was cut: are they called after `drain_ms`?"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig2  # noqa: E402

DRAIN_SECONDS = rig2.BOUNDS['drain_ms'] / 1000
#: Time from the cut of the watch to the removal of the first worker; the entry has read the store again by then.
GAP_SECONDS = 0.7
#: Time from the removal of the first worker to that of the second.
STEP_SECONDS = 0.2
#: Time for which the workers go on beyond the drain time before they exit: "a little longer".
EXTRA_SECONDS = 0.4
#: Time of the work of one request.
WORK_SECONDS = 0.2
#: Workers of the service that is emptied, and of another one.
LEAVING, STAYING = 2, 6


async def case(record: rig2.Record) -> int:
    """Return whether the rule held."""
    routes = [
        rig2.make_route('/file/', 'non_idempotent', 'ledger', target_latency_ms=150),
        rig2.make_route('/read/', 'idempotent', 'records', max_attempts=2, target_latency_ms=150),
    ]
    config = rig2.make_config(1, routes)
    config['services'].append({'name': 'records', 'health_path': '/healthz', 'max_conns': 100})
    site = rig2.Site(config, record)
    try:
        await site.start()
        numbers = range(1, LEAVING + STAYING + 1)
        services = ['ledger'] * LEAVING + ['records'] * STAYING
        workers = [
            await site.add_worker(f'i-{number}', service, event_interval_seconds=WORK_SECONDS)
            for number, service in zip(numbers, services, strict=True)
        ]
        entry = site.make_entry()
        entry.start()
        await site.wait_ready(entry)
        await asyncio.sleep(4)
        return await leave(site, record, workers[:LEAVING], entry)
    finally:
        await site.stop()


async def leave(site: rig2.Site, record: rig2.Record, workers: list, entry: rig2.Program) -> int:
    statuses: dict[str, int] = {}

    async def call(number: int) -> None:
        status, _ = await rig2.ask(entry.settings['listen']['front'], 'POST', f'/file/{number}', [
            f'Host: {rig2.HOST_NAME}', f'Tamarackfield-Request-Id: r{number}', 'Tamarackfield-Deadline-Ms: 1000',
            'Content-Length: 0',
        ])
        statuses[f'r{number}'] = status

    async def send() -> None:
        for number in range(10_000):
            calls.append(asyncio.create_task(call(number)))
            await asyncio.sleep(0.05)

    calls: list[asyncio.Task] = []
    sending = asyncio.create_task(send())
    await asyncio.sleep(1)
    if rig2.is_troubled():
        for _ in range(200):
            if site.store.cut_watches():
                record.add('a waiting watch of the store was cut')
                break
            await asyncio.sleep(0.01)
        else:
            raise RuntimeError('no watch waited')
    await asyncio.sleep(GAP_SECONDS)
    removed_at = {}
    for worker in workers:
        site.store.delete(f'servers/{worker.name}')
        removed_at[worker.name] = time.monotonic()
        record.add(f'the entry of worker {worker.name} was removed, acknowledged by the store')
        await asyncio.sleep(STEP_SECONDS)
    await asyncio.sleep(DRAIN_SECONDS + EXTRA_SECONDS)
    for worker in workers:
        await worker.stop()
    record.add('both workers exited')
    await asyncio.sleep(1)
    sending.cancel()
    await asyncio.gather(*calls)
    for line in entry.log().splitlines():
        if 'event=target_' in line or 'event=store_' in line:
            record.add('log: ' + line.partition('event=')[2].replace('instance=front-1 ', '')[:150])
    arrivals = sorted(
        (run.began_at - removed_at[worker.name], run.request_id, worker.name) for worker in workers for run in worker.runs
    )
    late = [arrival for arrival in arrivals if arrival[0] > DRAIN_SECONDS]
    record.add(f'{len(arrivals)} requests ran, the last {arrivals[-1][0]:.3f} s after the removal of its worker')
    for seconds, request_id, name in late:
        record.add(f'{request_id} ran at {name} {seconds:.3f} s after its removal, status {statuses.get(request_id)}')
    record.add(f'{len(late)} requests ran later than {DRAIN_SECONDS} s after the removal')
    return rig2.BROKEN if late else rig2.HELD


rig2.run(pathlib.Path(__file__).resolve().parent, case)
