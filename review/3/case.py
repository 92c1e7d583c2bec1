"""Requests that wait in a sidecar's queue begin on a version that a newer one has replaced long ago."""

import asyncio
import time

from rig import MODEL, MODEL_SERVICE, TROUBLE, Rig, run_case

from tamarackfield.testing.platform_site import make_config, make_route, read_events
from tamarackfield.web.client import ClientError

VERSION_S = 5.0
RUN_S, EVENTS = 3.2, 49
CLIENTS_PER_S, BURST_X, BURST_S = 4.5, 2.6, 4.8
WARM_S = 6.0
CONFIG = make_config(
    routes=[make_route('/summary/', 'streaming', MODEL_SERVICE, resumable=True, target_latency_ms=1000)]
)


async def ask(rig: Rig, number: int) -> None:
    request_id = f'q{number:04d}'
    headers = [
        ('Tamarackfield-Request-Id', request_id),
        ('Tamarackfield-Model', f'{MODEL}/a1'),
        ('Tamarackfield-Token-Usage', '100,300'),
        ('Tamarackfield-Prompt-Prefix', f'aa:50,{number + 4096:x}:50'),
    ]
    rig.note(f'{request_id} sent')
    try:
        async with asyncio.timeout(20):
            async with rig.site.stream('/summary/x', headers, entry=number % 2) as response:
                events = await read_events(response)
                rig.note(f'{request_id} answered {response.status} with {len(events)} events')
    except (ClientError, TimeoutError) as exc:
        rig.note(f'{request_id} failed: {exc!r}')


async def play(rig: Rig) -> tuple[bool, str]:
    site = rig.site
    site.store.put('op/version/base.a1', {'model': MODEL, 'adapter': 'a1', 'version': 1})
    for name in ('w1', 'w2'):
        worker = await site.add_worker(name, MODEL_SERVICE)
        worker.event_count, worker.event_interval_seconds = EVENTS, RUN_S / (EVENTS + 1)
        await site.add_sidecar(worker)
    for _ in range(2):
        await site.add_entry()
    for entry in site.entries:
        await site.wait_for_sidecars(entry)
    begin = time.monotonic()
    acked = 0.0
    tasks = []
    due = begin
    number = 0
    while time.monotonic() < begin + WARM_S + BURST_S + 9:
        now = time.monotonic()
        in_burst = TROUBLE and WARM_S <= now - begin < WARM_S + BURST_S
        if not acked and now - begin >= WARM_S + BURST_S - 0.5:
            site.store.put('op/version/base.a1', {'model': MODEL, 'adapter': 'a1', 'version': 2})
            acked = time.monotonic()
            rig.note('version 2 of base/a1 is acknowledged', acked)
        if now >= due:
            number += 1
            tasks.append(asyncio.create_task(ask(rig, number)))
            due += 1 / (CLIENTS_PER_S * (BURST_X if in_burst else 1))
        await asyncio.sleep(max(0, min(due - time.monotonic(), 0.05)))
    await asyncio.gather(*tasks)
    late = 0
    for worker in site.workers.values():
        for run in worker.runs:
            version = run.headers.get('tamarackfield-expect-version', '')
            rig.note(f'{run.request_id} begins at {worker.name} on version {version}', run.began_at)
            if version == '1' and run.began_at > acked + VERSION_S:
                late += 1
    longest = max(
        (
            run.began_at - acked
            for w in site.workers.values()
            for run in w.runs
            if run.headers.get('tamarackfield-expect-version') == '1'
        ),
        default=0,
    )
    return (
        late > 0,
        f'{late} requests began on version 1 over {VERSION_S} s after version 2 was acknowledged, the last {longest:.2f} s after',
    )


run_case(__file__.rpartition('/')[0], CONFIG, play)
