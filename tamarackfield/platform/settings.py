"""Settings that the platform gives a process, as the product's settings.

The platform fills ``deploy/settings.json`` with all of its fields, so the file is JSON here.
"""

import json
import pathlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from tamarackfield.core import Problem
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.problems import json_path, split_address
from tamarackfield.gateway.model import Address
from tamarackfield.gateway.settings import GatewaySettings

#: Port on which both programs serve their counters; named in deploy/system.toml.
METRICS_PORT = 9464
#: Share of the allowed retries that the entries use, so that clocks and windows may differ.
RETRY_MARGIN = 0.8
#: Share of a machine's descriptors that clients' connections may take; the rest is for workers,
#: the store, peers and files.
CLIENT_DESCRIPTOR_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """What the program beside a worker needs to know.

    Parameters
    ----------
    instance, zone : str
        Of this process.
    listen : tuple of str and int
        Where entries connect.
    engine : tuple of str and int
        The worker on the same machine.
    metrics_port : int
        Where counters are served.
    """

    instance: str
    zone: str
    listen: Address
    engine: Address
    metrics_port: int


class _Reader:
    """Reads members of the document and collects what is wrong with them."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document
        self.problems: list[Problem] = []

    def read(self, convert: Callable[[Any], Any], *path: str | int) -> Any:
        """Return a converted member, None if it is missing or cannot be converted."""
        found: Any = self.document
        try:
            for part in path:
                found = found[part]
            return convert(found)
        except (LookupError, TypeError, ValueError) as exc:
            self.problems.append(Problem(json_path(*path), f'{type(exc).__name__}: {exc}'))
        return None

    def finish(self, settings: Any) -> Result[Any, list[Problem]]:
        """Return the settings, or every problem."""
        return Err(sorted(self.problems)) if self.problems else Ok(settings)


def read_document(path: str) -> Result[dict[str, Any], list[Problem]]:
    """Read the settings file."""
    try:
        document = json.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError, RecursionError) as exc:
        return Err([Problem('$', f'{path}: {exc}')])
    if not isinstance(document, dict):
        return Err([Problem('$', f'{path}: settings are not a JSON object')])
    return Ok(document)


def read_store_address(document: dict[str, Any]) -> Result[Address, list[Problem]]:
    """Return where the platform's store listens."""
    reader = _Reader(document)
    return reader.finish(reader.read(split_address, 'provider', 'address'))


def read_gateway_settings(document: dict[str, Any]) -> Result[GatewaySettings, list[Problem]]:
    """Return the settings of an entry, or every problem."""
    reader = _Reader(document)
    control = document.get('listen', {}).get('control') if isinstance(document.get('listen'), dict) else None
    settings = GatewaySettings(
        instance=reader.read(_text, 'node'),
        zone=reader.read(_text, 'zone'),
        listen=reader.read(split_address, 'listen', 'front'),
        ready_listen=reader.read(split_address, 'listen', 'ready'),
        peer_listen=reader.read(split_address, 'listen', 'control') if control else None,
        seeds=reader.read(_addresses, 'seeds') if document.get('seeds') else (),
        manager_port=reader.read(int, 'port_range', 0),
        metrics_port=METRICS_PORT,
        retry_share=reader.read(_retry_share, 'bounds', 'retry_budget_ratio'),
        retry_allowance=reader.read(_retry_allowance, 'bounds', 'budget_extra'),
        retry_window_seconds=reader.read(float, 'bounds', 'budget_window_s'),
        leaving_seconds=reader.read(_seconds, 'bounds', 'drain_ms'),
        grace_seconds=reader.read(float, 'bounds', 'grace_s'),
        max_connections=reader.read(_client_connections, 'limits', 'max_fds'),
    )
    return reader.finish(settings)


def read_sidecar_settings(document: dict[str, Any]) -> Result[SidecarSettings, list[Problem]]:
    """Return the settings of a sidecar, or every problem; ``app`` is the address of its own worker."""
    reader = _Reader(document)
    settings = SidecarSettings(
        instance=reader.read(_text, 'node'),
        zone=reader.read(_text, 'zone'),
        listen=(reader.read(_text, 'ip'), reader.read(int, 'port_range', 0)),
        engine=reader.read(split_address, 'app'),
        metrics_port=METRICS_PORT,
    )
    return reader.finish(settings)


def _text(found: Any) -> str:
    if not isinstance(found, str) or not found:
        raise ValueError(f'{found!r} is not a text')
    return found


def _seconds(milliseconds: Any) -> float:
    return float(milliseconds) / MS_PER_SECOND


def _retry_share(ratio: Any) -> float:
    return float(ratio) * RETRY_MARGIN


def _retry_allowance(extra: Any) -> float:
    return float(extra) * RETRY_MARGIN


def _client_connections(descriptors: Any) -> int:
    return int(descriptors * CLIENT_DESCRIPTOR_SHARE)


def _addresses(found: Any) -> tuple[Address, ...]:
    return tuple(split_address(text) for text in found)
