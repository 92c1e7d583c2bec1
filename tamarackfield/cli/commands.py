"""Commands that change something: sign a bundle, make a key, drain a process."""

import asyncio
import json
import pathlib
from typing import Any

from result import Err, Ok, Result

from tamarackfield.bundle import find_bundle_problems, generate_key, publish
from tamarackfield.bundle.shards import Publication
from tamarackfield.cli.queries import exchange
from tamarackfield.core import Problem

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
    except (OSError, ValueError, RecursionError) as exc:
        return Err([Problem('$', str(exc))])
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


def sign_bundle(document: dict[str, Any], private_key: str) -> Publication:
    """Sign a checked bundle.

    Raises
    ------
    ValueError
        If the key is not a private signing key in base64.
    """
    return publish(document, private_key)


def write_publication(publication: Publication, directory: str) -> int:
    """Write every value to a directory, by its name in the configuration service.

    Parameters
    ----------
    publication : Publication
        Signed bundle.
    directory : str
        Made if it is absent; shards go first, the manifest last.

    Returns
    -------
    int
        Number of values written.

    Raises
    ------
    OSError
        If a value cannot be written.
    """
    values = publication.items().items()
    for name, content in values:
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
    if not token.isascii() or not token.isprintable():
        return Err('the operators token is not printable ASCII')
    return asyncio.run(exchange(address, 'POST', path, [('Authorization', f'Bearer {token}')]))
