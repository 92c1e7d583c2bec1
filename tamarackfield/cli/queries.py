"""Queries: they change nothing."""

import asyncio
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from tamarackfield.core.problems import split_address
from tamarackfield.web import ClientError, fetch_json

#: Seconds that a process is waited for.
ANSWER_TIMEOUT = 5.0


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
    return asyncio.run(exchange(address, 'GET', path, []))


async def exchange(address: str, method: str, path: str, headers: list[tuple[str, str]]) -> Result[Any, str]:
    """Make one exchange with a process's operators' interface.

    Parameters
    ----------
    address : str
        ``ip:port``.
    method, path : str
        Of the request.
    headers : list of pairs
        Besides those that every request has.

    Returns
    -------
    Result
        The decoded answer, or why there is none; a process that is silent is not waited for.
    """
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT):
            status, answer = await fetch_json(split_address(address), method, path, None, headers)
    except TimeoutError:
        return Err(f'no answer from {address} within {ANSWER_TIMEOUT:g} s')
    except ClientError as exc:
        return Err(f'{exc.step} at {exc.peer}: {exc.message}')
    return Ok(answer) if status == HTTPStatus.OK else Err(_refusal_text(status, answer))


def _refusal_text(status: int, answer: Any) -> str:
    error = answer.get('error') if isinstance(answer, dict) else None
    return f'status {status}: {error["message"]}' if isinstance(error, dict) else f'status {status}: {answer}'


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
