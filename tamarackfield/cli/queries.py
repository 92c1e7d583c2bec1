"""Read-only queries of processes and comparison of documents."""

import asyncio
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from tamarackfield.core.problems import split_address
from tamarackfield.core.time_limits import time_limit
from tamarackfield.web import ClientError, fetch_json

#: Time limit of an exchange with a process.
ANSWER_TIMEOUT_SECONDS = 5.0


def fetch_page(address: str, path: str) -> Result[Any, str]:
    """Fetch a page of the operators' interface of a process.

    Parameters
    ----------
    address : str
        Address of the interface, ``ip:port``.
    path : str
        Path with query, such as ``/status``.

    Returns
    -------
    Result
        The decoded answer, or the reason why there is none.
    """
    return asyncio.run(send_request(address, 'GET', path, []))


async def send_request(address: str, method: str, path: str, headers: list[tuple[str, str]]) -> Result[Any, str]:
    """Send a request to the operators' interface of a process and receive its answer.

    Parameters
    ----------
    address : str
        Address of the interface, ``ip:port``.
    method, path : str
        Method and path of the request.
    headers : list of pairs
        Headers besides those of every request.

    Returns
    -------
    Result
        The decoded answer, or the reason why there is none, such as the time limit of `ANSWER_TIMEOUT_SECONDS`.
    """
    try:
        async with time_limit(ANSWER_TIMEOUT_SECONDS):
            status, answer = await fetch_json(split_address(address), method, path, None, headers)
    except TimeoutError:
        return Err(f'no answer from {address} within {ANSWER_TIMEOUT_SECONDS:g} s')
    except ClientError as exc:
        return Err(f'{exc.step} at {exc.peer}: {exc.message}')
    return Ok(answer) if status == HTTPStatus.OK else Err(_format_error(status, answer))


def _format_error(status: int, answer: Any) -> str:
    error = answer.get('error') if isinstance(answer, dict) else None
    return f'status {status}: {error["message"]}' if isinstance(error, dict) else f'status {status}: {answer}'


def find_differences(before: Any, after: Any, path: str = '$') -> list[tuple[str, Any, Any]]:
    """List the differences between two documents.

    Parameters
    ----------
    before, after : object
        Decoded JSON.
    path : str
        JSON path of both documents, for nested calls.

    Returns
    -------
    list of tuple
        Path, old value and new value; None stands for an absent value.

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
