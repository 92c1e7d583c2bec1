"""Identifiers that travel between processes: adapter references and incarnations."""

import re
import secrets
import time
from dataclasses import dataclass

from tamarackfield.core.errors import TamarackfieldError

#: Bits of an incarnation that are random; the others hold the start time in Unix milliseconds.
RANDOM_BITS = 20
_MS_PER_SECOND = 1000
_NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._/-]{0,127}')


class AdapterRefError(TamarackfieldError):
    """The text does not name an adapter together with its version."""


@dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """An adapter and the exact version of it.

    Parameters
    ----------
    name : str
        Name of the adapter.
    version : str
        Version of the adapter; never implied.

    Examples
    --------
    >>> str(AdapterRef('factory-findings', 'v3'))
    'factory-findings@v3'
    """

    name: str
    version: str

    def __str__(self) -> str:
        """Return the form that callers and engines use, ``name@version``."""
        return f'{self.name}@{self.version}'


def parse_adapter_ref(text: str) -> AdapterRef:
    """Read an adapter reference in the form ``name@version``.

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
    """Return a number that tells this run of a process from every other run.

    Returns
    -------
    int
        Start time in Unix milliseconds in the high bits, random low bits; below 2**63.
    """
    start_unix_ms = int(time.time() * _MS_PER_SECOND)
    return (start_unix_ms << RANDOM_BITS) | secrets.randbits(RANDOM_BITS)
