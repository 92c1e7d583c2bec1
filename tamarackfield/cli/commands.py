"""Commands that change something: sign a bundle, make a key, drain a process."""

import asyncio
import json
import pathlib
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from tamarackfield.bundle import find_bundle_problems, generate_key, publish
from tamarackfield.core import Problem
from tamarackfield.core.settings import split_address
from tamarackfield.web import ClientError, fetch_json

_PRIVATE_MODE = 0o600


def read_bundle(path: str) -> Result[dict[str, Any], list[Problem]]:
    """Read and check a bundle file.

    Parameters
    ----------
    path : str
        File in JSON.

    Returns
    -------
    Result
        The bundle, or everything that is wrong with it.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError) as exc:
        return Err([Problem('$', f'{path}: {exc}')])
    problems = find_bundle_problems(document)
    return Err(problems) if problems else Ok(document)


def write_key(path: str) -> str:
    """Make a signing key, write its private part to a file and return its public part.

    Raises
    ------
    OSError
        If the file exists or cannot be written.
    """
    private_key, public_key = generate_key()
    target = pathlib.Path(path)
    with target.open('x') as handle:
        target.chmod(_PRIVATE_MODE)
        handle.write(f'{private_key}\n')
    return public_key


def write_publication(document: dict[str, Any], private_key: str, directory: str) -> int:
    """Sign a bundle and write every value to a directory, by its name in the configuration service.

    Parameters
    ----------
    document : dict
        Checked bundle.
    private_key : str
        In base64.
    directory : str
        Made if it is absent; shards go first, the manifest last.

    Returns
    -------
    int
        Number of values written.
    """
    values = publish(document, private_key).items()
    for name, content in values.items():
        target = pathlib.Path(directory) / name
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_bytes(content)
    return len(values)


def drain(address: str, token: str) -> Result[Any, str]:
    """Order a process to take no new work.

    Parameters
    ----------
    address : str
        ``ip:port`` of its operators' interface.
    token : str
        The operators' token.

    Returns
    -------
    Result
        Its answer, or why there is none.
    """
    return _order(address, token, '/drain')


def declare_first_start(address: str, token: str) -> Result[Any, str]:
    """Declare to a sidecar that no idempotency key ran before its process started.

    Parameters
    ----------
    address : str
        ``ip:port`` of its operators' interface.
    token : str
        The operators' token.

    Returns
    -------
    Result
        Its answer, or why there is none.
    """
    return _order(address, token, '/first-start')


def _order(address: str, token: str, path: str) -> Result[Any, str]:
    headers = [('Authorization', f'Bearer {token}')]
    try:
        status, answer = asyncio.run(fetch_json(split_address(address), 'POST', path, None, headers))
    except ClientError as exc:
        return Err(f'{exc.step} at {exc.peer}: {exc.message}')
    return Ok(answer) if status == HTTPStatus.OK else Err(f'status {status}: {answer}')
