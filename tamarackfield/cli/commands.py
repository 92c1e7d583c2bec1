"""Operations of the commands that write files or change the state of a process."""

import asyncio
import json
import pathlib
from typing import Any

from result import Err, Ok, Result

from tamarackfield.bundle import find_bundle_problems, generate_key, publish
from tamarackfield.bundle.shards import Publication
from tamarackfield.cli.queries import send_request
from tamarackfield.core import Problem

_PRIVATE_FILE_MODE = 0o600


def read_bundle(path: str) -> Result[dict[str, Any], list[Problem]]:
    """Read and check a bundle file.

    Parameters
    ----------
    path : str
        JSON file.

    Returns
    -------
    Result
        The bundle, or all its problems.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError, RecursionError) as exc:
        return Err([Problem('$', str(exc))])
    problems = find_bundle_problems(document)
    return Err(problems) if problems else Ok(document)


def write_key(path: str) -> str:
    """Generate a signing key, write the private key to a file and return the public key.

    Raises
    ------
    OSError
        If the file exists or cannot be written.
    """
    private_key, public_key = generate_key()
    key_path = pathlib.Path(path)
    with key_path.open('x') as handle:
        key_path.chmod(_PRIVATE_FILE_MODE)
        handle.write(f'{private_key}\n')
    return public_key


def sign_bundle(document: dict[str, Any], private_key: str) -> Publication:
    """Sign a valid bundle.

    Raises
    ------
    ValueError
        If the key is not a private signing key in base64.
    """
    return publish(document, private_key)


def write_publication(publication: Publication, directory: str) -> int:
    """Write the values of a publication to files named as in the configuration service.

    Parameters
    ----------
    publication : Publication
        Signed bundle.
    directory : str
        Directory to write to, created if absent; shards are written first, the manifest last.

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
        value_path = pathlib.Path(directory) / name
        value_path.parent.mkdir(parents=True, exist_ok=True)
        value_path.write_bytes(content)
    return len(values)


def drain(address: str, token: str) -> Result[Any, str]:
    """Order a process to stop accepting new requests.

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
    return _post_command(address, token, '/drain')


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
    return _post_command(address, token, '/first-start')


def _post_command(address: str, token: str, path: str) -> Result[Any, str]:
    if not token.isascii() or not token.isprintable():
        return Err('the operators token is not printable ASCII')
    return asyncio.run(send_request(address, 'POST', path, [('Authorization', f'Bearer {token}')]))
