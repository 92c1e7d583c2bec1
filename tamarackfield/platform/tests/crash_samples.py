"""Workers of a site that crash and start again, for tests."""

import asyncio

#: Time after which a crashed worker starts again, in seconds.
RESTART_SECONDS = 0.8
_CHECK_SECONDS = 0.02


async def restart_crashed_workers(site):
    """Start each worker that has crashed under a new name; never return."""
    while True:
        for worker in list(site.workers.values()):
            if worker.is_crashed():
                asyncio.get_running_loop().create_task(_restart(site, worker))
                worker.server = None
        await asyncio.sleep(_CHECK_SECONDS)


def list_crashes(site):
    """Return the times of all crashes in their order."""
    return sorted(at for worker in site.workers.values() for at in worker.crashed_at)


async def _restart(site, worker):
    await asyncio.sleep(RESTART_SECONDS)
    site.store.delete(f'servers/{worker.name}')
    worker.name = f'{worker.name}x'
    await worker.restart()
    site.write_worker_entry(worker)
