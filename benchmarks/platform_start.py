"""Processor time to start and memory at rest of the platform's programs.

Runs each program against the stand-ins of the platform, as a process of its own, and reads both
from the kernel once it has been ready for a second.
"""

import asyncio
import json
import pathlib
import tempfile

import psutil

from tamarackfield.testing.platform_site import MODEL_SERVICE, running_site

#: Goals: processor time in seconds, memory in megabytes.
START_SECONDS = 0.15
REST_MB = 28.0
REST_SECONDS = 1.0
_BYTES_PER_MB = 1_000_000


async def measure() -> dict[str, dict[str, float]]:
    """Return processor seconds and megabytes by program."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_site(pathlib.Path(directory)) as site:
            worker = await site.add_worker('m1', MODEL_SERVICE)
            sidecar = await site.add_sidecar(worker)
            entry = await site.add_entry()
            figures = {}
            for name, process in (('entry', entry), ('sidecar', sidecar)):
                figures[name] = {'start_cpu_s': _cpu_seconds(process.process.pid)}
            await asyncio.sleep(REST_SECONDS)
            for name, process in (('entry', entry), ('sidecar', sidecar)):
                info = psutil.Process(process.process.pid).memory_info()
                figures[name]['rest_mb'] = round(info.rss / _BYTES_PER_MB, 1)
            return figures


def _cpu_seconds(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return round(times.user + times.system, 3)


def main() -> None:
    """Print the figures and the goals as JSON."""
    figures = asyncio.run(measure())
    print(json.dumps({'goal': {'start_cpu_s': START_SECONDS, 'rest_mb': REST_MB}, **figures}, indent=1))


if __name__ == '__main__':
    main()
