"""Read-only client of the configuration service: reads and long-poll watches."""

from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.core.problems import split_address
from tamarackfield.core.time_limits import time_limit
from tamarackfield.web import ClientError, fetch

#: Long-poll time-out of a watch, after which the service answers that nothing changed.
WATCH_WAIT_SECONDS = 1
#: Time-out of a watch at one address in addition to its long-poll time-out; a watch that was lost, and the next one,
#: take less than the time in which a bundle is to be in force.
WATCH_MARGIN_SECONDS = 0.7
#: Time-out of a read at one address.
READ_TIMEOUT_SECONDS = 3.0
_OK = 200
_NOT_MODIFIED = 304


class ConfigurationError(TamarackfieldError):
    """No address of the configuration service gave a usable answer."""


class ConfigurationClient:
    """Reads and watches values of the configuration service by name.

    Parameters
    ----------
    addresses : list of str
        Addresses of the service as ``ip:port``, tried in order.
    """

    def __init__(self, addresses: list[str]) -> None:
        """Initialize without connecting."""
        self.addresses = [split_address(address) for address in addresses]
        self.calls = 0

    async def read(self, name: str) -> tuple[bytes, int]:
        """Read a value and its revision.

        Raises
        ------
        ConfigurationError
            If no address gives a usable answer.
        """
        return await self._fetch_first_available(f'/v1/values/{name}', READ_TIMEOUT_SECONDS)

    async def watch(self, name: str, revision: int) -> tuple[bytes, int] | None:
        """Wait until the revision of a value changes.

        Parameters
        ----------
        name : str
            Name of the value.
        revision : int
            Revision that the caller has.

        Returns
        -------
        tuple of bytes and int, or None
            The value and its revision; None if nothing changed in `WATCH_WAIT_SECONDS`.

        Raises
        ------
        ConfigurationError
            If no address gives a usable answer.
        """
        path = f'/v1/values/{name}?after={revision}&wait={WATCH_WAIT_SECONDS}'
        content, new_revision = await self._fetch_first_available(path, WATCH_WAIT_SECONDS + WATCH_MARGIN_SECONDS)
        return None if new_revision == revision else (content, new_revision)

    async def _fetch_first_available(self, path: str, timeout_seconds: float) -> tuple[bytes, int]:
        problem = 'no address is configured'
        for address in self.addresses:
            self.calls += 1
            try:
                async with time_limit(timeout_seconds):
                    status, headers, content = await fetch(address, 'GET', path)
            except (ClientError, TimeoutError) as exc:
                problem = repr(exc)
                continue
            if status in {_OK, _NOT_MODIFIED}:
                return content, int(headers.get('x-revision', '0'))
            problem = f'status {status} for {path}'
        raise ConfigurationError(problem, step='read_configuration', peer=str(self.addresses))
