"""Problems found in a JSON document, located by JSON path, and network addresses."""

import ipaddress
import re
from dataclasses import dataclass

#: Highest TCP or UDP port.
MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
#: IP number and port.
Address = tuple[str, int]
_IDENTIFIER = re.compile('[A-Za-z_][A-Za-z0-9_]*')


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One problem in a document.

    Parameters
    ----------
    path : str
        JSON path of the offending value.
    message : str
        What is wrong with the value.
    """

    path: str
    message: str


def json_path(*parts: str | int) -> str:
    """Return the JSON path of a member; names that are not identifiers are quoted.

    Examples
    --------
    >>> json_path('targets', 'engine-1', 'speeds', 0)
    "$.targets['engine-1'].speeds[0]"
    """
    return ''.join(('$', *(_format_path_part(part) for part in parts)))


def _format_path_part(part: str | int) -> str:
    if isinstance(part, int):
        return f'[{part}]'
    return f'.{part}' if _IDENTIFIER.fullmatch(part) else f'[{part!r}]'


def split_address(text: str) -> Address:
    """Parse an address of the form ``ip:port``.

    Parameters
    ----------
    text : str
        Address with an IP number; host names are not accepted.

    Returns
    -------
    tuple of str and int
        The IP number and the port.

    Raises
    ------
    ValueError
        If the address is not an IP number with a port.

    Examples
    --------
    >>> split_address('127.0.0.1:8080')
    ('127.0.0.1', 8080)
    >>> split_address('[::1]:8080')
    ('::1', 8080)
    """
    host, separator, port = text.rpartition(':')
    if not separator:
        raise ValueError(f'{text!r} has no port')
    bare_host = host.removeprefix('[').removesuffix(']')
    ipaddress.ip_address(bare_host)
    if not port.isascii() or not port.isdigit() or len(port) > _MAX_PORT_DIGITS or int(port) > MAX_PORT:
        raise ValueError(f'{port!r} is not a port from 0 to {MAX_PORT}')
    return bare_host, int(port)


def format_problems(problems: list[Problem]) -> str:
    """Format problems on one line for an operator.

    Parameters
    ----------
    problems : list of Problem
        Problems of one document.

    Returns
    -------
    str
        ``path: message`` items joined by semicolons.
    """
    return '; '.join(f'{problem.path}: {problem.message}' for problem in problems)
