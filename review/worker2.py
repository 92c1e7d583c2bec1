"""Model worker in a process of its own: the project's stand-in, of whose streams each Nth has no framing.

Usage: worker2.py NAME HOST PORT BORN EVENTS INTERVAL N, 0 for none; each run is printed on one line as it begins, with
whether it is one of those.
"""

import asyncio
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / 'target' / 'deps'), str(ROOT)]

from tamarackfield.testing.platform_worker import PlatformWorker  # noqa: E402


class EachNth:
    """Fault of each Nth request, in place of `WorkerFault`."""

    def __init__(self, every: int) -> None:
        self.every = every
        self.requests = 0
        self.unframed: set[int] = set()

    def next_fault(self) -> str:
        """Return the fault of the current request, empty for none, and count the request."""
        self.requests += 1
        if not self.every or self.requests % self.every:
            return ''
        self.unframed.add(self.requests)
        return 'unframed'


async def main() -> None:
    """Serve until killed."""
    name, host, port, born, events, interval, every = sys.argv[1:]
    worker = PlatformWorker(name, 'drafts', host, int(port), model='base')
    worker.started_unix_ms = int(born)
    worker.event_count = int(events)
    worker.event_interval_seconds = float(interval)
    worker.adapters['a1'] = 1
    worker.fault = EachNth(int(every))
    await worker.start()
    print(json.dumps({'entry': worker.make_store_entry()}), flush=True)
    known = 0
    while True:
        for number, run in enumerate(worker.runs[known:], start=known + 1):
            print(json.dumps({'run': run.request_id, 'unframed': number in worker.fault.unframed}), flush=True)
        known = len(worker.runs)
        await asyncio.sleep(0.01)


asyncio.run(main())
