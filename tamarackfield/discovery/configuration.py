"""Client of the configuration service: GET and long-poll watch, never a write."""

import asyncio

from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.core.problems import split_address
from tamarackfield.web import ClientError, fetch

#: Seconds that a watch waits in the service before it answers "no change".
WATCH_SECONDS = 2
#: Seconds allowed for a read.
READ_TIMEOUT = 3.0
_OK = 200
_NOT_MODIFIED = 304


class ConfigurationError(TamarackfieldError):
    """The configuration service gave no usable answer."""


class ConfigurationClient:
    """Reads values by name.

    Parameters
    ----------
    addresses : list of str
        ``ip:port`` of the service's addresses, tried in order.
    """

    def __init__(self, addresses: list[str]) -> None:
        """Prepare; nothing is connected yet."""
        self.addresses = [split_address(address) for address in addresses]
        self.calls = 0

    async def read(self, name: str) -> tuple[bytes, int]:
        """Return a value and its revision.

        Raises
        ------
        ConfigurationError
            If no address gives it.
        """
        return await self._first_answer(f'/v1/values/{name}', READ_TIMEOUT)

    async def watch(self, name: str, revision: int) -> tuple[bytes, int] | None:
        """Wait until a value has another revision.

        Parameters
        ----------
        name : str
            Name of the value.
        revision : int
            The revision that is known.

        Returns
        -------
        tuple of bytes and int, or None
            The value and its revision; None if nothing changed in `WATCH_SECONDS`.

        Raises
        ------
        ConfigurationError
            If no address answers.
        """
        path = f'/v1/values/{name}?after={revision}&wait={WATCH_SECONDS}'
        content, new_revision = await self._first_answer(path, WATCH_SECONDS + READ_TIMEOUT)
        return None if new_revision == revision else (content, new_revision)

    async def _first_answer(self, path: str, seconds: float) -> tuple[bytes, int]:
        problem = 'no address is set'
        for address in self.addresses:
            self.calls += 1
            try:
                async with asyncio.timeout(seconds):
                    status, headers, content = await fetch(address, 'GET', path)
            except (ClientError, TimeoutError) as exc:
                problem = repr(exc)
                continue
            if status in {_OK, _NOT_MODIFIED}:
                return content, int(headers.get('x-revision', '0'))
            problem = f'status {status} for {path}'
        raise ConfigurationError(problem, step='read_configuration', peer=str(self.addresses))
