"""Workers that crash on one part of a prompt: the part is found, and its requests go to no further worker."""

import asyncio
import itertools
import random

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.platform_site import MODEL_SERVICE, make_config, running_site
from tamarackfield.web.client import ClientError

#: Time after the fifth crash within which every machine knows of it, in seconds.
CONTACT_SECONDS = 3.0
#: Number of requests with a part that may reach workers after that.
MAX_LATE_RUNS = 3
WORKER_COUNT = 6
CRASHING_PART = 'bad0'
RESTART_SECONDS = 0.8


class CrashingSite:
    """Callers and workers of one test; sound and crashing requests share callers, routes and other parts."""

    def __init__(self, site, seed=1):
        self.site = site
        self.rng = random.Random(seed)
        self.numbers = itertools.count(1)
        self.statuses = {'sound': [], 'crashing': []}

    async def build(self, entries=2, workers=WORKER_COUNT, **changes):
        """Start workers, their sidecars and the entries."""
        for number in range(workers):
            worker = await self.site.add_worker(
                f'm{number}', MODEL_SERVICE, crashing_parts=frozenset((CRASHING_PART,)), event_count=12, **changes
            )
            await self.site.add_sidecar(worker)
        for _ in range(entries):
            await self.site.wait_for_sidecars(await self.site.add_entry())

    async def restart_crashed_workers(self):
        """Start each worker that has crashed under a new name."""
        while True:
            for worker in list(self.site.workers.values()):
                if worker.is_crashed():
                    asyncio.get_running_loop().create_task(self.restart(worker))
                    worker.server = None
            await asyncio.sleep(0.02)

    async def restart(self, worker):
        """Start one worker under a new name."""
        await asyncio.sleep(RESTART_SECONDS)
        self.site.store.delete(f'servers/{worker.name}')
        worker.name = f'{worker.name}x'
        await worker.restart()
        self.site.write_worker_entry(worker)

    async def send(self, kind, path='/draft/x', parts=()):
        """Send a request whose prompt shares parts with others."""
        shared = ['a0', self.rng.choice(('b0', 'b1', 'b2')), *parts]
        if kind == 'crashing':
            shared.insert(self.rng.randint(0, len(shared)), CRASHING_PART)
        prefix = ','.join(f'{part}:20' for part in (*shared, f'own{next(self.numbers)}'))
        headers = [
            ('Tamarackfield-Model', f'base/a{self.rng.randint(0, 2)}'),
            ('Tamarackfield-Prompt-Prefix', prefix),
            ('Tamarackfield-Deadline-Ms', '4000'),
        ]
        entry = next(self.numbers) % len(self.site.entries)
        try:
            status, _, _ = await self.site.call(path, 'POST', b'prompt', headers, entry=entry)
        except ClientError:
            status = 0
        self.statuses[kind].append((SYSTEM_CLOCK.monotonic(), status))

    async def send_traffic(self, seconds, crashing_interval=0.2, paths=('/draft/x',)):
        """Send crashing requests at an interval, and five times as many sound ones."""
        restarting = asyncio.create_task(self.restart_crashed_workers())
        ends_at = SYSTEM_CLOCK.monotonic() + seconds
        running = set()
        for number in itertools.count():
            if SYSTEM_CLOCK.monotonic() > ends_at:
                break
            kind = 'sound' if number % 6 else 'crashing'
            running.add(asyncio.create_task(self.send(kind, self.rng.choice(paths))))
            await asyncio.sleep(crashing_interval / 6)
        await asyncio.gather(*running)
        restarting.cancel()

    def list_crashes(self):
        """Return the times of all crashes in their order."""
        return sorted(at for worker in self.site.workers.values() for at in worker.crashed_at)

    def list_crashing_runs(self):
        """Return the times at which requests with the part reached workers, in their order."""
        runs = [run for worker in self.site.workers.values() for run in worker.runs]
        return sorted(run.began_at for run in runs if CRASHING_PART in run.list_shared_parts())

    def count_late_runs(self):
        """Return how many requests with the part reached workers after every machine could know of the fifth crash."""
        crashes = self.list_crashes()
        if len(crashes) < 5:
            return 0
        return sum(at > crashes[4] + CONTACT_SECONDS for at in self.list_crashing_runs())


async def test_prompt_part_that_crashed_five_workers_reaches_no_further_ones(tmp_path):
    async with running_site(tmp_path, make_config()) as site:
        crashing = CrashingSite(site)
        await crashing.build()
        await crashing.send_traffic(10)
        assert crashing.count_late_runs() <= MAX_LATE_RUNS
