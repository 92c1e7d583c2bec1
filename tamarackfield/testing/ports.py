"""Reservation of ports for processes whose ports must be known before they start.

Ports are below the kernel's ephemeral range. This process locks a file for each port until it exits,
so that concurrent test runs do not reserve the same port.
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
_lock_files: list[IO[str]] = []


def reserve_port() -> int:
    """Return a free TCP port that no other test process can reserve.

    Returns
    -------
    int
        Port from `FIRST_PORT`, below `LAST_PORT`.

    Raises
    ------
    OSError
        If every port is reserved or in use.
    """
    _LOCK_DIRECTORY.mkdir(exist_ok=True)
    candidates = list(range(FIRST_PORT, LAST_PORT))
    random.Random().shuffle(candidates)
    for port in candidates:
        if _lock_port(port) and _is_free(port):
            return port
    raise OSError(f'no free port from {FIRST_PORT} and below {LAST_PORT}')


def _lock_port(port: int) -> bool:
    lock_file = (_LOCK_DIRECTORY / str(port)).open('w')
    try:
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock_file.close()
        return False
    _lock_files.append(lock_file)
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
