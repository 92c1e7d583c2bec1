"""The program beside a model worker."""

from dataclasses import dataclass
from typing import Any

from loguru import logger
from result import Err, Ok, Result

from tamarackfield.core import SYSTEM_CLOCK, Address, Application, Problem, new_incarnation, split_address
from tamarackfield.manager.app import Manager
from tamarackfield.platform.engine import WorkerEngine
from tamarackfield.platform.settings import METRICS_PORT, SettingsReader, read_text
from tamarackfield.wire.messages import Hello


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
    """

    instance: str
    zone: str
    listen: Address
    engine: Address


class Sidecar:
    """The application, and what its settings change."""

    def __init__(self, settings: SidecarSettings) -> None:
        """Build every part."""
        instance = settings.instance
        hello = Hello('sidecar', instance, new_incarnation(), settings.zone, SYSTEM_CLOCK.unix_ms(), '')
        engine = WorkerEngine(settings.engine, instance)
        self.application: Application = Manager(instance, settings.listen, engine, hello, METRICS_PORT).application

    def reload(self, document: dict[str, Any]) -> None:
        """Take changed settings; nothing in those of a sidecar changes while it runs."""
        logger.bind(changed='nothing').info('settings_reloaded')


def build(document: dict[str, Any]) -> Result[Sidecar, list[Problem]]:
    """Build a sidecar from its settings, or return every problem in them."""
    settings = read_sidecar_settings(document)
    return settings if isinstance(settings, Err) else Ok(Sidecar(settings.ok_value))


def read_sidecar_settings(document: dict[str, Any]) -> Result[SidecarSettings, list[Problem]]:
    """Return the settings of a sidecar, or every problem; ``app`` is the address of its own worker."""
    reader = SettingsReader(document)
    settings = SidecarSettings(
        instance=reader.read(read_text, 'node'),
        zone=reader.read(read_text, 'zone'),
        listen=(reader.read(read_text, 'ip'), reader.read(int, 'port_range', 0)),
        engine=reader.read(split_address, 'app'),
    )
    return reader.finish(settings)
