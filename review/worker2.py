"""Model worker in a process of its own: the project's stand-in, whose streams have no framing if told so.

Usage: worker2.py NAME HOST PORT BORN EVENTS INTERVAL FAULT; each run is printed on one line as it begins.
"""

import asyncio
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / 'target' / 'deps'), str(ROOT)]

from tamarackfield.testing.platform_worker import PlatformWorker  # noqa: E402
from tamarackfield.testing.worker_records import WorkerFault  # noqa: E402


async def main() -> None:
    """Serve until killed."""
    name, host, port, born, events, interval, fault = sys.argv[1:]
    worker = PlatformWorker(name, 'drafts', host, int(port), model='base')
    worker.started_unix_ms = int(born)
    worker.event_count = int(events)
    worker.event_interval_seconds = float(interval)
    worker.adapters['a1'] = 1
    if fault != '-':
        worker.fault = WorkerFault(fault, 1_000_000)
    await worker.start()
    print(json.dumps({'entry': worker.make_store_entry()}), flush=True)
    known = 0
    while True:
        for run in worker.runs[known:]:
            print(json.dumps({'run': run.request_id}), flush=True)
        known = len(worker.runs)
        await asyncio.sleep(0.01)


asyncio.run(main())
