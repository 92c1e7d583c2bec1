"""Measures the start-up processor time and the idle memory of the platform's processes.

Starts each process against the stand-ins of the platform. Reads processor time from the kernel once
the processes are ready, and memory `IDLE_SECONDS` later.
"""

import asyncio
import json
import pathlib
import tempfile

import psutil

from tamarackfield.testing.platform_site import MODEL_SERVICE, running_site

#: Goals of start-up processor time and idle memory.
START_CPU_SECONDS_GOAL = 0.15
IDLE_MEMORY_MB_GOAL = 28.0
IDLE_SECONDS = 1.0
_BYTES_PER_MB = 1_000_000


async def measure_processes() -> dict[str, dict[str, float]]:
    """Return processor seconds and megabytes by process."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_site(pathlib.Path(directory)) as site:
            worker = await site.add_worker('m1', MODEL_SERVICE)
            sidecar = await site.add_sidecar(worker)
            entry = await site.add_entry()
            figures = {}
            for name, process in (('entry', entry), ('sidecar', sidecar)):
                figures[name] = {'start_cpu_s': _read_cpu_seconds(process.process.pid)}
            await asyncio.sleep(IDLE_SECONDS)
            for name, process in (('entry', entry), ('sidecar', sidecar)):
                info = psutil.Process(process.process.pid).memory_info()
                figures[name]['rest_mb'] = round(info.rss / _BYTES_PER_MB, 1)
            return figures


def _read_cpu_seconds(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return round(times.user + times.system, 3)


def main() -> None:
    """Print the measurements and the goals as JSON."""
    figures = asyncio.run(measure_processes())
    print(
        json.dumps(
            {'goal': {'start_cpu_s': START_CPU_SECONDS_GOAL, 'rest_mb': IDLE_MEMORY_MB_GOAL}, **figures}, indent=1
        )
    )


if __name__ == '__main__':
    main()
