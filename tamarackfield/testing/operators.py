"""Commands that the operators of a test cluster give to its processes."""

import asyncio
from typing import Any

from tamarackfield.testing.processes import HOST
from tamarackfield.web import fetch_json

#: Key with which operators may give commands to processes of a test cluster.
OPERATOR_TOKEN = 'operator-token'


async def give_command(port: int, path: str) -> Any:
    """Give a command to an entry or a sidecar and return its answer.

    Parameters
    ----------
    port : int
        Of its operators' interface.
    path : str
        Of the command.
    """
    headers = [('Authorization', f'Bearer {OPERATOR_TOKEN}')]
    _, answer = await fetch_json((HOST, port), 'POST', path, None, headers)
    return answer


async def declare_first_start(ports: dict[str, int], targets: dict[str, dict[str, Any]]) -> None:
    """Declare to the sidecars of all plain services that no key ran before they started.

    Parameters
    ----------
    ports : dict
        Ports of the cluster by name.
    targets : dict
        Targets of the bundle by name.
    """
    services = [name for name, entry in targets.items() if entry['kind'] == 'service']
    commands = (give_command(ports[f'{name}-sidecar-operations'], '/first-start') for name in services)
    await asyncio.gather(*commands)
