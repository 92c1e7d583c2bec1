"""Control of real processes in tests: start, signals, readiness and logs."""

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
#: Time-out for a process to become ready or to exit.
START_TIMEOUT_SECONDS = 30.0
_POLL_SECONDS = 0.02
_OK = 200


class ProcessFailedError(Exception):
    """A process failed to start or stop (the message ends with its log), or a condition was not met in time."""


class ManagedProcess:
    """Process of one program or stand-in, with its settings and log files.

    Parameters
    ----------
    name : str
        Stem of the names of its settings and log files.
    module : str
        Python module that runs as the program.
    settings : dict
        Settings, written to the settings file at each start.
    directory : pathlib.Path
        Directory of the settings and log files.
    arguments : tuple of str
        Command-line arguments before ``--settings``.
    health : tuple
        Port and path of the health page, which answers with status 200 once the process is ready.
    host : str
        IP address of the health page.
    settings_variable : str
        Environment variable with the path of the settings file; empty to pass the option ``--settings``.
    """

    def __init__(  # noqa: WPS211 each parameter describes the process
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
        """Create a process that is not started."""
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
        self.log_offset = 0

    async def start(self) -> None:
        """Start the process without waiting until it is ready."""
        settings_path = self.write_settings()
        command = [sys.executable, '-m', self.module, *self.arguments]
        environment = dict(os.environ)
        if self.settings_variable:
            environment[self.settings_variable] = str(settings_path)
        else:
            command += ['--settings', str(settings_path)]
        self.log_offset = len(self.read_log())
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env=environment,
            )

    def write_settings(self) -> pathlib.Path:
        """Write the settings file and return its path."""
        settings_path = self.directory / f'{self.name}.json'
        settings_path.write_text(json.dumps(self.settings, indent=2))
        return settings_path

    def reload(self) -> None:
        """Write the settings file and let the running process read it."""
        self.write_settings()
        self.send_signal(signal.SIGHUP)

    async def wait_ready(self) -> None:
        """Wait until the health page answers.

        Raises
        ------
        ProcessFailedError
            If the process exits, or is not ready within `START_TIMEOUT_SECONDS`.
        """
        expires_at = SYSTEM_CLOCK.monotonic() + START_TIMEOUT_SECONDS
        port, path = self.health
        while SYSTEM_CLOCK.monotonic() < expires_at:
            if self.process is None or self.process.returncode is not None:
                break
            if await _is_healthy(self.host, port, path):
                return
            await asyncio.sleep(_POLL_SECONDS)
        raise ProcessFailedError(
            f'{self.name} exited or was not ready within {START_TIMEOUT_SECONDS} s:\n{self.read_log_end()}'
        )

    async def wait_for_log_text(self, text: str, times: int = 1) -> None:
        """Wait until a text occurs in the log at least this many times.

        Raises
        ------
        ProcessFailedError
            If the text does not occur within `START_TIMEOUT_SECONDS`.
        """

        async def occurs() -> bool:
            return self.read_log().count(text) >= times

        await wait_until(occurs, f'{text!r} in the log of {self.name}')

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def terminate(self) -> int:
        """Terminate the process gracefully and return its exit code; kill it after a time-out.

        Raises
        ------
        ProcessFailedError
            If the process does not exit within `START_TIMEOUT_SECONDS`.
        """
        if self.process.returncode is None:
            self.process.terminate()
        try:
            return await asyncio.wait_for(self.process.wait(), START_TIMEOUT_SECONDS)
        except TimeoutError:
            await self.kill()
            raise ProcessFailedError(
                f'{self.name} did not exit within {START_TIMEOUT_SECONDS} s:\n{self.read_log_end()}'
            ) from None

    def freeze(self) -> None:
        """Suspend the process."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process."""
        self.send_signal(signal.SIGCONT)

    def read_log(self) -> str:
        """Return the log of all starts of the process."""
        return self.log_path.read_text() if self.log_path.exists() else ''

    def has_started(self) -> bool:
        """Return whether the process runs and has logged its start, which follows the set-up of signal handlers."""
        running = self.process is not None and self.process.returncode is None
        return running and 'event=started' in self.read_log()[self.log_offset :]

    def read_log_end(self, lines: int = 30) -> str:
        """Return the last lines of the log."""
        return '\n'.join(self.read_log().splitlines()[-lines:])


async def _is_healthy(host: str, port: int, path: str) -> bool:
    try:
        async with asyncio.timeout(2):
            status, _, _ = await fetch((host, port), 'GET', path)
    except (ClientError, TimeoutError):
        return False
    return status == _OK


async def request_page(port: int, method: str, path: str, document: Any = None) -> Any:
    """Request a page of a process on this machine and return the decoded JSON answer."""
    _, answer = await fetch_json((HOST, port), method, path, document)
    return answer


async def wait_until(condition, description: str, seconds: float = START_TIMEOUT_SECONDS) -> Any:
    """Poll an asynchronous condition until it returns a true value, and return that value.

    Parameters
    ----------
    condition : callable
        Coroutine function without arguments.
    description : str
        Description of the condition for the error message.
    seconds : float
        Time-out.

    Returns
    -------
    object
        First true value of the condition.

    Raises
    ------
    ProcessFailedError
        If the condition is not true before the time-out.
    """
    expires_at = SYSTEM_CLOCK.monotonic() + seconds
    while SYSTEM_CLOCK.monotonic() < expires_at:
        result = await condition()
        if result:
            return result
        await asyncio.sleep(_POLL_SECONDS)
    raise ProcessFailedError(f'condition not met within {seconds} s: {description}')
