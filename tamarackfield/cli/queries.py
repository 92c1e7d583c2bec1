"""Queries: they change nothing."""

import asyncio
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from tamarackfield.core.settings import split_address
from tamarackfield.web import ClientError, fetch_json


def ask(address: str, path: str) -> Result[Any, str]:
    """Read a page of a process's operators' interface.

    Parameters
    ----------
    address : str
        ``ip:port``.
    path : str
        Such as ``/status``.

    Returns
    -------
    Result
        The decoded answer, or why there is none.
    """
    try:
        status, answer = asyncio.run(fetch_json(split_address(address), 'GET', path))
    except ClientError as exc:
        return Err(f'{exc.step} at {exc.peer}: {exc.message}')
    return Ok(answer) if status == HTTPStatus.OK else Err(f'status {status}: {answer}')


def find_differences(before: Any, after: Any, path: str = '$') -> list[tuple[str, Any, Any]]:
    """List where two documents differ.

    Parameters
    ----------
    before, after : object
        Decoded JSON.
    path : str
        JSON path of both.

    Returns
    -------
    list of tuple
        Path, old and new value; None stands for an absent one.

    Examples
    --------
    >>> find_differences({'a': 1, 'b': {'c': 2}}, {'a': 1, 'b': {'c': 3}})
    [('$.b.c', 2, 3)]
    """
    if before == after:
        return []
    if not isinstance(before, dict) or not isinstance(after, dict):
        return [(path, before, after)]
    differences = []
    for name in sorted(before.keys() | after.keys()):
        differences.extend(find_differences(before.get(name), after.get(name), f'{path}.{name}'))
    return differences
