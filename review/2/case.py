"""An entry that gets SIGTERM closes the connections of requests that still wait for a place, without an answer."""

import asyncio
import time

from rig import MODEL, MODEL_SERVICE, TROUBLE, Rig, run_case

from tamarackfield.testing.platform_site import make_config, make_route, read_events
from tamarackfield.web.client import ClientError

#: `loss_slack_ms` of the site.
LOSS_SLACK_S = 0.2
EVENTS, EVENT_S = 150, 0.065
DEADLINE_S = 20.0
SLOTS, QUEUED = 8, 4
CONFIG = make_config(
    routes=[make_route('/summary/', 'streaming', MODEL_SERVICE, resumable=True, target_latency_ms=1000)]
)


async def ask(rig: Rig, number: int, outcome: dict[str, str]) -> None:
    request_id = f'q{number:04d}'
    headers = [
        ('Tamarackfield-Request-Id', request_id),
        ('Tamarackfield-Model', f'{MODEL}/a1'),
        ('Tamarackfield-Token-Usage', '100,900'),
        ('Tamarackfield-Prompt-Prefix', f'aa:50,{number + 4096:x}:50'),
    ]
    sent_at = time.monotonic()
    rig.note(f'{request_id} sent')
    try:
        async with asyncio.timeout(DEADLINE_S):
            async with rig.site.stream('/summary/x', headers) as response:
                events = await read_events(response)
                outcome[request_id] = f'answered {response.status}'
                rig.note(f'{request_id} answered {response.status} with {len(events)} events')
    except TimeoutError:
        outcome[request_id] = 'gave up at its deadline'
        rig.note(f'{request_id} gave up at its deadline')
    except ClientError as exc:
        seconds = time.monotonic() - sent_at
        outcome[request_id] = 'closed' if seconds > LOSS_SLACK_S else 'closed at once'
        rig.note(f'{request_id} closed without a complete answer {seconds:.2f} s after it was sent: {exc}')


async def play(rig: Rig) -> tuple[bool, str]:
    site = rig.site
    site.store.put('op/version/base.a1', {'model': MODEL, 'adapter': 'a1', 'version': 1})
    worker = await site.add_worker('w1', MODEL_SERVICE)
    await site.add_sidecar(worker)
    await site.add_entry()
    await site.wait_for_sidecars(site.entries[0])
    outcome: dict[str, str] = {}
    worker.event_count, worker.event_interval_seconds = 3, 0.01
    await ask(rig, 0, outcome)
    worker.event_count, worker.event_interval_seconds = EVENTS, EVENT_S
    tasks = [asyncio.create_task(ask(rig, number, outcome)) for number in range(1, SLOTS + 1)]
    await asyncio.sleep(0.4)
    tasks += [asyncio.create_task(ask(rig, SLOTS + number, outcome)) for number in range(1, QUEUED + 1)]
    await asyncio.sleep(0.6)
    if TROUBLE:
        rig.note('entry gets SIGTERM')
        site.entries[0].process.terminate()
    await asyncio.gather(*tasks)
    begun = {run.request_id for run in worker.runs}
    for run in worker.runs:
        rig.note(f'{run.request_id} begins at {run.worker}', run.began_at)
    lost = sorted(name for name, end in outcome.items() if end == 'closed' and name not in begun)
    return bool(lost), f'{len(lost)} requests were read, never passed on and closed without an answer: {" ".join(lost)}'


run_case(__file__.rpartition('/')[0], CONFIG, play)
