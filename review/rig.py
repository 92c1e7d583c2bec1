"""Small deployment of the project's own programs for the scripts of this folder.

The programs run as separate processes with the commands of the deploy file. Store and workers are the stand-ins of the
project, in this process. What clients sent and were answered is collected in `Rig.lines`.
"""

import asyncio
import os
import pathlib
import shutil
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

from loguru import logger

from tamarackfield.testing.platform_site import MODEL, MODEL_SERVICE, PLAIN_SERVICE, PlatformProcess, Site

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


async def _start_as_deployed(process: PlatformProcess) -> None:
    """Start a program with the command of the deploy file."""
    environment = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
    environment |= {
        'PYTHONPATH': f'{ROOT / "target/deps"}',
        'PYTHONDONTWRITEBYTECODE': '1',
        process.settings_variable: str(process.write_settings()),
    }
    process.log_offset = len(process.read_log())
    with process.log_path.open('ab') as log:
        process.process = await asyncio.create_subprocess_exec(
            'python3',
            '-S',
            '-m',
            'tamarackfield.platform',
            *process.arguments,
            stdout=log,
            stderr=log,
            start_new_session=True,
            env=environment,
            cwd=ROOT,
        )


PlatformProcess.start = _start_as_deployed
# The record says what happened; the stand-ins in this process log every connection.
logger.remove()


class Rig:
    """A running site, and the record of one run."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.lines: list[tuple[float, str]] = []
        self.started = time.monotonic()

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line to the record."""
        self.lines.append(((time.monotonic() if at is None else at) - self.started, text))

    def write(self, path: pathlib.Path, verdict: str) -> None:
        rows = [f'{at:8.3f} {text}' for at, text in sorted(self.lines)]
        path.write_text('\n'.join([*rows, verdict]) + '\n')


def run_case(
    folder: str, config: dict, play: Callable[[Rig], Awaitable[tuple[bool, str]]], limit_s: float = 110
) -> None:
    """Run one case and exit with its result; ``play`` returns whether the rule was broken, and a summary."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
    record = pathlib.Path(folder) / 'record.txt'

    async def run() -> int:
        site = Site(directory)
        site.store.era = 0
        rig = Rig(site)
        try:
            async with asyncio.timeout(limit_s):
                await site.start(config)
                broken, summary = await play(rig)
        except Exception as exc:
            rig.write(record, f'the case could not run: {exc!r}')
            raise
        finally:
            await site.stop()
        verdict = 'rule broken' if broken else 'rule held'
        rig.write(record, f'TROUBLE={int(TROUBLE)} {verdict}: {summary}')
        sys.stdout.write(f'{verdict}: {summary}\n')
        return BROKEN if broken else HELD

    try:
        code = asyncio.run(run())
    except Exception as exc:  # noqa: BLE001 whatever it is, the case did not run
        sys.stderr.write(f'the case could not run: {exc!r}\n')
        code = NOT_RUN
    if os.environ.get('KEEP_LOGS'):
        sys.stderr.write(f'logs: {directory}\n')
    else:
        shutil.rmtree(directory, ignore_errors=True)
    sys.exit(code)


__all__ = ['MODEL', 'MODEL_SERVICE', 'PLAIN_SERVICE', 'TROUBLE', 'Rig', 'run_case']
