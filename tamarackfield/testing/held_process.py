"""Holds a process at a chosen moment of its start or exit, so that a test can act at exactly that moment.

A pipe holds the process: whatever opens it for reading waits until the test opens it for writing. The pipe stands in
place of a file that the process reads, or is read by a module that the process imports.
"""

import contextlib
import os
import pathlib
from collections.abc import AsyncIterator
from typing import Any

from tamarackfield.testing.processes import wait_until

#: Library that every program imports; a module of the same name, found first, holds the process and loads the library.
HOLDING_MODULE = 'loguru'
IMPORTS, EXIT = 'imports', 'exit'
_SOURCE = """
import atexit, os, pathlib, sys

def hold(moment):
    pipe = pathlib.Path(__file__).parent / moment
    if pipe.exists():
        pipe.read_bytes()

hold('imports')
atexit.register(hold, 'exit')
sys.path.remove(str(pathlib.Path(__file__).parent))
del sys.modules[__name__]
__import__(__name__)
"""


def hold_next_start(monkeypatch: Any, directory: pathlib.Path, moment: str) -> pathlib.Path:
    """Let the processes that start from now on be held during their imports or at their exit.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
        Restores the module path of further processes.
    directory : pathlib.Path
        Directory that is created, with the module that holds the process.
    moment : str
        `IMPORTS` or `EXIT`.

    Returns
    -------
    pathlib.Path
        Path of the pipe.
    """
    directory.mkdir()
    monkeypatch.setenv('PYTHONPATH', f'{directory}:{os.environ.get("PYTHONPATH", "")}')
    (directory / f'{HOLDING_MODULE}.py').write_text(_SOURCE)
    pipe = directory / moment
    os.mkfifo(pipe)
    return pipe


@contextlib.asynccontextmanager
async def held_process(pipe: pathlib.Path) -> AsyncIterator[int]:
    """Wait until a process reads a pipe; hold it there, and release it at the end.

    Parameters
    ----------
    pipe : pathlib.Path
        Path of the pipe.

    Yields
    ------
    int
        File descriptor of the pipe, which is closed at the end.
    """

    async def open_pipe() -> list[int]:
        try:
            return [os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)]
        except OSError:
            # Nothing reads the pipe yet.
            return []

    descriptor = (await wait_until(open_pipe, f'a process reads {pipe.name}'))[0]
    try:
        yield descriptor
    finally:
        os.close(descriptor)
