"""Real processes of the system under a test's control."""

import asyncio
import json
import os
import pathlib
import signal
import sys
from typing import Any

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.web import ClientError, fetch, fetch_json

HOST = '127.0.0.1'
#: Seconds allowed for a process to become ready or to exit.
START_TIMEOUT = 30.0
_POLL_SECONDS = 0.02
_OK = 200


class ProcessFailedError(Exception):
    """A process did not do what the test waits for; the message holds the end of its log."""


class ManagedProcess:
    """One program of the system, or one stand-in.

    Parameters
    ----------
    name : str
        For its settings and log files.
    module : str
        Python module that is run.
    settings : dict
        Written to its settings file.
    directory : pathlib.Path
        Where its files go.
    arguments : tuple of str
        Before ``--settings``.
    health : tuple
        Port and path that answer with status 200 once it is ready.
    host : str
        IP number of the health page.
    settings_variable : str
        Environment variable that names its settings file; empty for the option ``--settings``.
    """

    def __init__(  # noqa: WPS211 a process is described by all of these
        self,
        name: str,
        module: str,
        settings: dict[str, Any],
        directory: pathlib.Path,
        *,
        arguments: tuple[str, ...] = (),
        health: tuple[int, str],
        host: str = HOST,
        settings_variable: str = '',
    ) -> None:
        """Describe a process that does not run yet."""
        self.name = name
        self.module = module
        self.settings = settings
        self.directory = directory
        self.arguments = arguments
        self.health = health
        self.host = host
        self.settings_variable = settings_variable
        self.log_path = directory / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.life_begins = 0

    async def start(self) -> None:
        """Start the process without waiting until it is ready."""
        settings_path = self.directory / f'{self.name}.json'
        settings_path.write_text(json.dumps(self.settings, indent=2))
        command = [sys.executable, '-m', self.module, *self.arguments]
        environment = dict(os.environ)
        if self.settings_variable:
            environment[self.settings_variable] = str(settings_path)
        else:
            command += ['--settings', str(settings_path)]
        self.life_begins = len(self.log())
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env=environment,
            )

    async def wait_ready(self) -> None:
        """Wait until the health page answers.

        Raises
        ------
        ProcessFailedError
            If the process exits or is not ready in time.
        """
        expires_at = SYSTEM_CLOCK.monotonic() + START_TIMEOUT
        port, path = self.health
        while SYSTEM_CLOCK.monotonic() < expires_at:
            if self.process is None or self.process.returncode is not None:
                break
            if await _answers(self.host, port, path):
                return
            await asyncio.sleep(_POLL_SECONDS)
        raise ProcessFailedError(f'{self.name} is not ready:\n{self.tail()}')

    async def wait_log(self, text: str, times: int = 1) -> None:
        """Wait until a text stands in its log.

        Raises
        ------
        ProcessFailedError
            If it does not come in time.
        """

        async def written() -> bool:
            return self.log().count(text) >= times

        await wait_until(written, f'{text!r} in the log of {self.name}')

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process without warning."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def terminate(self) -> int:
        """Ask the process to stop and return its exit code; one that does not stop in time is killed.

        Raises
        ------
        ProcessFailedError
            If it does not stop in time.
        """
        if self.process.returncode is None:
            self.process.terminate()
        try:
            return await asyncio.wait_for(self.process.wait(), START_TIMEOUT)
        except TimeoutError:
            await self.kill()
            raise ProcessFailedError(f'{self.name} did not stop:\n{self.tail()}') from None

    def freeze(self) -> None:
        """Stop the process as if it had been paused."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.send(signal.SIGCONT)

    def log(self) -> str:
        """Return everything that the process logged."""
        return self.log_path.read_text() if self.log_path.exists() else ''

    def has_started(self) -> bool:
        """Tell whether the present life of the process runs, with its signal handlers in place."""
        running = self.process is not None and self.process.returncode is None
        return running and 'event=started' in self.log()[self.life_begins :]

    def tail(self, lines: int = 30) -> str:
        """Return the end of its log."""
        return '\n'.join(self.log().splitlines()[-lines:])


async def _answers(host: str, port: int, path: str) -> bool:
    try:
        async with asyncio.timeout(2):
            status, _, _ = await fetch((host, port), 'GET', path)
    except (ClientError, TimeoutError):
        return False
    return status == _OK


async def call_json(port: int, method: str, path: str, document: Any = None) -> Any:
    """Call a page of a process on this machine and return the decoded answer."""
    _, answer = await fetch_json((HOST, port), method, path, document)
    return answer


async def wait_until(condition, what: str, seconds: float = START_TIMEOUT) -> Any:
    """Wait until an async condition gives something true, and return that.

    Parameters
    ----------
    condition : callable
        Coroutine function without arguments.
    what : str
        Named in the error.
    seconds : float
        Limit that only a fault reaches.

    Returns
    -------
    object
        What the condition gave.

    Raises
    ------
    ProcessFailedError
        If it stays false.
    """
    expires_at = SYSTEM_CLOCK.monotonic() + seconds
    while SYSTEM_CLOCK.monotonic() < expires_at:
        found = await condition()
        if found:
            return found
        await asyncio.sleep(_POLL_SECONDS)
    raise ProcessFailedError(f'did not happen: {what}')
