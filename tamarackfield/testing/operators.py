"""Operators' commands to the processes of a test cluster."""

import asyncio
from typing import Any

from tamarackfield.testing.processes import HOST
from tamarackfield.web import fetch_json

#: Bearer token that authorizes operators' commands in a test cluster.
OPERATOR_TOKEN = 'operator-token'


async def send_command(port: int, path: str) -> Any:
    """Send a command to an entry or a sidecar and return the decoded answer.

    Parameters
    ----------
    port : int
        Port of the operators' interface on this machine.
    path : str
        Path of the command.
    """
    headers = [('Authorization', f'Bearer {OPERATOR_TOKEN}')]
    _, answer = await fetch_json((HOST, port), 'POST', path, None, headers)
    return answer


async def declare_first_start(ports: dict[str, int], targets: dict[str, dict[str, Any]]) -> None:
    """Declare to the sidecars of all plain services that no key has run before this start.

    Parameters
    ----------
    ports : dict
        Ports of the cluster, by name.
    targets : dict
        Target entries of the bundle, by name.
    """
    services = [name for name, entry in targets.items() if entry['kind'] == 'service']
    commands = (send_command(ports[f'{name}-sidecar-operations'], '/first-start') for name in services)
    await asyncio.gather(*commands)
