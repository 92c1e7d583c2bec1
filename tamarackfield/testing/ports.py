"""Free ports for processes that must know each other's ports before they start.

Ports lie below the range that the kernel gives to outgoing connections, and each is held by a
lock file as long as this process lives, so that test runs side by side do not take one twice.
"""

import fcntl
import pathlib
import random
import socket
import tempfile
from typing import IO

FIRST_PORT = 11_000
LAST_PORT = 32_000
_LOCK_DIRECTORY = pathlib.Path(tempfile.gettempdir()) / 'tamarackfield-ports'
_held: list[IO[str]] = []


def reserve_port() -> int:
    """Return a TCP port that nobody else uses or will be given.

    Returns
    -------
    int
        Between `FIRST_PORT` and `LAST_PORT`.

    Raises
    ------
    OSError
        If no port is free.
    """
    _LOCK_DIRECTORY.mkdir(exist_ok=True)
    candidates = list(range(FIRST_PORT, LAST_PORT))
    random.Random().shuffle(candidates)
    for port in candidates:
        if _lock(port) and _is_free(port):
            return port
    raise OSError('no free port')


def _lock(port: int) -> bool:
    handle = (_LOCK_DIRECTORY / str(port)).open('w')
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        handle.close()
        return False
    _held.append(handle)
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
