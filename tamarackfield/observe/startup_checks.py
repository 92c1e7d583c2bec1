"""Checks of settings against the machine: free ports, matching certificate and key files."""

import errno
import socket
import ssl
from collections.abc import Iterator
from typing import Any

from tamarackfield.core import Problem
from tamarackfield.core.settings import ADDRESS_SCHEMA
from tamarackfield.wire.security import MUTUAL_TLS, server_context

_Listener = tuple[str, str, int]


def find_listen_problems(settings: dict[str, Any], schema: dict[str, Any]) -> list[Problem]:
    """List the listening addresses that cannot be bound.

    Parameters
    ----------
    settings : dict
        Settings that conform to the schema.
    schema : dict
        JSON schema of the settings.

    Returns
    -------
    list of Problem
        One for each address that is in use, occurs twice or does not belong to this machine.
    """
    problems = []
    seen: set[tuple[str, int]] = set()
    for path, host, port in _iterate_listeners(settings, schema, '$'):
        if port and (host, port) in seen:
            problems.append(Problem(path, f'{host}:{port} is named twice in these settings'))
        elif port:
            problems.extend(_find_bind_problems(path, host, port))
        seen.add((host, port))
    return sorted(problems)


def find_security_problems(settings: dict[str, Any]) -> list[Problem]:
    """List the problems of the certificate and key files in ``peer_security``.

    Parameters
    ----------
    settings : dict
        Settings that conform to their schema.

    Returns
    -------
    list of Problem
        Empty if certificate, key and authority match or authentication is switched off.
    """
    security = settings.get('peer_security', {})
    if security.get('mode') != MUTUAL_TLS:
        return []
    try:
        server_context(security)
    except (OSError, ssl.SSLError) as exc:
        return [Problem('$.peer_security', f'certificate, key and authority do not fit: {exc}')]
    return []


def _iterate_listeners(node: dict[str, Any], schema: dict[str, Any], path: str) -> Iterator[_Listener]:
    if schema.get('properties') == ADDRESS_SCHEMA['properties']:
        yield path, node['host'], node['port']
        return
    for name, member in schema.get('properties', {}).items():
        if isinstance(node.get(name), dict):
            yield from _iterate_listeners(node[name], member, f'{path}.{name}')


def _find_bind_problems(path: str, host: str, port: int) -> list[Problem]:
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    with socket.socket(family) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError as exc:
            reason = 'the port is in use' if exc.errno == errno.EADDRINUSE else exc.strerror
            return [Problem(path, f'cannot listen on {host}:{port}: {reason}')]
    return []
