"""Identifiers that processes exchange: adapter references and incarnations."""

import re
import secrets
import time
from dataclasses import dataclass

from tamarackfield.core.errors import TamarackfieldError

#: Random low bits of an incarnation; the high bits are the start time in Unix milliseconds.
RANDOM_BITS = 20
_MS_PER_SECOND = 1000
_NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._/-]{0,127}')


class AdapterRefError(TamarackfieldError):
    """A text is not a valid adapter reference."""


@dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """Reference to an exact version of an adapter.

    Parameters
    ----------
    name : str
        Name of the adapter.
    version : str
        Version of the adapter; there is no default version.

    Examples
    --------
    >>> str(AdapterRef('factory-findings', 'v3'))
    'factory-findings@v3'
    """

    name: str
    version: str

    def __str__(self) -> str:
        """Return ``name@version``, the form that callers and engines use."""
        return f'{self.name}@{self.version}'


def parse_adapter_ref(text: str) -> AdapterRef:
    """Parse an adapter reference in the form ``name@version``.

    Parameters
    ----------
    text : str
        The value of ``model`` in a caller's request.

    Returns
    -------
    AdapterRef
        The adapter and its version.

    Raises
    ------
    AdapterRefError
        If the name or the version is missing or malformed.

    Examples
    --------
    >>> parse_adapter_ref('route-notes@v12')
    AdapterRef(name='route-notes', version='v12')
    """
    name, separator, version = text.partition('@')
    if not separator:
        raise AdapterRefError(f'model {text!r} names no version; use name@version')
    for part in (name, version):
        if _NAME_PATTERN.fullmatch(part) is None:
            raise AdapterRefError(f'model {text!r} is not of the form name@version')
    return AdapterRef(name, version)


def new_incarnation() -> int:
    """Generate an incarnation, a number that identifies one run of a process.

    Returns
    -------
    int
        Start time in Unix milliseconds in the high bits, random in the low bits; below 2**63.
    """
    start_unix_ms = int(time.time() * _MS_PER_SECOND)
    return (start_unix_ms << RANDOM_BITS) | secrets.randbits(RANDOM_BITS)
